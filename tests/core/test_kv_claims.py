from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from policy import queued
from skylarkferry_core.ids import Fingerprint, ProgramId
from skylarkferry_core.kv_claims import KvClaims

KEEP_S = 5.0
PREFIX_TOKENS = 300
TYPICAL_TOKENS = 1_000
names = st.sampled_from(["0000-a", "0000-b", "0000-c"])
steps = st.lists(
    st.tuples(
        st.sampled_from(["start", "end", "release"]),
        names,
        st.integers(1, 2_000),
        st.floats(0, 4),
    ),
    max_size=25,
)


def order(name, tokens):
    return queued(
        name,
        prefill_tokens=tokens,
        typical_tokens=TYPICAL_TOKENS,
        keep_kv_s=KEEP_S,
        prefix=Fingerprint("instructions"),
        prefix_tokens=PREFIX_TOKENS,
    ).order


def reference_step(reference, kind, name, tokens, now):
    """Apply one step to a list of [name, tokens, running calls, kept until]."""
    found = next((entry for entry in reference if entry[0] == name), None)
    if kind == "start":
        calls = found[2] if found else 0
        reference[:] = [entry for entry in reference if entry is not found]
        reference.append([name, tokens, calls + 1, 0.0])
    elif kind == "end" and found and found[2]:
        found[1:] = [tokens, found[2] - 1, now + KEEP_S]
    elif kind == "release":
        reference[:] = [entry for entry in reference if entry is not found or entry[2]]


@given(steps)
def test_claims_agree_with_a_plain_list(script):
    claims, reference, now = KvClaims(), [], 0.0
    for kind, name, tokens, pause_s in script:
        now += pause_s
        running = any(entry[0] == name and entry[2] for entry in reference)
        reference_step(reference, kind, name, tokens, now)
        if kind == "start":
            claims.started(order(name, tokens))
        elif kind == "end" and running:
            claims.ended(order(name, tokens), tokens + PREFIX_TOKENS, now)
        elif kind == "release":
            claims.released(ProgramId(name))
        reference[:] = [entry for entry in reference if entry[2] or entry[3] > now]
        shared = PREFIX_TOKENS if reference else 0
        held = shared + sum(entry[1] for entry in reference)
        reserved = shared + sum(max(entry[1], TYPICAL_TOKENS) for entry in reference)
        assert_that(claims.totals(now), Equals((held, reserved)))
