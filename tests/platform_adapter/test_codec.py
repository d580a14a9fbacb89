import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from skylarkferry_core.customers import key_digest
from skylarkferry_core.errors import BadRequestError
from skylarkferry_core.ids import CustomerId, UpstreamId
from skylarkferry_gateway.messages import PromptPart, ReportedLoad, UpstreamRequestMetadata
from skylarkferry_platform.codec import PlatformHeaders

CODEC = PlatformHeaders()


def test_turn_headers_are_decoded():
    metadata = CODEC.decode_request(
        [
            (b"skylarkferry-request-id", b"r"),
            (b"skylarkferry-deadline-ms", b"1500"),
            (b"skylarkferry-token-budget", b"4576"),
            (b"skylarkferry-token-usage", b"1840,572"),
            (b"skylarkferry-prompt-prefix", b"5c1e:800,91bd:410"),
            (b"last-event-id", b"12"),
            (b"resumes", b"first"),
        ]
    )
    found = (metadata.time_left_s, metadata.token_budget, metadata.output_tokens)
    assert_that(found, Equals((1.5, 4576, 572)))
    assert_that(metadata.prompt_parts, Equals((PromptPart("5c1e", 800), PromptPart("91bd", 410))))
    assert_that((metadata.last_event_id, metadata.resumed_request), Equals((12, "first")))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"skylarkferry-deadline-ms", b"-1"),
        (b"skylarkferry-deadline-ms", b"inf"),
        (b"skylarkferry-token-usage", b"1"),
        (b"skylarkferry-token-usage", b"100,-50"),
        (b"skylarkferry-token-usage", b"-1,50"),
        (b"skylarkferry-token-budget", b"many"),
        (b"skylarkferry-prompt-prefix", b"5c1e"),
        (b"skylarkferry-prompt-prefix", b"5c1e:99999999999999999999"),
        (b"skylarkferry-token-usage", b"99999999999999999999,1"),
        (b"skylarkferry-token-budget", b"99999999999999999999"),
        (b"last-event-id", b"99999999999999999999"),
    ],
)
def test_invalid_values_are_rejected(name, value):
    with ExpectedException(BadRequestError):
        CODEC.decode_request([(name, value)])


@given(st.binary(max_size=30))
def test_any_value_decodes_or_raises_bad_request(value):
    for name in (b"skylarkferry-prompt-prefix", b"skylarkferry-token-usage", b"last-event-id"):
        try:
            CODEC.decode_request([(name, value)])
        except BadRequestError:
            continue


def test_hop_by_hop_headers_are_not_forwarded():
    fields = [(b"connection", b"X-Mine, close"), (b"x-mine", b"1"), (b"x-kept", b"2")]
    assert_that(CODEC.forwarded_headers(fields), Equals([(b"x-kept", b"2")]))


def test_request_to_an_upstream_has_its_instance_and_remaining_time():
    fields = CODEC.upstream_headers(UpstreamRequestMetadata(0.25, UpstreamId("i-1"), 12, 4))
    expected = [
        (b"skylarkferry-deadline-ms", b"250"),
        (b"skylarkferry-expect-instance", b"i-1"),
        (b"skylarkferry-request-priority", b"9"),
        (b"last-event-id", b"4"),
    ]
    assert_that(fields, Equals(expected))


def test_reply_is_decoded_and_invalid_values_are_omitted():
    fields = [
        (b"skylarkferry-response-signature", b"s"),
        (b"skylarkferry-server-load", b"3,1,8"),
        (b"keep-alive", b"timeout=5, max=100"),
    ]
    metadata = CODEC.decode_reply(fields)
    found = (metadata.is_signed, metadata.report.load, metadata.idle_s)
    assert_that(found, Equals((True, ReportedLoad(3, 1, 8), 5.0)))
    for load in (b"full", b"99999999999999999999,1,8"):
        invalid = CODEC.decode_reply([(b"skylarkferry-server-load", load), (b"keep-alive", b"x")])
        assert_that((invalid.report.load, invalid.idle_s), Equals((None, None)))
    assert_that(CODEC.client_headers(fields), Not(Contains(fields[1])))


# Guards against a report that is dropped whole because it has further figures.
@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"4,0,16,120", ReportedLoad(4, 0, 16, 1.2)),
        (b"2, 0, 6, 100", ReportedLoad(2, 0, 6, 1.0)),
        (b"4,0,16,120,7,later", ReportedLoad(4, 0, 16, 1.2)),
        (b"4,0,16,-3", ReportedLoad(4, 0, 16)),
        (b"4,0,16,0", ReportedLoad(4, 0, 16)),
        (b"4,0,16,nan", ReportedLoad(4, 0, 16)),
        (b"4,0,16,", ReportedLoad(4, 0, 16)),
        (b"4,0", None),
        (b"4,0,x,100", None),
    ],
)
def test_load_with_further_figures_is_decoded(value, expected):
    report = CODEC.decode_reply([(b"skylarkferry-server-load", value)]).report
    assert_that(report.load, Equals(expected))


@pytest.mark.parametrize(
    ("value", "malformed"),
    [
        (b"4,0,16", ()),
        (b"4,0,16,120", ()),
        (b"4,0,16,120,x", ()),
        (b"4,0,16,slow", ("skylarkferry-server-load: slowdown b'slow'",)),
        (b"5,1,16,slow,7", ("skylarkferry-server-load: slowdown b'slow'",)),
        (b"4,0,16,", ("skylarkferry-server-load: slowdown b''",)),
        (b"4,0,16,0", ("skylarkferry-server-load: slowdown b'0'",)),
    ],
)
def test_malformed_slowdown_is_told_apart_from_the_figures_that_stay_in_force(value, malformed):
    """Guards against a slowdown that is dropped unseen, and a line for each change of the load."""
    report = CODEC.decode_reply([(b"skylarkferry-server-load", value)]).report
    assert_that((report.malformed, report.load is not None), Equals((malformed, True)))


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], None),
        ([b"Bearer k1"], key_digest(b"k1")),
        ([b"bearer  k1 "], key_digest(b"k1")),
        ([b"Bearer k1", b"Bearer k1"], key_digest(b"k1")),
        ([b"Bearer k1", b"Bearer k2"], None),
        ([b"Bearer "], None),
        ([b"Bearer"], None),
        ([b"Basic azE6"], None),
        ([b""], None),
    ],
)
def test_one_bearer_token_is_decoded_to_its_digest(values, expected):
    metadata = CODEC.decode_request([(b"authorization", value) for value in values])
    assert_that(metadata.key_digest, Equals(expected))


# Guards against a request that is refused for a hint which only orders it among others.
@pytest.mark.parametrize(
    ("value", "expected"), [(b"5200", 5.2), (b"", math.inf), (b"-1", math.inf), (b"x", math.inf)]
)
def test_time_left_of_a_program_is_decoded(value, expected):
    metadata = CODEC.decode_request([(b"skylarkferry-finish-ms", value)])
    assert_that(metadata.finish_s, Equals(expected))


# Guards against an upstream that takes a client's word for who its customer is.
def test_only_the_gateway_names_the_customer():
    forwarded = CODEC.forwarded_headers([(b"skylarkferry-tenant", b"gears"), (b"x", b"1")])
    assert_that(forwarded, Equals([(b"x", b"1")]))
    metadata = UpstreamRequestMetadata(1.0, UpstreamId("i-1"), customer=CustomerId("gears"))
    assert_that(CODEC.upstream_headers(metadata), Contains((b"skylarkferry-tenant", b"gears")))


@pytest.mark.parametrize(
    ("values", "expected"),
    [([], None), ([b"4.5"], 4.5), ([b"12"], 12.0), ([b"0"], 0.0)],
)
def test_request_limit_is_decoded(values, expected):
    report = CODEC.decode_reply([(b"server-limit", value) for value in values]).report
    assert_that((report.limit_per_s, report.malformed), Equals((expected, ())))


@pytest.mark.parametrize(
    "values",
    [[b""], [b"-1"], [b"nan"], [b"inf"], [b"1e3"], [b"4,5"], [b"4 a second"], [b"4", b"5"]],
)
def test_malformed_request_limit_tells_nothing(values):
    report = CODEC.decode_reply([(b"server-limit", value) for value in values]).report
    assert_that((report.limit_per_s, len(report.malformed)), Equals((msgspec.UNSET, 1)))


def test_leaving_is_decoded():
    report = CODEC.decode_reply([(b"server-leaving", b"1")]).report
    assert_that((report.is_leaving, report.malformed), Equals((True, ())))


@pytest.mark.parametrize("values", [[b"0"], [b""], [b"true"], [b"1 "], [b"1", b"1"]])
def test_malformed_leaving_is_not_taken(values):
    report = CODEC.decode_reply([(b"server-leaving", value) for value in values]).report
    assert_that((report.is_leaving, len(report.malformed)), Equals((False, 1)))
