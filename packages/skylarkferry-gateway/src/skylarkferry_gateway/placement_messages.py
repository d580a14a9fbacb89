"""Messages between gateways, one in each datagram; those of placements are defined here."""

import msgspec

from skylarkferry_admission.decisions import RejectReason
from skylarkferry_core.ids import CustomerId, FailureDomain, ProgramId, ServiceName, UpstreamId
from skylarkferry_gateway import decoding
from skylarkferry_gateway.messages import PromptPart, ReportedLoad
from skylarkferry_gateway.quota_messages import QuotaAnswer, QuotaAsk
from skylarkferry_gateway.upstream_views import AttemptOutcome


class PlacementQuery(msgspec.Struct, frozen=True, array_like=True):
    """What the placement of a request depends on.

    The upstream has to be one of ``shard``, of ``shards`` in all, and none of ``excluded``.  The
    asking gateway has idle connections to those in ``connected``.  ``cached_upstream`` holds
    ``cached_tokens`` of the prompt as far as that gateway knows; ``time_left_s`` is the time until
    the request's deadline.
    """

    service: ServiceName
    failure_domain: FailureDomain
    program_id: ProgramId
    affinity_key: str
    is_sticky: bool
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    time_left_s: float
    excluded: tuple[UpstreamId, ...] = ()
    connected: tuple[UpstreamId, ...] = ()
    cached_upstream: UpstreamId = UpstreamId("")
    cached_tokens: int = 0
    shard: int = 0
    shards: int = 1


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Ask for an upstream; ``number`` identifies the attempt among those of the sender."""

    number: int
    query: PlacementQuery


class Answer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """The chosen upstream, and the inputs of the choice.

    ``upstream`` is empty if the coordinator cannot choose one.  ``requests`` is the number of
    requests at the upstream before this one, ``cached_tokens`` the part of the prompt in its cache,
    and ``list_age_s`` the age of the coordinator's upstream list.
    """

    number: int
    upstream: UpstreamId = UpstreamId("")
    requests: int = 0
    cached_tokens: int = 0
    list_age_s: float = 0.0


class SpeedSample(msgspec.Struct, frozen=True, array_like=True):
    """Prefill of uncached prompt tokens and decoding of output tokens, measured in an attempt."""

    prefill_tokens: int
    prefill_s: float
    output_tokens: int
    decode_s: float


class Ended(msgspec.Struct, frozen=True, array_like=True, tag="ended"):
    """An attempt ended; ``load`` is what the upstream reported ``load_age_s`` ago, if anything."""

    number: int
    outcome: AttemptOutcome
    load: ReportedLoad | None = None
    load_age_s: float = 0.0
    speed: SpeedSample | None = None


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """What the place of a request in a coordinator's queue depends on.

    ``finish_s`` is the time left until its program should be done.  ``is_begun`` says that the
    request itself shows that its program is in progress.
    """

    priority: int
    finish_s: float
    target_latency_s: float
    customer: CustomerId
    quota_per_s: float | None
    is_begun: bool


class Enqueue(msgspec.Struct, frozen=True, array_like=True, tag="enqueue"):
    """Ask for an upstream, and wait for one if necessary; ``Ended`` withdraws the question."""

    number: int
    query: PlacementQuery
    terms: QueueTerms


class Queued(msgspec.Struct, frozen=True, array_like=True, tag="queued"):
    """The requests with these numbers wait; repeated until each has its answer."""

    numbers: tuple[int, ...]


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="rejected"):
    """A request is not given to an upstream and has not run.

    ``estimate_s`` is how long it would take at an upstream, ``error_s`` the 95th percentile of the
    error of such estimates, ``queued`` the number of requests that wait.
    """

    number: int
    reason: RejectReason
    retry_after_s: float
    estimate_s: float = 0.0
    error_s: float = 0.0
    queued: int = 0


Message = Ask | Answer | Ended | Enqueue | Queued | Rejected | QuotaAsk | QuotaAnswer

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> Message:
    """Decode a datagram; raise ``MalformedDataError``."""
    return decoding.decode(_decoder.decode, datagram)
