import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_admission.decisions import RejectReason
from skylarkferry_core.errors import MalformedDataError
from skylarkferry_core.ids import CustomerId, FailureDomain, ProgramId, ServiceName, UpstreamId
from skylarkferry_gateway import placement_messages
from skylarkferry_gateway.placement_messages import (
    Answer,
    Ask,
    Ended,
    Enqueue,
    PlacementQuery,
    Queued,
    QueueTerms,
    Rejected,
)
from skylarkferry_gateway.upstream_views import AttemptOutcome

QUERY = PlacementQuery(
    ServiceName("engine"), FailureDomain("a"), ProgramId("p"), "", True, (), 100, 10, 2.0
)
TERMS = QueueTerms(1, float("inf"), 0.4, CustomerId("c"), 8.5, True)


# Guards against messages that the receiver does not read as they were sent.
@pytest.mark.parametrize(
    "message",
    [
        Enqueue(7, QUERY, TERMS),
        Queued((7, 8, 1 << 60)),
        Rejected(7, RejectReason.QUEUE_FULL, 0.4, 0.3, 0.05, 12),
    ],
)
def test_messages_of_the_queue_arrive_as_sent(message):
    received = placement_messages.decode(placement_messages.encode(message))
    assert_that(received, Equals(message))


# Guards against changed datagrams where no request waits, also between versions of the gateway.
def test_messages_of_placements_without_a_queue_are_unchanged():
    encoded = [
        placement_messages.encode(message).hex()
        for message in (Ask(7, QUERY), Answer(7, UpstreamId("e")), Ended(7, AttemptOutcome.SERVED))
    ]
    expected = [
        "93a361736b079fa6656e67696e65a161a170a0c390640acb40000000000000009090a0000001",
        "96a6616e7377657207a1650000cb0000000000000000",
        "96a5656e64656407a6736572766564c0cb0000000000000000c0",
    ]
    assert_that(encoded, Equals(expected))


# Guards against a datagram with a field of another type that ends the process.
@pytest.mark.parametrize(
    "data",
    [b"\x92\xa6queued\xa1x", b"\x93\xa7enqueue\x01\x02", b"\x93\xa8rejected\x01\xa5never"],
)
def test_malformed_messages_of_the_queue_are_refused(data):
    with pytest.raises(MalformedDataError):
        placement_messages.decode(data)
