"""Fencing numbers as an upstream sees them."""

from starlette.requests import Request


class Fencing:
    """Remember the highest epoch of each partition."""

    def __init__(self, enforced: bool) -> None:
        self.enforced = enforced
        self.epochs: dict[str, int] = {}

    def accepts(self, request: Request) -> bool:
        """Tell whether the request's epoch is current; always when not enforced."""
        partition = request.headers.get("fencing-partition", "")
        epoch = int(request.headers.get("fencing-epoch", "0"))
        highest = max(epoch, self.epochs.get(partition, 0))
        self.epochs[partition] = highest
        return not self.enforced or epoch == highest
