"""Assignment of streams to software versions: the version of a stream that has no row."""

from collections.abc import Mapping

import msgspec

from skylarkferry_core.rendezvous import weighted_choice

VersionShares = Mapping[str, int]
"""Slots of a service's upstreams by software version."""

_MAX_SHARE_CHANGE = 0.1
"""Change of a version's share of all slots from which streams are assigned anew."""


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """The shares by which a service's streams belong to versions.

    While ``following`` is set, it is about to replace ``current``: a stream without a row still
    belongs to a version by ``current``, and only a stream with the same version in both may go
    without a row.
    """

    current: dict[str, int]
    following: dict[str, int] | None = None

    def version(self, key: str) -> str | None:
        """Return the version of a stream without a row."""
        return weighted_choice(key, self.current)

    def needs_row(self, key: str, version: str) -> bool:
        """Return whether a stream that begins at a version needs a row."""
        if self.version(key) != version:
            return True
        return self.following is not None and weighted_choice(key, self.following) != version

    def is_sole(self, version: str | None) -> bool:
        """Return whether all streams belong to a version, and will."""
        return self.following is None and list(self.current) == [version]

    def successor(
        self, listed: VersionShares, *, is_steady: bool, is_known_everywhere: bool
    ) -> "Assignment | None":
        """Return the assignment that has to replace this one now, if any.

        ``listed`` are the shares of the upstreams; ``is_steady`` tells whether they have been the
        same for a while, ``is_known_everywhere`` whether every stream that can still be resumed
        began at a gateway that knew this assignment.
        """
        target = self.current if self.following is None else self.following
        if not are_similar(target, listed):
            return Assignment(self.current, dict(listed)) if is_steady else None
        if self.following is not None and is_known_everywhere:
            return Assignment(self.following)
        return None


def are_similar(left: VersionShares, right: VersionShares) -> bool:
    """Return whether two distributions have the same versions in about the same proportions."""
    if left.keys() != right.keys():
        return False
    total_left, total_right = sum(left.values()), sum(right.values())
    if not total_left or not total_right:
        return total_left == total_right
    changes = (abs(left[name] / total_left - right[name] / total_right) for name in left)
    return max(changes) <= _MAX_SHARE_CHANGE
