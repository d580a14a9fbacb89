import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_admission.decisions import Reject, RejectReason, RunHere, Wait
from skylarkferry_core.ids import UpstreamId


def test_decisions_can_be_told_apart():
    decisions = [RunHere(UpstreamId("i-1")), Wait(3.5), Reject(RejectReason.QUOTA, 0.2)]
    found = [type(decision).__name__ for decision in decisions]
    assert_that(found, Equals(["RunHere", "Wait", "Reject"]))


# Guards against a reason whose name in logs and metrics changes without notice.
def test_reasons_have_stable_names():
    names = msgspec.json.encode(list(RejectReason))
    expected = ["unauthenticated", "uncertain", "quota", "deadline", "queue_full", "memory"]
    assert_that(msgspec.json.decode(names), Equals(expected))
