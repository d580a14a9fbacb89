"""Partitions that this node holds according to its own state."""

import msgspec

from skylarkferry_core.ids import Epoch, PartitionNumber
from skylarkferry_core.interfaces import Condition
from skylarkferry_core.messages import Fence
from skylarkferry_core.partitions import partition_key


class HeldPartition(msgspec.Struct):
    """Epoch of a held partition and version of its row.

    ``announced`` is set before the listener is notified of the partition, ``ready`` once its
    programs are running.
    """

    epoch: Epoch
    version: int
    announced: bool = False
    ready: bool = False


class HeldPartitions:
    """Held partitions, and announced ones lost since the last call of ``take_lost``."""

    def __init__(self) -> None:
        self.held: dict[PartitionNumber, HeldPartition] = {}
        self.lost: list[PartitionNumber] = []

    def add(self, partition: PartitionNumber, epoch: Epoch, version: int) -> Fence:
        """Add a held partition and return its fence."""
        self.held[partition] = HeldPartition(epoch, version)
        return Fence(partition, epoch)

    def lose(self, partition: PartitionNumber) -> None:
        """Remove a partition and record it as lost if it was announced."""
        held = self.held.pop(partition, None)
        if held is not None and held.announced:
            self.lost.append(partition)

    def take_lost(self) -> list[PartitionNumber]:
        """Return the announced partitions lost since the last call."""
        lost, self.lost = self.lost, []
        return lost

    def find(self, fence: Fence) -> HeldPartition | None:
        """Return the held partition of a fence, or ``None`` if its epoch changed."""
        found = self.held.get(fence.partition)
        return found if found is not None and found.epoch == fence.epoch else None

    def condition(self, partition: PartitionNumber) -> Condition:
        """Return the condition for a write: the held partition did not change owner."""
        return Condition(partition_key(partition), self.held[partition].version)
