"""Command-line settings; flags take precedence over the environment, and both over a file."""

import os
from pathlib import Path

import msgspec
import pyjson5

from skylarkferry_client.failures import UsageError

URL_VARIABLE = "SKYLARKFERRY_URL"
TOKEN_VARIABLE = "SKYLARKFERRY_TOKEN"
FILE_VARIABLE = "SKYLARKFERRY_SETTINGS"
DEFAULT_FILE = "~/.config/skylarkferry.jsonc"


class ClientSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entry addresses, in the order they are tried, and the bearer token."""

    urls: tuple[str, ...] = ()
    token: str = ""


def resolve_settings(url: str = "", token: str = "", file: str = "") -> ClientSettings:
    """Return the effective settings; raise ``UsageError`` if no entry address is configured."""
    stored = _read_settings(file or os.environ.get(FILE_VARIABLE, ""))
    urls = _split(url) or _split(os.environ.get(URL_VARIABLE, "")) or stored.urls
    if not urls:
        raise UsageError(f"expected an entry's address in --url or {URL_VARIABLE}")
    for address in urls:
        if not address.startswith(("http://", "https://")):
            raise UsageError(f"expected an address as http://HOST:PORT, found '{address}'")
    return ClientSettings(urls, token or os.environ.get(TOKEN_VARIABLE, "") or stored.token)


def _read_settings(path: str) -> ClientSettings:
    """Return the settings in a file of JSON with comments; the default file may be missing."""
    file = Path(path or DEFAULT_FILE).expanduser()
    if not path and not file.exists():
        return ClientSettings()
    try:
        plain = pyjson5.decode(file.read_text(encoding="utf-8"))
        return msgspec.convert(plain, ClientSettings)
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    except pyjson5.Json5DecoderException as error:
        raise UsageError(f"{file}: expected JSON with comments: {error.args[0]}") from error
    except msgspec.ValidationError as error:
        raise UsageError(f"{file}: {error}") from error


def _split(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())
