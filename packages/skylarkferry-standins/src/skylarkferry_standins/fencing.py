"""Fencing of stale epochs by an upstream."""

from starlette.requests import Request


class Fencing:
    """Tracks the highest epoch of each partition."""

    def __init__(self, enforced: bool) -> None:
        self.enforced = enforced
        self.epochs: dict[str, int] = {}

    def accepts(self, request: Request) -> bool:
        """Return whether the request's epoch is current; always true if fencing is not enforced."""
        partition = request.headers.get("fencing-partition", "")
        epoch = int(request.headers.get("fencing-epoch", "0"))
        highest = max(epoch, self.epochs.get(partition, 0))
        self.epochs[partition] = highest
        return not self.enforced or epoch == highest
