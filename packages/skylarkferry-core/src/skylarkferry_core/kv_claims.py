"""KV memory claimed by the programs of one engine, as derived by the engine's sidecar."""

import msgspec

from skylarkferry_core.ids import CallId, Fingerprint, ProgramId, RunId
from skylarkferry_core.messages import Order


class KvClaim(msgspec.Struct):
    """Claim of one run: tokens beyond its shared prefix, and the time until which they are kept.

    ``calls`` counts the running calls; ``typical_tokens`` is the average that such runs hold.
    """

    program_id: ProgramId
    tokens: int
    typical_tokens: int
    prefix: Fingerprint
    prefix_tokens: int
    keep_until: float = 0.0
    calls: int = 0


class KvClaims:
    """Claims of running calls and paused runs, derived from orders and outcomes only."""

    def __init__(self) -> None:
        self.claims: dict[str, KvClaim] = {}

    def started(self, order: Order) -> None:
        """Claim the tokens that a starting call will hold when it ends."""
        claim = self.claims.get(_run_key(order.call_id))
        tokens = order.cached_tokens + order.prefill_tokens + order.output_tokens
        calls = claim.calls if claim else 0
        self.claims[_run_key(order.call_id)] = KvClaim(
            program_id=order.program_id,
            tokens=tokens,
            typical_tokens=order.typical_tokens,
            prefix=order.prefix,
            prefix_tokens=order.prefix_tokens,
            calls=calls + 1,
        )

    def ended(self, order: Order, tokens: int, now: float) -> None:
        """Record that a call ended; keep the run's claim for ``order.keep_kv_s``.

        ``tokens`` counts the call's prompt and output; 0 leaves the size of the claim unchanged.
        """
        claim = self.claims.get(_run_key(order.call_id))
        if claim is None:
            return
        claim.calls -= 1
        claim.keep_until = now + order.keep_kv_s
        claim.tokens = max(tokens - claim.prefix_tokens, 0) if tokens else claim.tokens

    def released(self, program_id: ProgramId, run_id: RunId | None = None) -> None:
        """Drop the claims of a program, or of one of its runs, except those with running calls."""
        selected_run = None if run_id is None else f"{program_id}/{run_id}"
        for run, claim in list(self.claims.items()):
            if claim.program_id == program_id and selected_run in (None, run) and claim.calls <= 0:
                del self.claims[run]

    def totals(self, now: float) -> tuple[int, int]:
        """Return the tokens held and the tokens reserved.

        Reserved tokens count a run's typical size where it is larger than the size held.
        """
        for run, claim in list(self.claims.items()):
            if claim.calls <= 0 and claim.keep_until <= now:
                del self.claims[run]
        claims = self.claims.values()
        shared = sum({claim.prefix: claim.prefix_tokens for claim in claims}.values())
        held = shared + sum(claim.tokens for claim in claims)
        return held, shared + sum(max(item.tokens, item.typical_tokens) for item in claims)


def _run_key(call_id: CallId) -> str:
    return call_id.rpartition("/")[0]
