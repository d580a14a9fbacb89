"""Relay of requests whose responses are buffered before they are sent to the client."""

from http import HTTPStatus

import anyio

from skylarkferry_core.errors import (
    AnswerInvalidError,
    SkylarkferryError,
    UpstreamLostError,
)
from skylarkferry_core.states import FinalWord
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.exchanges import Reply, UpstreamFullError
from skylarkferry_gateway.http_server import ClientConnection
from skylarkferry_gateway.relay_context import RelayContext
from skylarkferry_gateway.selection import Selection


class BufferedRelay:
    """Send a request until a response is accepted or no further attempt is allowed."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context

    async def relay(self, attempts: Attempts, client: ClientConnection) -> int:
        """Respond to the client and return the status; raise the error to respond with instead."""
        attempts.has_client_left = lambda: client.is_disconnected
        try:
            if attempts.route.is_repeatable:
                reply, body = await self._fetch(attempts)
            else:
                with anyio.CancelScope(shield=True):
                    reply, body = await self._fetch(attempts)
            headers = self.context.codec.client_headers(reply.headers)
            await client.respond(reply.status, headers, body)
        finally:
            attempts.release_held()
        return reply.status

    async def _fetch(self, attempts: Attempts) -> tuple[Reply, bytes]:
        while True:
            now = anyio.current_time()
            decision = None
            if attempts.can_attempt(now) and not attempts.has_client_left():
                decision = await self.context.choose_upstream(attempts, now)
            if decision is None:
                if attempts.last_reply is not None:
                    return attempts.last_reply
                raise attempts.final_error(now)
            response = await self._attempt(attempts, decision)
            if response is not None:
                return response

    async def _attempt(self, attempts: Attempts, decision: Selection) -> tuple[Reply, bytes] | None:
        """Return an accepted response, or ``None`` if another attempt may follow."""
        upstream = decision.upstream
        now = anyio.current_time()
        upstream.local.breaker.begin(now)
        attempts.tried_upstreams.add(upstream)
        attempts_before = attempts.attempts_made
        try:
            reply, body = await self._exchange(attempts, decision)
        except SkylarkferryError as error:
            if isinstance(error, UpstreamFullError):
                self.context.count_abandoned(decision)
            else:
                self.context.count_failure(decision, error)
            self.context.report_failed_attempt(attempts, decision, error)
            attempts.count_failed(error)
            if error.word is not FinalWord.NOT_RUN:
                attempts.ambiguous_error = error
                self.context.check_for_crash(attempts, decision)
            return None
        except BaseException:
            self.context.count_abandoned(decision)
            if attempts.attempts_made > attempts_before:
                self.context.check_for_crash(attempts, decision)
            raise
        else:
            return self._evaluate(attempts, decision, reply, body)
        finally:
            self.context.selector.on_attempt_ended(decision)

    async def _exchange(self, attempts: Attempts, decision: Selection) -> tuple[Reply, bytes]:
        context = self.context
        async with context.exchange(attempts, decision) as exchange:
            await exchange.connect(attempts.idle_limit_s, attempts.request)
            decision.alive_at = exchange.alive_at
            now = anyio.current_time()
            attempts.count_sent()
            request_metadata = context.upstream_request_metadata(attempts, decision, now)
            reply_deadline = context.reply_deadline(attempts, decision, now)
            with anyio.move_on_at(reply_deadline):
                body = (attempts.request.body,)
                reply = await exchange.send(attempts.request, body, request_metadata)
                context.on_reply(decision, reply)
                content = await exchange.body()
                attempts.held.append(exchange.take_held())
                await exchange.finish()
                context.check_slowdown(attempts, decision, now)
                return reply, content
            raise AnswerInvalidError("no response in time")

    def _evaluate(
        self, attempts: Attempts, decision: Selection, reply: Reply, body: bytes
    ) -> tuple[Reply, bytes] | None:
        upstream = decision.upstream
        if reply.metadata.not_executed or reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            self.context.count_refusal(decision)
            if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
                upstream.is_misdirected = True
            error = UpstreamLostError(f"refused with status {reply.status}")
            attempts.count_failed(error)
            self.context.report_failed_attempt(attempts, decision, error)
            return None
        if not reply.is_trusted:
            self.context.count_failure(decision)
            attempts.ambiguous_error = AnswerInvalidError(
                f"untrusted response with status {reply.status}"
            )
            self.context.report_failed_attempt(attempts, decision, attempts.ambiguous_error)
            return None
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.context.on_failure_status(decision, reply)
            if attempts.route.is_repeatable:
                attempts.last_reply = (reply, body)
                failure = AnswerInvalidError(f"failed with status {reply.status}")
                self.context.report_failed_attempt(attempts, decision, failure)
                return None
            return reply, body
        self.context.count_success(decision)
        self.context.crashes.on_completed(attempts.request)
        return reply, body
