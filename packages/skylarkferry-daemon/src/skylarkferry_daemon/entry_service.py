"""gRPC methods through which other entries access the programs of this node."""

from collections.abc import AsyncIterator
from typing import TypeAlias

import grpc

from skylarkferry_core.entry_messages import (
    ListReply,
    ListRequest,
    ProgramSelector,
    ProgramView,
    ServiceRequest,
    StartRequest,
    TimelineReply,
    TimelineRequest,
    WatchItem,
    WatchRequest,
)
from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.messages import ServiceReply
from skylarkferry_daemon.directory import ProgramDirectory
from skylarkferry_daemon.forwarding import SystemPrograms
from skylarkferry_daemon.log import EventLog
from skylarkferry_wire.errors import abort_with
from skylarkferry_wire.methods import (
    ENTRY_CANCEL,
    ENTRY_LIST,
    ENTRY_SERVICE,
    ENTRY_SHOW,
    ENTRY_START,
    ENTRY_WATCH,
    PROCESS_TIMELINE,
)
from skylarkferry_wire.servers import add_handlers

Context: TypeAlias = grpc.aio.ServicerContext


class EntryService:
    """Serves the programs that this node owns; others get ``NotOwnerError``."""

    def __init__(
        self, directory: ProgramDirectory, programs: SystemPrograms, log: EventLog
    ) -> None:
        self.directory = directory
        self.programs = programs
        self.log = log

    def register(self, server: grpc.aio.Server) -> None:
        """Add the method handlers to a server."""
        add_handlers(
            server,
            {
                ENTRY_START: self.start,
                ENTRY_SHOW: self.show,
                ENTRY_CANCEL: self.cancel,
                ENTRY_WATCH: self.watch,
                ENTRY_SERVICE: self.service,
                ENTRY_LIST: self.list_programs,
                PROCESS_TIMELINE: self.timeline,
            },
        )

    async def start(self, request: StartRequest, context: Context) -> ProgramView:
        """Start a program of a partition that this node owns."""
        return await self.directory.start(request.request)

    async def show(self, selector: ProgramSelector, context: Context) -> ProgramView:
        """Return a program."""
        return self.directory.show(selector)

    async def cancel(self, selector: ProgramSelector, context: Context) -> ProgramView:
        """Cancel a program."""
        return await self.directory.cancel(selector)

    async def watch(self, request: WatchRequest, context: Context) -> AsyncIterator[WatchItem]:
        """Stream a program's steps and output."""
        try:
            async for item in self.directory.watch(request.selector, request.after):
                yield item
        except SkylarkferryError as error:
            await abort_with(context, error)

    async def service(self, request: ServiceRequest, context: Context) -> ServiceReply:
        """Run a service request with an idempotency key as a program."""
        return await self.programs.run_service(request)

    async def list_programs(self, request: ListRequest, context: Context) -> ListReply:
        """Return the programs under way on this node."""
        return ListReply(tuple(self.directory.list()))

    async def timeline(self, request: TimelineRequest, context: Context) -> TimelineReply:
        """Return events of this process."""
        return self.log.timeline(request)
