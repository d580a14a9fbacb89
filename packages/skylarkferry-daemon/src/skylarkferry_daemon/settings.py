"""Settings of the daemon: JSON with comments, checked against these types."""

import ipaddress
import re
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

import msgspec
import pyjson5
from msgspec import Meta

from skylarkferry_core.errors import SettingsInvalidError
from skylarkferry_core.ids import FailureDomain, NodeId, PoolName, SiteName, UpstreamId
from skylarkferry_core.states import PoolKind

MONTH_S = 30 * 24 * 3600
MAX_PORT = 65_535
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
EXPECTED_VALUES = {
    "role": "expected 'entry' or 'sidecar'",
    "kind": "expected 'model', 'tool' or 'service'",
}

Address = str
"""IPv4 address and port, such as ``127.0.0.1:7100``."""
Url = str
"""URL of an HTTP service, such as ``http://127.0.0.1:7400``."""
Seconds = Annotated[float, Meta(gt=0, le=MONTH_S)]
Count = Annotated[int, Meta(gt=0)]


def check_address(key: str, value: str) -> None:
    """Raise ``ValueError`` unless ``value`` is an IPv4 address and a port."""
    host, separator, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = bool(separator) and 0 < int(port) <= MAX_PORT and port.isascii()
    except ValueError:
        is_valid = False
    if not is_valid:
        expected = f"expected an IPv4 address and a port from 1 to {MAX_PORT}"
        raise ValueError(f"{key}: {expected}, such as 127.0.0.1:7100, found '{value}'")


def check_url(key: str, value: str) -> None:
    """Raise ``ValueError`` unless ``value`` is an HTTP or HTTPS URL."""
    try:
        parts = urlsplit(value)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(f"{key}: expected a URL such as http://127.0.0.1:7400, found '{value}'")


def check_log_level(value: str) -> None:
    """Raise ``ValueError`` unless ``value`` is a log level."""
    if value not in LOG_LEVELS:
        raise ValueError(f"log_level: expected one of {', '.join(LOG_LEVELS)}, found '{value}'")


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services and limits on their use."""

    table_url: Url
    object_url: Url
    hosts_url: Url
    timeout_s: Seconds = 2.0
    writes_per_s: Count = 300
    hosts_poll_s: Seconds = 1.0

    def __post_init__(self) -> None:
        """Check the addresses."""
        check_url("table_url", self.table_url)
        check_url("object_url", self.object_url)
        check_url("hosts_url", self.hosts_url)


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number of partitions and timing of their leases."""

    partitions: Count = 24
    lease_s: Seconds = 3.0
    renew_s: Seconds = 1.0

    def __post_init__(self) -> None:
        """Check that a lease is renewed before it expires."""
        if self.renew_s >= self.lease_s:
            raise ValueError(f"renew_s: expected less than lease_s ({self.lease_s:g})")


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests and on the memory of a node."""

    body_bytes: Count = 1_048_576
    body_s: Seconds = 10.0
    programs_under_way: Count = 20_000
    journal_backlog_bytes: Count = 33_554_432
    journal_compact_bytes: Count = 8_388_608
    ended_programs_kept: Count = 10_000
    ring_events: Count = 10_000


class EntrySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="entry"
):
    """Settings of an entry process.

    ``bootstrap_token_hash`` is the SHA-256 hash of the token that may write the first document.
    """

    node: NodeId
    site: SiteName
    failure_domain: FailureDomain
    http_listen: Address
    rpc_listen: Address
    platform: PlatformSettings
    lease: LeaseSettings = LeaseSettings()
    limits: LimitSettings = LimitSettings()
    document_poll_s: Seconds = 1.0
    stop_grace_s: Seconds = 600.0
    bootstrap_token_hash: str = ""
    log_level: str = "INFO"

    def __post_init__(self) -> None:
        """Check addresses, the token hash and the log level."""
        check_address("http_listen", self.http_listen)
        check_address("rpc_listen", self.rpc_listen)
        check_log_level(self.log_level)
        if not re.fullmatch("([0-9a-f]{64})?", self.bootstrap_token_hash):
            raise ValueError("bootstrap_token_hash: expected 64 hexadecimal digits in lower case")


class SidecarSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="sidecar"
):
    """Settings of a sidecar process.

    The connection to a model engine counts as lost after ``silence_s`` seconds without output
    during a turn.
    """

    upstream: UpstreamId
    pool: PoolName
    kind: PoolKind
    failure_domain: FailureDomain
    rpc_listen: Address
    metrics_listen: Address
    upstream_url: Url
    slots: Count = 16
    queue_limit: Count = 1_000
    outcomes_kept: Count = 100_000
    silence_s: Seconds = 60.0
    frame_interval_s: Seconds = 0.005
    heartbeat_s: Seconds = 1.0
    engine_poll_s: Seconds = 2.0
    kv_sweep_s: Seconds = 10.0
    kv_unclaimed_s: Seconds = 60.0
    stop_grace_s: Seconds = 600.0
    ring_events: Count = 10_000
    log_level: str = "INFO"

    def __post_init__(self) -> None:
        """Check addresses and the log level."""
        check_address("rpc_listen", self.rpc_listen)
        check_address("metrics_listen", self.metrics_listen)
        check_url("upstream_url", self.upstream_url)
        check_log_level(self.log_level)


Settings = EntrySettings | SidecarSettings


def parse(text: str, source: str) -> Settings:
    """Return the settings in ``text``; raise ``SettingsInvalidError`` that names ``source``."""
    try:
        decoded = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        raise SettingsInvalidError(f"{source}: not JSON with comments: {error}") from error
    try:
        return msgspec.convert(decoded, Settings)
    except msgspec.ValidationError as error:
        raise SettingsInvalidError(f"{source}: {_format_validation_error(str(error))}") from error


def _format_validation_error(message: str) -> str:
    """Rewrite a message such as ``Expected `int` - at `$.key``` with the key first."""
    expected, _, path = message.partition(" - at `$")
    key = path.strip("`").lstrip(".")
    return f"{key}: {EXPECTED_VALUES.get(key, expected)}" if key else expected


def load(path: str) -> Settings:
    """Read a settings file; raise ``SettingsInvalidError`` if it is missing or invalid."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsInvalidError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsInvalidError(f"{path}: expected text in UTF-8") from error
    return parse(text, path)
