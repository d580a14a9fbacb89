"""Resolution of dispatched calls: seal a call at its sidecar to find out whether it ran."""

import anyio

from skylarkferry_core.errors import ErrorCode, UpstreamLostError
from skylarkferry_core.frames import SealRequest
from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.messages import Fence, Outcome
from skylarkferry_core.outcomes import not_run_outcome, unknown_outcome
from skylarkferry_core.records import CallIntended
from skylarkferry_core.states import SealVerdict, UpstreamState
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.interfaces import ChunkSink

SEAL_RETRY_S = 0.2


async def resolve_outcome(
    context: EntryContext, intent: CallIntended, fence: Fence, sink: ChunkSink
) -> Outcome:
    """Return the outcome of a dispatched call; retry until the sidecar answers or is gone.

    ``not_run`` means that the call is sealed: it has not run and never will.
    """
    request = SealRequest(intent.call_id, fence, intent.incarnation)
    while True:
        try:
            outcome = await _seal_once(context, intent, request, sink)
        except UpstreamLostError as error:
            if not is_gone(context, intent.upstream):
                await anyio.sleep(SEAL_RETRY_S)
                continue
            outcome = unknown_outcome(intent.call_id, ErrorCode.OUTCOME_UNKNOWN, error.detail)
        context.log_sealed(intent.program_id, outcome)
        return outcome


async def _seal_once(
    context: EntryContext, intent: CallIntended, request: SealRequest, sink: ChunkSink
) -> Outcome:
    reply = await context.sidecars.seal(intent.upstream, request)
    match reply.verdict:
        case SealVerdict.EXECUTED if reply.outcome is not None:
            return reply.outcome
        case SealVerdict.IN_PROGRESS:
            return await context.sidecars.attach(
                intent.upstream, intent.call_id, request.fence, sink
            )
        case SealVerdict.SEALED:
            return not_run_outcome(intent.call_id, ErrorCode.SEALED, "sealed before it ran")
    return unknown_outcome(
        intent.call_id,
        ErrorCode.OUTCOME_UNKNOWN,
        "the sidecar cannot determine whether the call ran",
    )


def is_gone(context: EntryContext, upstream: UpstreamId) -> bool:
    """Return whether an upstream has left permanently; an unlisted one counts as gone."""
    for host in context.sidecars.hosts():
        if host.upstream == upstream:
            return host.state is UpstreamState.GONE
    return True
