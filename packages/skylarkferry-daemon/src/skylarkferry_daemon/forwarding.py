"""Forwarding of program requests: run locally if this node is the owner, else at the owner."""

from collections.abc import AsyncIterator, Awaitable, Callable, MutableSequence, Sequence
from typing import Any, TypeVar

import anyio
from anyio.abc import TaskGroup

from skylarkferry_core.entry_messages import (
    Budget,
    ListRequest,
    ProgramRequest,
    ProgramSelector,
    ProgramView,
    ServiceRequest,
    StartRequest,
    WatchItem,
    WatchRequest,
)
from skylarkferry_core.errors import (
    ConnectionLostError,
    NotFoundError,
    NotOwnerError,
    PlatformUnavailableError,
    SkylarkferryError,
)
from skylarkferry_core.ids import (
    AgentName,
    PartitionNumber,
    ProgramId,
    RequestKey,
    partition_of,
    program_id_for,
)
from skylarkferry_core.messages import ServiceReply
from skylarkferry_daemon.attempt_history import AttemptHistory
from skylarkferry_daemon.directory import ProgramDirectory
from skylarkferry_daemon.interfaces import Ownership
from skylarkferry_daemon.peer_calls import PeerReply, follow_until_moved
from skylarkferry_daemon.peers import Peers
from skylarkferry_daemon.service_relay import ServiceRelay, reply_of
from skylarkferry_wire.methods import (
    ENTRY_CANCEL,
    ENTRY_LIST,
    ENTRY_SERVICE,
    ENTRY_SHOW,
    ENTRY_START,
    ENTRY_WATCH,
    Method,
)

FORWARD_TIMEOUT_S = 10.0
LIST_TIMEOUT_S = 2.0
OWNER_WAIT_S = 15.0
OWNER_POLL_S = 0.1
NO_AGENT = AgentName("")

Reply = TypeVar("Reply")


class SystemPrograms:
    """Programs of all nodes; implements the ``Programs`` protocol."""

    def __init__(
        self,
        *,
        directory: ProgramDirectory,
        ownership: Ownership,
        peers: Peers,
        relay: ServiceRelay,
        tasks: TaskGroup,
    ) -> None:
        self.directory = directory
        self.ownership = ownership
        self.peers = peers
        self.relay = relay
        self.tasks = tasks

    async def start(self, request: ProgramRequest) -> ProgramView:
        """Start a program at its owner; the request key makes it safe to repeat a lost request."""
        self.directory.admission_controller.check_platform()
        partition = self._partition_of_request(request)
        return await self._run_at_owner(
            partition,
            lambda: self.directory.start(request),
            ENTRY_START,
            StartRequest(request),
        )

    async def show(self, selector: ProgramSelector) -> ProgramView:
        """Return a program from its owner."""

        async def local() -> ProgramView:
            return self.directory.show(selector)

        return await self._run_at_owner(
            _partition(selector.program_id), local, ENTRY_SHOW, selector
        )

    async def cancel(self, selector: ProgramSelector) -> ProgramView:
        """Cancel a program at its owner."""
        return await self._run_at_owner(
            _partition(selector.program_id),
            lambda: self.directory.cancel(selector),
            ENTRY_CANCEL,
            selector,
        )

    async def watch(self, selector: ProgramSelector, after: int) -> AsyncIterator[WatchItem]:
        """Iterate over a program's steps and output, also when its owner changes."""
        partition = _partition(selector.program_id)
        retry_until = anyio.current_time() + OWNER_WAIT_S
        while True:
            try:
                async for item in self._watch_once(partition, selector, after):
                    after = item.step.number if item.step else after
                    retry_until = anyio.current_time() + OWNER_WAIT_S
                    yield item
                return
            except (NotOwnerError, ConnectionLostError):
                if anyio.current_time() >= retry_until:
                    raise
            await anyio.sleep(OWNER_POLL_S)

    def _watch_once(
        self, partition: PartitionNumber, selector: ProgramSelector, after: int
    ) -> AsyncIterator[WatchItem]:
        if self.ownership.fence(partition) is not None:
            return self.directory.watch(selector, after)
        address = self._owner_address(partition)
        items = self.peers.stream(address, ENTRY_WATCH, WatchRequest(selector, after))
        return follow_until_moved(items, lambda: self._moved(partition, address), self.tasks)

    def _moved(self, partition: PartitionNumber, address: str) -> bool:
        """Return whether a partition is known to have an owner other than ``address``."""
        if self.ownership.fence(partition) is not None:
            return True
        return self.ownership.owner_address(partition) not in (None, address)

    async def service(self, request: ServiceRequest) -> ServiceReply:
        """Relay a request to a plain service; one with an idempotency key runs at most once."""
        if not request.idempotency_key:
            return await self.relay.relay(request)
        self.directory.admission_controller.check_platform()
        program = service_program(request)
        return await self._run_at_owner(
            self._partition_of_request(program),
            lambda: self.run_service(request),
            ENTRY_SERVICE,
            request,
            request.deadline_s + FORWARD_TIMEOUT_S,
        )

    async def run_service(self, request: ServiceRequest) -> ServiceReply:
        """Run a service request with a key as a program of this node; return its reply."""
        view = await self.directory.start(service_program(request))
        outcome = await self.directory.outcome(view.program_id)
        return reply_of(outcome)

    async def list(self) -> Sequence[ProgramView]:
        """Return the programs under way on all nodes that answer."""
        found = list(self.directory.list())
        async with anyio.create_task_group() as tasks:
            for address in self.ownership.node_addresses():
                tasks.start_soon(self._list_at, address, found)
        return found

    async def _list_at(self, address: str, found: MutableSequence[ProgramView]) -> None:
        try:
            reply = await self.peers.call(address, ENTRY_LIST, ListRequest(), LIST_TIMEOUT_S)
        except SkylarkferryError:
            return
        found.extend(reply.programs)

    async def _run_at_owner(
        self,
        partition: PartitionNumber,
        local: Callable[[], Awaitable[Reply]],
        method: Method,
        request: Any,
        timeout_s: float = FORWARD_TIMEOUT_S,
    ) -> Reply:
        """Run a request at the partition's owner; during a move, wait for the next owner.

        While the platform is down no partition gets an owner, so the request is refused at once.
        """
        retry_until = anyio.current_time() + OWNER_WAIT_S
        history = AttemptHistory()
        while True:
            try:
                if self.ownership.fence(partition) is not None:
                    return await local()
                return await self._call_owner(partition, method, request, timeout_s)
            except (NotOwnerError, ConnectionLostError) as error:
                history.record_failure(error)
                self._check_platform(history)
                if anyio.current_time() >= retry_until:
                    raise history.with_combined_word(error) from error
            await anyio.sleep(OWNER_POLL_S)

    def _check_platform(self, history: AttemptHistory) -> None:
        """Raise ``PlatformUnavailableError`` in an outage, with the outcome of all attempts."""
        try:
            self.directory.admission_controller.check_platform()
        except PlatformUnavailableError as error:
            raise history.with_combined_word(error) from error

    async def _call_owner(
        self, partition: PartitionNumber, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Call the owner; raise ``NotOwnerError`` if the partition moves before the reply."""
        address = self._owner_address(partition)
        peer_reply = PeerReply()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_moved, partition, address, tasks.cancel_scope)
            await peer_reply.await_call(self.peers.call(address, method, request, timeout_s))
            tasks.cancel_scope.cancel()
        return peer_reply.get()

    async def _cancel_when_moved(
        self, partition: PartitionNumber, address: str, scope: anyio.CancelScope
    ) -> None:
        while True:
            if self._moved(partition, address):
                scope.cancel()
            await anyio.sleep(OWNER_POLL_S)

    def _owner_address(self, partition: PartitionNumber) -> str:
        address = self.ownership.owner_address(partition)
        if address is None:
            raise NotOwnerError("the partition has no owner yet", retry_after_s=1.0)
        return address

    def _partition_of_request(self, request: ProgramRequest) -> PartitionNumber:
        program_id = program_id_for(
            request.customer, request.request_key, self.directory.partitions
        )
        return partition_of(program_id)


def _partition(program_id: ProgramId) -> PartitionNumber:
    """Return a program's partition; raise ``NotFoundError`` for an invalid program id."""
    try:
        return partition_of(program_id)
    except ValueError as error:
        raise NotFoundError("no such program") from error


def service_program(request: ServiceRequest) -> ProgramRequest:
    """Return the program that represents one call of a plain service with a key."""
    return ProgramRequest(
        request_key=RequestKey(f"service/{request.idempotency_key}"),
        customer=request.customer,
        agent=NO_AGENT,
        input="",
        deadline_s=request.deadline_s,
        budget=Budget(0, 0, 0),
        service=request.work,
    )
