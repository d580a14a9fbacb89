"""Position of a client in a stream, and the check of the responses that continue it."""

from skylarkferry_core.errors import AnswerInvalidError
from skylarkferry_gateway.stream_events import StreamEvent

EVENT_STREAM = "text/event-stream"


class StreamPosition:
    """Last event that a client has of a stream, over all responses that it was relayed from.

    ``media_type`` is that of the response whose headers the client gets, in lower case.
    ``is_continuation`` is whether the response at hand continues events that the client has;
    ``resumed_after`` is the event after which the client resumes, ``began_after`` the one after
    which the response at hand begins.
    ``can_continue`` is False once the client has an event without an id after the last one with an
    id: another upstream would send it again.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self.last_event_id = self.resumed_after = self.began_after = last_event_id
        self.media_type = EVENT_STREAM
        self.is_continuation = False
        self.can_continue = True

    def begin_response(self, media_type: str) -> None:
        """Begin the next response; raise ``AnswerInvalidError`` if it is no continuation."""
        media_type = media_type or EVENT_STREAM
        self.began_after = self.last_event_id
        self.is_continuation = self.last_event_id is not None
        if not self.is_continuation:
            self.media_type = media_type
        elif media_type != self.media_type:
            raise AnswerInvalidError(f"the continuation is {media_type}, not {self.media_type}")

    def accept(self, events: list[StreamEvent]) -> None:
        """Move on by complete events, or raise ``AnswerInvalidError`` and accept none of them."""
        last_event_id = self.last_event_id
        can_continue = self.can_continue
        for event in events:
            if self.is_continuation:
                _check_continuation(event)
            if not event.is_comment:
                can_continue = event.event_id is not None
            if event.event_id is None:
                continue
            if last_event_id is not None and event.event_id <= last_event_id:
                raise AnswerInvalidError(f"event {event.event_id} came after event {last_event_id}")
            last_event_id = event.event_id
        self.last_event_id = last_event_id
        self.can_continue = can_continue

    def end_response(self) -> None:
        """End the response at hand; raise ``AnswerInvalidError`` if it added nothing to another.

        The upstream before may have broken off after its last event, but nothing shows that.
        """
        is_joined = self.began_after != self.resumed_after
        if is_joined and self.last_event_id == self.began_after:
            raise AnswerInvalidError("the continuation has no event")


def _check_continuation(event: StreamEvent) -> None:
    """Raise ``AnswerInvalidError`` unless an event can follow those of another upstream.

    Without an id, it cannot be told from the text of an error.
    """
    if event.unknown_line is not None:
        raise AnswerInvalidError(f"{event.unknown_line!r} is no field of an event")
    if event.event_id is None and not event.is_comment:
        raise AnswerInvalidError("an event of the continuation has no id")
