"""Defaults of the gateway: each timeout, limit and weight, with its unit and its source."""

CONNECT_TIMEOUT_S = 0.6
"""Connect timeout; three cross-domain round trips and one lost opening packet fit (protocol)."""
TCP_USER_TIMEOUT_MS = 2_000
"""TCP user timeout: unacknowledged bytes for this long end a connection (client's gap bound)."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Keep-alive probes: a dead peer is found within 3 s, the platform's bound for contact."""
POOL_IDLE_S = 4.0
"""Idle limit of an upstream connection whose peer names none; under common 5 s defaults."""
POOL_IDLE_MARGIN_S = 1.0
"""Taken off the idle limit a peer names in whole seconds, so that it never closes first."""
NON_IDEMPOTENT_IDLE_S = 1.0
"""Idle limit for requests that may not be repeated: a silent drop would leave them in doubt."""
POOL_IDLE_CONNECTIONS = 4
"""Idle connections kept per upstream; a share of its connection limit over a hundred nodes."""
DEADLINE_SLACK_S = 0.1
"""Time past the deadline handed to an upstream in which its own timeout answer is awaited."""
MIN_ATTEMPT_S = 0.02
"""Least time left for a send; less than a round trip with the shortest work is no offer."""
CLIENT_SEND_S = 10.0
"""Time without taking a byte after which a client has left; three usual deadlines."""
LARGE_BODY_BYTES = 32_768
"""Bodies above this are sent while the answer is read: an upstream may answer early."""
RECEIVE_BYTES = 65_536
"""Bytes of one receive call; one full TCP window."""
PIPELINED_BYTES = 65_536
"""Bytes read ahead from a client while its request is served; then reading pauses."""
MAX_ANSWER_BYTES = 8_388_608
"""Largest answer buffered for a plain request."""

UPSTREAMS_POLL_S = 0.5
"""Interval of reads of the upstream list; a quarter of the shortest drain bound, 2 s."""
LAPSED_ENTRY_KEEP_S = 2.2
"""Time an entry that vanished in an outage is kept after the store's return (its bound: 2 s)."""
LIST_OUTAGE_S = 2.0
"""Gap between successful reads of the list that counts as an outage; one and a half heartbeats."""
CONFIG_POLL_TIMEOUT_S = 1.0
"""Longest wait of one call for configuration changes; half of the shortest apply bound, 2 s."""
STORE_TIMEOUT_S = 0.8
"""Timeout of one store call; the store's slow answers take up to 60 times 4 ms, twice across."""
STORE_SILENT_AFTER_S = 0.6
"""Time without any answer after which a store call's silence counts as a loss; see above."""
STORE_RETRY_S = 0.05
STORE_RETRY_MAX_S = 0.4
"""First and longest delay between tries of a store call; ten calls a second at most."""
STORE_LOST_AFTER_S = 0.4
"""Time without a successful store call after which work that needs one is refused at once."""
NOT_READY_AFTER_S = 1.5
"""Time without the store after which the balancer is told to send new connections elsewhere."""
RESERVE_TIMEOUT_S = 0.8
"""Longest wait for a grant of tokens, within a client's one third of 3 s for a retry."""
CHAIN_READ_TIMEOUT_S = 0.8
"""Longest wait for a retained chain, as for a grant."""

RETRY_AFTER_S = 0.2
"""Retry-After of a refusal for want of capacity: about one tool call or a third of a turn."""
OUTAGE_RETRY_AFTER_S = 1.0
"""Retry-After while the store is away: a third of the usual 3 s deadline, which clients honour."""
ISOLATED_RETRY_AFTER_S = 0.02
"""Retry-After of a gateway that is cut off from store and peers: another one serves at once."""

TURN_CACHE_MEMORY_SHARE = 0.15
"""Share of the process's memory limit for retained turns."""
BREAKER_MAX_OPEN_S = 4.0
"""Longest time a breaker stays open: an upstream that recovers gets work again within seconds."""

STOP_ACCEPTING_AFTER_S = 3.0
"""Time a stopping process goes on accepting: the balancer takes it out after two misses, 2 s."""
STOP_MARGIN_S = 0.7
"""Time before the end of the grace period at which unfinished work is cut."""

PREFILL_TOKENS_PER_S = 200_000.0
DECODE_TOKENS_PER_S = 600.0
"""Speed of an engine until it is measured: the order of magnitude of current accelerators."""

RING_EVENTS = 4_000
"""Events kept in memory for the time line; some minutes of a gateway at its planned load."""

QUARANTINE_RETRY_AFTER_S = 5.0
"""Retry-After of a request that crashes upstreams: past any deadline, so that it is not tried."""
CRASHES_POLL_TIMEOUT_S = 5.0
"""Longest wait of one call for other gateways' notes of crashes; they come at once."""

ACCOUNT_IDLE_S = 3_600.0
"""Time after which an unused account is forgotten; sixty times the usual retention of turns."""
ACCOUNTS_SWEEP_S = 60.0
"""Interval at which unused accounts are looked for."""

PEER_TIMEOUT_S = 0.4
"""Timeout of a call to another gateway: a store write and two round trips fit on a slow host."""
PEER_STORE_TIMEOUT_S = 0.6
"""Timeout of a store call through another gateway; a slow store's answer and two round trips."""
RELAY_BACKOFF_S = 1.0
"""Time for which no peer is asked after none reached the store: it is down for all, then."""
PEER_IDLE_S = 10.0
"""Idle limit of connections between gateways; a silent one costs a call's timeout."""
PEER_BACKOFF_S = 2.0
"""Time for which a gateway that did not answer is not asked; the shortest disturbance is longer."""
OWNERS_POLL_S = 5.0
"""Interval of reads of the list of owners; one that was deposed may go on safely meanwhile."""
