"""Encode and decode messages as MessagePack."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

Message = TypeVar("Message")

_encoder = msgspec.msgpack.Encoder()


def encode(message: Any) -> bytes:
    """Return the message as MessagePack."""
    return _encoder.encode(message)


def decoder(message_type: type[Message]) -> Callable[[bytes], Message]:
    """Return a function that decodes one message type and raises ``msgspec.DecodeError``."""
    return msgspec.msgpack.Decoder(message_type).decode
