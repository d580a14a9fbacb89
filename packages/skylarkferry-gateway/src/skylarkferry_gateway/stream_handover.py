"""Hand-over of stream origins at a planned stop: other gateways then know them without a store."""

from collections import defaultdict

import anyio
import xxhash

from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.events import EventKind
from skylarkferry_core.rendezvous import ranked_names
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.messages import MAX_TOLD_STREAMS, ToldStream
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.peers import PeerClient
from skylarkferry_gateway.store_calls import key_part
from skylarkferry_gateway.stream_origins import StreamOrigins

_MAX_HANDED = 8_192
"""Streams of one run, the latest first: as many as one gateway keeps."""
_RECEIVERS = 2
"""Gateways that are told of each stream."""
_MAX_CANDIDATES = 4
"""Gateways that are tried for a stream; fewer than those that are asked for it."""
_BUCKETS = 256
"""Streams of one bucket have the same receivers, so that ranks are not computed for each stream."""


def _bucket(key: str) -> str:
    return str(xxhash.xxh64_intdigest(key.encode()) % _BUCKETS)


def ranked_peers(gateways: GatewayList, stream: str) -> list[str]:
    """Return the addresses of other gateways, those that are told of a stream first."""
    return _ranked(gateways, _bucket(key_part(stream)))


def _ranked(gateways: GatewayList, bucket: str) -> list[str]:
    others = [node for node in gateways.members if node != gateways.node]
    return [gateways.members[node].address for node in ranked_names(bucket, others)]


class StreamHandover:
    """Tell other gateways of the streams that can still be resumed.

    A later run tells only what no earlier one has told.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        gateways: GatewayList,
        peers: PeerClient,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.origins = origins
        self.gateways = gateways
        self.peers = peers
        self.log = log
        self.metrics = metrics
        self.receivers: defaultdict[str, set[str]] = defaultdict(set)
        self.failed: set[str] = set()

    async def run(self) -> None:
        """Tell the gateways that are first in rank, and the next ones in place of those that fail.

        Each gateway has at most one call at a time, and none after a failed one.
        """
        streams = [item for item in self.origins.resumable() if not self.receivers[item.stream]]
        streams = streams[:_MAX_HANDED]
        self.failed = set()
        try:
            for _ in range(_MAX_CANDIDATES - _RECEIVERS + 1):
                batches = self._batches(streams)
                if not batches:
                    break
                async with anyio.create_task_group() as tasks:
                    for address, batch in batches.items():
                        tasks.start_soon(self._tell, address, batch)
        finally:
            self._on_end(streams)

    def _batches(self, streams: list[ToldStream]) -> dict[str, list[ToldStream]]:
        """Return the streams to tell by the address of their next receivers."""
        batches: defaultdict[str, list[ToldStream]] = defaultdict(list)
        ranks: dict[str, list[str]] = {}
        for item in streams:
            bucket = _bucket(item.stream)
            if bucket not in ranks:
                ranks[bucket] = _ranked(self.gateways, bucket)[:_MAX_CANDIDATES]
            told = self.receivers[item.stream]
            left = [name for name in ranks[bucket] if name not in told | self.failed]
            for address in left[: _RECEIVERS - len(told)]:
                batches[address].append(item)
        return batches

    async def _tell(self, address: str, batch: list[ToldStream]) -> None:
        for start in range(0, len(batch), MAX_TOLD_STREAMS):
            part = batch[start : start + MAX_TOLD_STREAMS]
            try:
                await self.peers.tell_streams(address, part)
            except SkylarkferryError as error:
                self.failed.add(address)
                self.log.emit(
                    EventKind.GATEWAY_PEER_SILENT, peer=address, call="streams", detail=error.detail
                )
                return
            for item in part:
                self.receivers[item.stream].add(address)

    def _on_end(self, streams: list[ToldStream]) -> None:
        if not streams:
            return
        told = sum(bool(self.receivers[item.stream]) for item in streams)
        self.metrics.told_streams.labels(outcome="told").inc(told)
        self.metrics.told_streams.labels(outcome="untold").inc(len(streams) - told)
        self.log.emit(
            EventKind.GATEWAY_STREAMS_TOLD,
            streams=len(streams),
            told=told,
            silent_gateways=len(self.failed),
        )
