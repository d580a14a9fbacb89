"""State of a connection's socket that the event loop has not seen yet."""

import select

from anyio import TypedAttributeProvider
from anyio.abc import SocketAttribute


def is_readable(stream: TypedAttributeProvider) -> bool:
    """Return whether bytes, a connection, the end of the stream or an error wait in the socket."""
    return _has_event(stream, select.POLLIN)


def is_writable(stream: TypedAttributeProvider) -> bool:
    """Return whether the socket accepts bytes now, or reports an error at once."""
    return _has_event(stream, select.POLLOUT)


def is_reset(stream: TypedAttributeProvider) -> bool:
    """Return whether the connection was reset; the end of one direction is none."""
    return _has_event(stream, 0)  # a poll reports errors in any case


def _has_event(stream: TypedAttributeProvider, event: int) -> bool:
    descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
    if descriptor < 0:
        return True  # closed after an error
    poller = select.poll()
    poller.register(descriptor, event)
    return bool(poller.poll(0))
