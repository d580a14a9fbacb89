"""Fencing by the highest epoch seen for each partition."""

from skylarkferry_core.errors import StaleEpochError
from skylarkferry_core.ids import Epoch, PartitionNumber
from skylarkferry_core.messages import Fence

NO_EPOCH = Epoch(-1)


class FenceGuard:
    """Reject orders from owners that lost their partition."""

    def __init__(self) -> None:
        self.highest: dict[PartitionNumber, Epoch] = {}

    def is_stale_else_record(self, fence: Fence) -> bool:
        """Return True if a higher epoch was seen; else record this one and return False."""
        highest = self.highest.get(fence.partition, NO_EPOCH)
        if fence.epoch < highest:
            return True
        self.highest[fence.partition] = fence.epoch
        return False

    def check(self, fence: Fence) -> None:
        """Record the epoch; raise ``StaleEpochError`` if a higher one was seen."""
        if self.is_stale_else_record(fence):
            highest = self.highest[fence.partition]
            raise StaleEpochError(
                f"partition {fence.partition}: epoch {fence.epoch} is below {highest}"
            )
