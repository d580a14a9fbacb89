"""Messages between gateways, one in each datagram; those of placements are defined here."""

import msgspec

from skylarkferry_core.ids import FailureDomain, ProgramId, ServiceName, UpstreamId
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


Message = Ask | Answer | Ended | QuotaAsk | QuotaAnswer

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> Message:
    """Decode a datagram; raise ``MalformedDataError``."""
    return decoding.decode(_decoder.decode, datagram)
