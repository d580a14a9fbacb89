"""Settings of the daemon: JSON with comments, checked against these types."""

from pathlib import Path
from typing import Annotated

import msgspec
import pyjson5
from msgspec import Meta

from skylarkferry_core.errors import SettingsInvalidError
from skylarkferry_core.ids import FailureDomain, NodeId, PoolName, SiteName, UpstreamId
from skylarkferry_core.states import PoolKind

Address = Annotated[str, Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d{1,5}$")]
"""IP number and port, as ``127.0.0.1:7100``."""
Url = Annotated[str, Meta(pattern=r"^https?://")]
Seconds = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(gt=0)]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's services are and what share of them the system may use."""

    table_url: Url
    object_url: Url
    hosts_url: Url
    timeout_s: Seconds = 2.0
    writes_per_s: Count = 300
    hosts_poll_s: Seconds = 1.0


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of partition ownership."""

    partitions: Count = 24
    lease_s: Seconds = 3.0
    renew_s: Seconds = 1.0


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on what callers may send and on what a node keeps in memory."""

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

    ``bootstrap_token_hash`` is the SHA-256 of the token that may write the first document.
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
    bootstrap_token_hash: Annotated[str, Meta(pattern=r"^([0-9a-f]{64})?$")] = ""
    log_level: str = "INFO"


class SidecarSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="sidecar"
):
    """Settings of a sidecar process."""

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
    frame_interval_s: Seconds = 0.015
    heartbeat_s: Seconds = 1.0
    kv_sweep_s: Seconds = 10.0
    kv_unclaimed_s: Seconds = 60.0
    stop_grace_s: Seconds = 600.0
    ring_events: Count = 10_000
    log_level: str = "INFO"


Settings = EntrySettings | SidecarSettings


def parse(text: str, source: str) -> Settings:
    """Return the settings in ``text``; raise ``SettingsInvalidError`` that names ``source``."""
    try:
        plain = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        raise SettingsInvalidError(f"{source}: not JSON with comments: {error}") from error
    try:
        return msgspec.convert(plain, Settings)
    except msgspec.ValidationError as error:
        raise SettingsInvalidError(f"{source}: {error}") from error


def load(path: str) -> Settings:
    """Read a settings file; raise ``SettingsInvalidError`` when it is missing or wrong."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsInvalidError(f"{path}: {error.strerror}") from error
    return parse(text, path)
