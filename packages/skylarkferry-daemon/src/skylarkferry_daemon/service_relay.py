"""Relay of plain-service requests that carry no idempotency key."""

import itertools

import msgspec

from skylarkferry_core.entry_messages import ServiceRequest
from skylarkferry_core.errors import (
    ErrorCode,
    NoUpstreamError,
    SkylarkferryError,
    UnknownServiceError,
    UpstreamLostError,
    error_for,
)
from skylarkferry_core.frames import Chunk
from skylarkferry_core.ids import (
    CallId,
    Epoch,
    Incarnation,
    PartitionNumber,
    ProgramId,
    UpstreamId,
    fingerprint_of,
)
from skylarkferry_core.messages import Fence, Order, Outcome, ServiceReply
from skylarkferry_core.states import FinalWord, Priority
from skylarkferry_daemon.call_placement import CallTarget
from skylarkferry_daemon.call_planner import pool_of_service, tool_request
from skylarkferry_daemon.context import EntryContext

UNFENCED = Fence(PartitionNumber(-1), Epoch(0))
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class ServiceRelay:
    """Sends a request to an upstream; retries it at most once, at another if possible.

    It is retried if it did not run, or if it got no reply and its method is safe.
    """

    def __init__(self, context: EntryContext, incarnation: Incarnation) -> None:
        self.context = context
        self.incarnation = incarnation
        self.sequence = itertools.count()

    async def relay(self, request: ServiceRequest) -> ServiceReply:
        """Return the service's reply; raise a typed error that carries the call's outcome."""
        pool = pool_of_service(self.context.documents.current, request.work.service)
        if pool is None:
            raise UnknownServiceError(f"unknown service {request.work.service}")
        safe = request.work.method in _SAFE_METHODS
        tried_upstreams: list[UpstreamId] = []
        outcome = await self._try_once(request, CallTarget(pool=pool), safe, tried_upstreams)
        if outcome.word is FinalWord.NOT_RUN or (safe and outcome.reply is None):
            outcome = await self._try_once(request, CallTarget(pool=pool), safe, tried_upstreams)
        return reply_of(outcome)

    async def _try_once(
        self,
        request: ServiceRequest,
        target: CallTarget,
        safe: bool,
        tried_upstreams: list[UpstreamId],
    ) -> Outcome:
        order = self._order(request, safe)
        placed = self.context.placer.place(target, tool_request(order.program_id), tried_upstreams)
        if placed is None:
            raise NoUpstreamError("no upstream of the service is available now", retry_after_s=1.0)
        upstream = placed.upstream
        tried_upstreams.append(upstream)
        try:
            outcome = await self.context.sidecars.dispatch(upstream, order, self)
        except UpstreamLostError as error:
            return Outcome(
                order.call_id, FinalWord.UNKNOWN, error=ErrorCode.UPSTREAM_LOST, detail=error.detail
            )
        self.context.sidecars.acknowledge(upstream, order.call_id)
        return outcome

    def on_chunk(self, chunk: Chunk) -> None:
        """Ignore output: plain services send their replies whole."""

    def _order(self, request: ServiceRequest, safe: bool) -> Order:
        program_id = ProgramId(f"relay-{self.incarnation}-{next(self.sequence)}")
        return Order(
            call_id=CallId(f"{program_id}/0/0.1.0"),
            program_id=program_id,
            customer=request.customer,
            fence=UNFENCED,
            priority=Priority.URGENT,
            repeatable=safe,
            remaining_s=request.deadline_s,
            slack_s=request.deadline_s,
            timeout_s=request.deadline_s,
            fingerprint=fingerprint_of(msgspec.msgpack.encode(request.work)),
            work=request.work,
        )


def reply_of(outcome: Outcome) -> ServiceReply:
    """Return a service call's reply, or raise its typed error with its outcome."""
    if outcome.word is FinalWord.DONE and outcome.reply is not None:
        return outcome.reply
    raise outcome_error(outcome)


def outcome_error(outcome: Outcome) -> SkylarkferryError:
    """Return the typed error of a call that got no reply."""
    code = outcome.error or ErrorCode.UPSTREAM_FAILED
    error = error_for(code, outcome.detail, outcome.retry_after_s)
    error.word = outcome.word
    return error
