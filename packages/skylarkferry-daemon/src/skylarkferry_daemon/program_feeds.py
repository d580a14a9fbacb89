"""Feed of one program for its callers: numbered steps and the output of the current turn."""

from collections.abc import AsyncIterator

from skylarkferry_core.entry_messages import Delta, Step, WatchItem
from skylarkferry_core.errors import NotOwnerError
from skylarkferry_daemon.change_signals import ChangeSignal


class ProgramFeed:
    """Durable steps and the text of the current turn of the program's root run.

    Each watcher keeps its own position and reads at its own pace, so a slow watcher needs no
    buffer.
    """

    def __init__(self, steps: list[Step], ended: bool) -> None:
        self.steps = steps
        self.ended = ended
        self.lost = False
        self.attempt = 0
        self.text = ""
        self.changed = ChangeSignal()

    def publish(self, step: Step, *, ends_turn: bool = False) -> None:
        """Add a step whose record is durable; with ``ends_turn`` it replaces the turn's text."""
        self.steps.append(step)
        if ends_turn:
            self.text = ""
            self.attempt = 0
        self.changed.notify()

    def begin_attempt(self) -> None:
        """Clear the text of the turn for a new attempt."""
        if self.text:
            self.attempt += 1
        self.text = ""

    def extend(self, text: str) -> None:
        """Add output of the current attempt."""
        self.text += text
        self.changed.notify()

    def end(self) -> None:
        """Close the feed after its last step."""
        self.ended = True
        self.changed.notify()

    def mark_lost(self) -> None:
        """End every watch with ``NotOwnerError``: another node drives the program."""
        self.lost = True
        self.changed.notify()

    async def wait_ended(self) -> None:
        """Wait until the program ends; raise ``NotOwnerError`` if it moves to another node."""
        async for _ in self.watch(len(self.steps)):
            pass

    async def watch(self, after: int) -> AsyncIterator[WatchItem]:
        """Iterate over steps after number ``after``, and output, until the program has ended.

        Raise ``NotOwnerError`` if the program moves to another node before that.
        """
        position = _WatchPosition(after)
        while True:
            seen = self.changed.count
            for item in self._unseen_items(position):
                yield item
            if self.ended and position.number >= len(self.steps):
                return
            if self.lost:
                raise NotOwnerError("another node drives the program")
            await self.changed.wait_beyond(seen)

    def _unseen_items(self, position: "_WatchPosition") -> list[WatchItem]:
        """Return the items that a watcher has not received and advance its position."""
        items = [WatchItem(step=step) for step in self.steps[position.number :]]
        if items:
            position.move_to(len(self.steps))
        if position.number != len(self.steps):
            return items
        if position.attempt != self.attempt:
            position.restart(self.attempt)
        if position.offset < len(self.text):
            unseen_text = self.text[position.offset :]
            items.append(
                WatchItem(delta=Delta(position.number, self.attempt, position.offset, unseen_text))
            )
            position.offset = len(self.text)
        return items


class _WatchPosition:
    """Position of one watcher."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.attempt = 0
        self.offset = 0

    def move_to(self, number: int) -> None:
        self.number = number
        self.restart(0)

    def restart(self, attempt: int) -> None:
        self.attempt = attempt
        self.offset = 0
