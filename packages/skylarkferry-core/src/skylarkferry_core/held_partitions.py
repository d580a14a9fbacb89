"""Partitions that this node holds, as far as it knows."""

import msgspec

from skylarkferry_core.ids import Epoch, PartitionNumber
from skylarkferry_core.interfaces import Condition
from skylarkferry_core.messages import Fence
from skylarkferry_core.partitions import partition_key


class HeldPartition(msgspec.Struct):
    """A held partition: its epoch, its row's version, and whether its programs are driven."""

    epoch: Epoch
    version: int
    ready: bool = False


class HeldPartitions:
    """Held partitions and those lost since the listener was last told."""

    def __init__(self) -> None:
        self.held: dict[PartitionNumber, HeldPartition] = {}
        self.lost: list[PartitionNumber] = []

    def add(self, partition: PartitionNumber, epoch: Epoch, version: int) -> Fence:
        """Hold a partition and return its fence."""
        self.held[partition] = HeldPartition(epoch, version)
        return Fence(partition, epoch)

    def lose(self, partition: PartitionNumber) -> None:
        """Hold a partition no longer."""
        if self.held.pop(partition, None) is not None:
            self.lost.append(partition)

    def take_lost(self) -> list[PartitionNumber]:
        """Return the partitions lost since the last call."""
        lost, self.lost = self.lost, []
        return lost

    def find(self, fence: Fence) -> HeldPartition | None:
        """Return the holding of a fence, or ``None`` when its epoch moved."""
        holding = self.held.get(fence.partition)
        return holding if holding is not None and holding.epoch == fence.epoch else None

    def condition(self, partition: PartitionNumber) -> Condition:
        """Return the condition that a held partition did not change hands."""
        return Condition(partition_key(partition), self.held[partition].version)
