"""Decoding of what other processes wrote, which may be anything."""

import ipaddress
from collections.abc import Callable
from typing import TypeVar

from skylarkferry_core.errors import MalformedDataError

Decoded = TypeVar("Decoded")

_MAX_PORT = 65_535


def decode(decoder: Callable[[bytes], Decoded], data: bytes) -> Decoded:
    """Decode a row or message; raise ``MalformedDataError`` whatever is wrong with it.

    Besides a ``ValueError``, msgspec raises ``RecursionError`` for deeply nested values, also in
    fields that it skips.
    """
    try:
        return decoder(data)
    except (ValueError, RecursionError, OverflowError) as error:
        raise MalformedDataError(str(error)) from error


def check_address(address: str) -> None:
    """Raise ``MalformedDataError`` unless the text is an IPv4 address with a port."""
    host, _, port = address.rpartition(":")
    try:
        is_valid = bool(ipaddress.IPv4Address(host)) and 0 < int(port) <= _MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid or not (port.isascii() and port.isdigit()):
        raise MalformedDataError(
            f"expected an IPv4 address with a port such as 10.0.0.1:80, found {address!r}"
        )
