"""Defaults of the gateway: timeouts, limits and weights, each with its unit and its reason."""

CONNECT_TIMEOUT_S = 0.6
"""Connect timeout; as the protocol specifies, it allows for three round trips between
failure domains and one lost SYN."""
TCP_USER_TIMEOUT_MS = 2_000
"""Limit for unacknowledged data (TCP user timeout); equals the client's limit for stream gaps."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Keep-alive probes detect a dead peer within 3 s, the platform's bound for contact."""
PROCESS_REPORT_TIMEOUT_S = 0.4
"""Longest wait for an engine's report about its process; two round trips between regions and a
pause of its host fit in."""
POOL_IDLE_S = 4.0
"""Idle limit of a connection if the upstream states none; below the common default of 5 s."""
POOL_IDLE_MARGIN_S = 1.0
"""Subtracted from the idle limit that a peer states in whole seconds.

The gateway thus closes an idle connection before the peer does.
"""
NON_IDEMPOTENT_IDLE_S = 1.0
"""Idle limit for non-idempotent requests; a silent drop would leave their outcome unknown."""
POOL_IDLE_CONNECTIONS = 4
"""Idle connections kept per upstream: its connection limit divided among a hundred nodes."""
DEADLINE_SLACK_S = 0.1
"""Wait beyond the deadline sent to an upstream, so that its timeout response can arrive."""
MIN_ATTEMPT_S = 0.02
"""No attempt starts with less time left; a round trip with the shortest work takes as long."""
CLIENT_SEND_S = 10.0
"""A client that accepts no byte for this time counts as gone; three usual deadlines."""
SCARCE_MEMORY_SHARE = 0.5
"""Part of the memory for requests beyond which it counts as scarce."""
LARGE_BODY_BYTES = 32_768
"""Larger bodies are sent while the response is read, because an upstream may respond early."""
RECEIVE_BYTES = 65_536
"""Size of one receive call: one full TCP window."""
SEND_BYTES = 65_536
"""Most bytes of a response handed to the socket at once; each part has ``CLIENT_SEND_S``."""
UNSENT_BYTES = 131_072
"""Bytes that a socket to an upstream, a peer or the store accepts and has not sent yet.

A body that was passed on has left this host but for so much: what an upstream does not read stays
here.
"""
BODY_SEND_BYTES = 131_072
"""Most bytes of a request body handed to the socket at once; the event loop copies what the socket
does not accept."""
PIPELINED_BYTES = 65_536
"""Bytes read ahead from a client while its request is served; beyond that, reading pauses."""
COUNTED_BODY_BYTES = 131_072
"""Bodies up to this size are not bounded at an upstream.

They are 0 to 100 KB as a rule, and all that an upstream runs and queues (64) together hold 8 MB.
"""
UPSTREAM_BODY_BYTES = 4_194_304
"""Bytes of larger bodies that one upstream has not read, or would have to queue, from this gateway.

An upstream that holds more than its memory, 232 MB, crashes; it does not report its memory.  Thirty
gateways that do not know of each other's bodies send at most 126 MB, about half of it.  The largest
body by default has this size; a larger one is sent only while no other counts.
"""
MAX_ANSWER_BYTES = 8_388_608
"""Largest response body that is buffered as a whole, and largest output of a retained turn."""
STREAM_PIECE_BYTES = 4_096
"""Bytes of a stream that are parsed at once; parsed events of a few bytes take several tens of
times as much memory."""

UPSTREAMS_POLL_S = 0.5
"""Interval between reads of the upstream list; a quarter of the shortest drain bound, 2 s."""
LAPSED_ENTRY_KEEP_S = 2.2
"""Time an entry that vanished in an outage is kept once the store is back (its bound: 2 s)."""
LIST_OUTAGE_S = 2.0
"""Gap between successful list reads that counts as an outage; one and a half heartbeats."""
CONFIG_POLL_TIMEOUT_S = 1.0
"""Longest wait of one poll for configuration changes; half of the shortest apply bound, 2 s."""
STORE_TIMEOUT_S = 0.8
"""Longest wait for the answer to a store call, and longest pause while it arrives.

A slow answer takes up to 60 times 4 ms, and twice that for a transaction across parts.
"""
LINK_BYTES_PER_S = 937_500.0
"""Rate that one transfer can count on: half of the smallest link, 15 Mbit/s."""
STORE_TRANSFER_TIMEOUT_S = MAX_ANSWER_BYTES / LINK_BYTES_PER_S
"""Longest transfer of one answer, once it has begun: one of the largest size, at that rate."""
STORE_SILENT_AFTER_S = 0.6
"""Time without any answer after which the store counts as lost; see ``STORE_TIMEOUT_S``."""
STORE_RETRY_S = 0.05
STORE_RETRY_MAX_S = 0.4
"""First and longest delay between attempts of a store call; at most ten calls a second."""
STORE_LOST_AFTER_S = 0.4
"""Without a successful store call for this time, work that needs the store is refused at once."""
NOT_READY_AFTER_S = 1.5
"""Time without the store after which the balancer is told to send new connections elsewhere."""
RESERVE_TIMEOUT_S = 0.8
"""Longest wait for a token grant; below a third of a client's 3 s, so that a retry fits."""
CHAIN_SILENCE_S = 0.8
"""Longest pause of the read of a chain, and longest time for which its failed calls are repeated.

As long as for a token grant; what arrives in between may take as long as it needs.
"""

RETRY_AFTER_S = 0.2
"""Retry-After of a refusal for lack of capacity: about one tool call or a third of a turn."""
OUTAGE_RETRY_AFTER_S = 1.0
"""Longest Retry-After while the store is down, for a client that does not say how long it waits."""
ISOLATED_RETRY_AFTER_S = 0.02
"""Retry-After of a gateway that reaches neither store nor peers; another can serve at once."""

TURN_CACHE_MEMORY_SHARE = 0.15
"""Share of the process's memory limit for retained turns, cached or in use by requests."""
HELD_MEMORY_SHARE = 0.25
"""Share of the process's memory limit for all that it holds for requests under way.

A body or response is held twice while its parts are joined.  With that, the turn cache and 32 MB at
rest, a process stays below the smallest limit, 128 MB.
"""
NEW_WORK_MEMORY_SHARE = 0.9
"""Part of that memory beyond which new requests are refused, so that those under way can end."""
BODY_MEMORY_SHARE = 0.1
RESPONSE_MEMORY_SHARE = 0.15
STREAM_MEMORY_SHARE = 0.05
"""Shares of the limit for request bodies, responses, and streams whose clients read slowly.

Slow readers alone do not use up what new work needs: responses and streams together stay below
``NEW_WORK_MEMORY_SHARE`` of all.
"""
TRANSFER_MEMORY_SHARE = 0.05
"""Share of the limit for the buffers of store calls that carry turns."""
TRANSFER_WINDOW_S = 0.1
"""Time on the host's link of the turns that are read at the same time."""
TRANSFER_COPIES = 4
"""Bytes of buffers for each byte of content in a store call: base64, JSON and decoded."""
STREAM_HOLD_S = 1.0
"""Time for which a slow client may hold its upstream's stream back.

Upstreams cut off a response that stays unread for some seconds; a pause of a client's network of
less than that costs no memory here.
"""
REFUSED_BODY_S = 0.3
"""Time for which the body of a refused request is received and dropped.

A connection that is closed before would be reset, and the client might lose the refusal.
"""
BREAKER_MAX_OPEN_S = 4.0
"""Longest time a breaker stays open, so that a recovered upstream is used again within seconds."""

STOP_ACCEPTING_AFTER_S = 3.0
"""Time for which a stopping process still accepts connections.

The balancer removes it after two failed checks, which take 2 s.
"""
STOP_FIRST_REQUEST_S = 1.0
"""Time for which a connection may send its first request once no other is accepted.

Clients allow a connection as long to be established.
"""
STOP_ANSWER_S = 0.1
"""Time in which a final answer reaches the client before a stopping process cuts connections."""
STOP_RETRY_AFTER_S = 0.02
"""Retry-After of a stopping process; another can serve the request at once."""
STOP_MARGIN_S = 0.7
"""Time before the end of the grace period at which unfinished requests are cut off."""

PREFILL_TOKENS_PER_S = 200_000.0
DECODE_TOKENS_PER_S = 600.0
"""Engine speed assumed until one is measured: the order of magnitude of current accelerators."""

RING_EVENTS = 4_000
"""Events kept in memory for the timeline; a few minutes of a gateway at its planned load."""

QUARANTINE_RETRY_AFTER_S = 5.0
"""Retry-After of a quarantined request: beyond any deadline, so that clients do not retry it."""
CRASH_KEEP_S = 3_600.0
"""Time after which a crash no longer counts against a request."""
CRASHES_SWEEP_S = 60.0
"""Interval between sweeps for old crash reports."""
CRASHES_POLL_TIMEOUT_S = 2.0
"""Longest wait of one poll for other gateways' crash reports; a report ends the wait at once.

With the timeout of a store call, a poll on a dead connection ends within 3 s, the platform's bound
for contact.
"""

STREAM_KEEP_S = 60.0
"""Time for which a stream can be resumed after its relay ended; clients wait for less."""
STREAM_RENEW_S = 20.0
"""Time after which the row of a stream that is still relayed is written, and written again.

Two intervals and the store's usual retries fit into ``STREAM_KEEP_S``.
"""
STREAM_KEEP_MARGIN_S = 5.0
"""Time by which what other gateways need is kept longer, as their upstream lists may differ."""
ASSIGNMENTS_POLL_S = 5.0
"""Interval between reads of an assignment of streams to versions that is about to change."""
STREAMS_SWEEP_S = 60.0
"""Interval between sweeps for rows of streams whose gateways ended."""

ACCOUNT_IDLE_S = 3_600.0
"""Time after which an unused account is deleted; sixty times the usual retention of turns."""
ACCOUNTS_SWEEP_S = 60.0
"""Interval between sweeps for unused accounts."""
UNRECORDED_GRANTS_S = 300.0
"""Time for which an owner may grant without rows after it last proved to be the owner.

Longer than outages of the store; an owner without programs proves it by a read each half of it.
"""
AHEAD_GROWTH_DELAY_S = 0.1
"""Wait for more programs of a partition before their allowances are written ahead of need.

It ends within a program's first turn, which takes some 300 ms.
"""

PLACEMENT_TIMEOUT_S = 0.05
"""Longest wait for a coordinator: twice the round trip between regions, and a pause of its host."""
COORDINATOR_BACKOFF_S = 2.0
"""Time without questions to a coordinator that does not answer or cannot choose."""
ATTEMPTS_SWEEP_S = 0.5
"""Interval between sweeps for attempts whose end was not reported to the coordinator."""

QUOTA_TIMEOUT_S = 0.05
"""Longest wait for the answer of one owner of quotas; the same as for a coordinator."""
QUOTA_RESEND_S = 0.025
"""Time after which a question to an owner is sent again; otherwise each lost datagram would send
its gateway to an owner that holds nothing of other gateways' shares."""
QUOTA_WAIT_S = 0.3
"""Longest wait of a request for its quota: an exchange under way and one over three owners."""
QUOTA_INTERVAL_S = 0.1
"""Interval between deposits of quotas in use; a gateway keeps nearly two intervals' accrual."""
QUOTA_QUIET_INTERVAL_S = 0.3
"""Interval between deposits of quotas that are not in use.

An owner keeps a gateway's share of the burst for 1 s, so that one lost datagram costs none of it.
"""
QUOTA_BATCH_S = 0.002
"""Time for which requests that need tokens are collected into one question; a round trip within a
failure domain takes as long."""
QUOTA_JOIN_INTERVAL_S = 0.5
"""Interval between reads of the list of gateways until all that start at once know each other."""
QUOTA_PROBE_INTERVAL_S = 0.25
"""Interval between questions to owners that were silent, so that a lost datagram costs little."""

PEER_TIMEOUT_S = 0.4
"""Timeout of a call to another gateway; a store write and two round trips fit on a slow host."""
OWNER_WAIT_S = 0.3
"""Longest wait of a budget's owner for the store before it answers the gateway that asked.

The answer must arrive within ``PEER_TIMEOUT_S``: a silent owner counts as lost.
"""
PEER_STORE_TIMEOUT_S = 0.6
"""Longest pause of a store call through another gateway.

A slow store's answer and two round trips fit in.
"""
PEER_PROGRESS_S = 0.3
"""Interval at which a gateway tells a peer that it still works on its store call."""
PEER_FEEDS = 2
"""Change feeds read for other gateways at the same time.

Each may hold a configuration of 4 MB several times.
"""
PEER_TRANSFER_TIMEOUT_S = 2 * STORE_TRANSFER_TIMEOUT_S
"""Longest transfer through another gateway, which receives all of an answer before it sends it."""
RELAY_BACKOFF_S = 1.0
"""Time without calls to peers after none reached the store: the store is then down for all."""
PEER_IDLE_S = 10.0
"""Idle limit of connections between gateways; a call on a silently dropped one times out."""
PEER_BACKOFF_S = 2.0
"""Time without calls to an unresponsive gateway; even the shortest disturbance lasts longer."""
GATEWAY_HEARTBEAT_S = 5.0
"""Interval between updates of this gateway's row in the list of running gateways."""
OWNERS_POLL_S = 5.0
"""Interval between reads of the owner list; an owner replaced between reads may safely continue."""
