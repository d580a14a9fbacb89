"""State of a connection's socket that the event loop has not seen yet."""

import select

from anyio import TypedAttributeProvider
from anyio.abc import SocketAttribute


def is_readable(stream: TypedAttributeProvider) -> bool:
    """Return whether bytes, a connection, the end of the stream or an error wait in the socket."""
    descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
    if descriptor < 0:
        return True  # closed after an error
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))
