"""Datagrams between gateways that ask for placements or quotas and those that answer."""

import itertools
import time
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import anyio
from anyio.abc import UDPSocket

from skylarkferry_core.errors import MalformedDataError
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults, placement_messages
from skylarkferry_gateway.coordinator import PlacementCoordinator
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.placement_messages import (
    Answer,
    Ask,
    Ended,
    Enqueue,
    Message,
    PlacementQuery,
    Queued,
    QueueTerms,
    Rejected,
)
from skylarkferry_gateway.quota_messages import QuotaAnswer, QuotaAsk
from skylarkferry_gateway.shard_queues import Outgoing, ShardQueues
from skylarkferry_gateway.upstream_views import AttemptOutcome

Reply = TypeVar("Reply", Answer, QuotaAnswer)

_MAX_DATAGRAM_BYTES = 8_192
"""Longest datagram that is sent; the path fragments larger ones into many packets."""
_MAX_UNSENT = 1_000
_NS_PER_MS = 1_000_000
_MAX_PROBES = 64
"""Unanswered probes that are remembered; a late answer to an older one is ignored."""


class _Waiting(Generic[Reply]):
    """A question that waits for its answer."""

    def __init__(self) -> None:
        self.answer: Reply | None = None
        self.answered = anyio.Event()

    def set(self, answer: Reply) -> None:
        """Keep the answer and wake the asker."""
        self.answer = answer
        self.answered.set()


class _WaitingPlacement(_Waiting[Answer]):
    """A question for an upstream; ``news`` is set by each message about it."""

    def __init__(self) -> None:
        super().__init__()
        self.rejected: Rejected | None = None
        self.news = anyio.Event()

    @property
    def decision(self) -> Answer | Rejected | None:
        """Return the final answer, if it has arrived."""
        return self.answer or self.rejected


class PlacementCalls:
    """Ask coordinators at other gateways, and answer for the coordinator in this one.

    A lost datagram costs the asker a timeout, and the coordinator the end of an attempt, which it
    then forgets at the attempt's deadline.
    """

    def __init__(
        self,
        address: str,
        coordinator: PlacementCoordinator,
        queues: ShardQueues,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.address = address
        self.coordinator = coordinator
        self.queues = queues
        self.has_waiting = anyio.Event()
        self.log = log
        self.metrics = metrics
        # Numbers of an earlier process at this address are not used again.
        self.numbers = itertools.count(time.time_ns() // _NS_PER_MS << 20)
        self.waiting: dict[int, _WaitingPlacement] = {}
        self.answer_quota: Callable[[QuotaAsk], QuotaAnswer] | None = None
        self.quota_waiting: dict[int, _Waiting[QuotaAnswer]] = {}
        self.quota_probes: dict[int, Callable[[], None]] = {}
        self.unsent, self.queued = anyio.create_memory_object_stream[tuple[str, bytes]](_MAX_UNSENT)

    async def run(self) -> None:
        """Send and receive datagrams until cancelled."""
        host, _, port = self.address.rpartition(":")
        socket = await anyio.create_udp_socket(local_host=host, local_port=int(port))
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_queued, socket)
            tasks.start_soon(self._serve_queues)
            await self._receive(socket)

    async def _send_queued(self, socket: UDPSocket) -> None:
        async for address, data in self.queued:
            host, _, port = address.rpartition(":")
            try:
                await socket.sendto(data, host, int(port))
            except (OSError, anyio.BrokenResourceError) as error:
                self.metrics.datagrams_dropped.labels(reason="not_sent").inc()
                self.log.emit(EventKind.GATEWAY_DATAGRAM_DROPPED, peer=address, detail=repr(error))

    async def _receive(self, socket: UDPSocket) -> None:
        async for data, (host, port) in socket:
            sender = f"{host}:{port}"
            try:
                message = placement_messages.decode(data)
            except MalformedDataError as error:
                self.metrics.datagrams_dropped.labels(reason="malformed").inc()
                self.log.emit(EventKind.GATEWAY_DATAGRAM_DROPPED, peer=sender, detail=error.detail)
                continue
            self._on_message(message, sender)

    def _on_message(self, message: Message, sender: str) -> None:
        now = anyio.current_time()
        match message:
            case Ask():
                answer = self.coordinator.place(sender, message.number, message.query, now)
                self._enqueue(sender, answer)
            case Enqueue():
                self._deliver(self.queues.ask(sender, message, now))
            case Ended():
                self._deliver(self.queues.end(sender, message, now))
            case Answer() | Queued() | Rejected():
                self._on_reply(message)
            case QuotaAsk():
                if self.answer_quota is not None:
                    self._enqueue(sender, self.answer_quota(message))
            case QuotaAnswer():
                self._on_quota_answer(message)

    def _on_reply(self, message: Answer | Queued | Rejected) -> None:
        numbers = message.numbers if isinstance(message, Queued) else (message.number,)
        for number in numbers:
            waiting = self.waiting.get(number)
            if waiting is None:
                continue
            if isinstance(message, Answer):
                waiting.set(message)
            elif isinstance(message, Rejected):
                waiting.rejected = message
            waiting.news.set()

    def _deliver(self, outgoing: Iterable[Outgoing]) -> None:
        """Send what a coordinator's queues decided, to this gateway without a datagram."""
        for address, message in outgoing:
            if address != self.address:
                self._enqueue(address, message)
            elif isinstance(message, Answer | Queued | Rejected):
                self._on_reply(message)
        if self.queues.is_waiting:
            self.has_waiting.set()

    async def _serve_queues(self) -> None:
        """Decide about waiting requests anew, and tell gateways regularly that they wait."""
        news_at = 0.0
        while True:
            await self.has_waiting.wait()
            await anyio.sleep(defaults.QUEUE_SWEEP_S)
            now = anyio.current_time()
            self._deliver(self.queues.decide(now))
            if now >= news_at:
                news_at = now + defaults.QUEUE_NEWS_S
                self._deliver(self.queues.waiting_news())
            if not self.queues.is_waiting:
                self.has_waiting = anyio.Event()

    def _on_quota_answer(self, answer: QuotaAnswer) -> None:
        waiting = self.quota_waiting.get(answer.number)
        if waiting is not None:
            waiting.set(answer)
        on_answer = self.quota_probes.pop(answer.number, None)
        if on_answer is not None:
            on_answer()

    def _enqueue(self, address: str, message: Message) -> bool:
        """Queue a message without waiting; return False if it is too long or the queue is full."""
        data = placement_messages.encode(message)
        if len(data) > _MAX_DATAGRAM_BYTES:
            self.metrics.datagrams_dropped.labels(reason="too_long").inc()
            return False
        try:
            self.unsent.send_nowait((address, data))
        except anyio.WouldBlock:
            self.metrics.datagrams_dropped.labels(reason="queue_full").inc()
            return False
        return True

    async def ask(self, address: str, query: PlacementQuery) -> Answer | None:
        """Return a coordinator's answer, or ``None`` if none arrives in time."""
        number = self.next_number()
        if address == self.address:
            return self.coordinator.place(address, number, query, anyio.current_time())
        asked_at = anyio.current_time()
        waiting = self.waiting[number] = _WaitingPlacement()
        try:
            if not self._enqueue(address, Ask(number, query)):
                return None
            with anyio.move_on_after(defaults.PLACEMENT_TIMEOUT_S):
                await waiting.answered.wait()
        finally:
            del self.waiting[number]
            if waiting.answer is None:
                self.end(address, Ended(number, AttemptOutcome.ABANDONED))
        self.metrics.placement_latency.observe(anyio.current_time() - asked_at)
        return waiting.answer

    async def ask_queue(
        self, address: str, query: PlacementQuery, terms: QueueTerms, deadline: float
    ) -> Answer | Rejected | None:
        """Return a coordinator's decision, however long it lets the request wait.

        Return ``None`` if the coordinator falls silent or the deadline passes.  The question is
        sent again once, as a datagram may be lost.  Without a decision it is withdrawn, also if
        the client leaves.
        """
        number = next(self.numbers)
        waiting = self.waiting[number] = _WaitingPlacement()
        is_taken, is_repeated = False, False
        question = Enqueue(number, query, terms)
        try:
            self._send_question(address, question)
            silence_s = defaults.PLACEMENT_TIMEOUT_S
            while waiting.decision is None:
                silent_at = anyio.current_time() + silence_s
                with anyio.move_on_at(min(silent_at, deadline)):
                    await waiting.news.wait()
                if waiting.news.is_set():
                    waiting.news = anyio.Event()
                    silence_s = defaults.COORDINATOR_SILENCE_S
                elif is_repeated or anyio.current_time() >= deadline:
                    return None
                else:
                    is_repeated, silence_s = True, defaults.PLACEMENT_TIMEOUT_S
                    self._send_question(address, question)
            is_taken = True
            return waiting.decision
        finally:
            del self.waiting[number]
            if not is_taken:
                self.end(address, Ended(number, AttemptOutcome.ABANDONED))

    def _send_question(self, address: str, question: Enqueue) -> None:
        if address == self.address:
            self._deliver(self.queues.ask(address, question, anyio.current_time()))
        else:
            self._enqueue(address, question)

    def end(self, address: str, ended: Ended) -> None:
        """Tell a coordinator that an attempt ended."""
        if address == self.address:
            self._deliver(self.queues.end(address, ended, anyio.current_time()))
        else:
            self._enqueue(address, ended)

    def next_number(self) -> int:
        """Return the number of the next question."""
        return next(self.numbers)

    async def ask_quota(self, address: str, ask: QuotaAsk, timeout_s: float) -> QuotaAnswer | None:
        """Return the answer of an owner of quotas, or ``None`` if none arrives in time.

        After a pause of this process an answer may be old, so that it is not used.
        """
        asked_at = anyio.current_time()
        waiting = self.quota_waiting[ask.number] = _Waiting[QuotaAnswer]()
        try:
            if not self._enqueue(address, ask):
                return None
            with anyio.move_on_after(timeout_s):
                await waiting.answered.wait()
        finally:
            del self.quota_waiting[ask.number]
        is_late = anyio.current_time() - asked_at > timeout_s + defaults.QUOTA_TIMEOUT_S
        return None if is_late else waiting.answer

    def probe_quota(self, address: str, ask: QuotaAsk, on_answer: Callable[[], None]) -> None:
        """Ask whether an owner answers again, without waiting for it."""
        if len(self.quota_probes) >= _MAX_PROBES:
            del self.quota_probes[next(iter(self.quota_probes))]
        self.quota_probes[ask.number] = on_answer
        self._enqueue(address, ask)
