"""Read the ``tenants`` block of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_network
from pathlib import Path
from typing import NamedTuple

from snowthread.config import Config
from snowthread.hcl import Block
from snowthread.ldap import dn, filters, url
from snowthread.ldap.ber import MessageLimits
from snowthread.ldap.client import ConnectionSettings
from snowthread.ldap.messages import Scope
from snowthread.ldap.retry_budget import RetryPolicy
from snowthread.tenants.connection_settings import read_connection_settings
from snowthread.tenants.directory_query import DirectoryQuery
from snowthread.tenants.entry import AttributeNames
from snowthread.tenants.removal_guard import RemovalRules
from snowthread.tenants.replication_mode import ReplicationMode
from snowthread.tenants.rules import TenantRules
from snowthread.tenants.staleness import StalenessRules
from snowthread.tenants.unknown_clients import UnknownClientRules

HOUR_MS = 3_600_000.0
DEFAULT_FILTER = "(objectClass=snowthreadTenant)"
DEFAULT_MESSAGE_BYTES = 512 * 1024
MIN_MESSAGE_BYTES = 4096
MAX_MESSAGE_BYTES = 64 * 2**20
_MODES = {
    "persist": ReplicationMode.PERSIST,
    "refresh": ReplicationMode.REFRESH,
    "paged": ReplicationMode.PAGED,
}
_SCOPES = {"base": Scope.BASE, "one": Scope.ONE, "sub": Scope.SUB}


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """The settings of the ``tenants`` block; times are milliseconds."""

    servers: tuple[url.LdapUrl, ...]
    connection: ConnectionSettings
    query: DirectoryQuery
    query_text: str  # search base and filter; a snapshot with another query text is not used
    retry_policy: RetryPolicy
    rules: TenantRules
    over_quota_weight: float  # factor on the priority weight of requests above a tenant's quota
    operation_timeout_ms: float
    refresh_timeout_ms: float
    probe_interval_ms: float
    poll_interval_ms: float
    start_jitter_ms: float
    report_interval_ms: float
    snapshot_path: Path | None
    snapshot_interval_ms: float

    def summary(self) -> str:
        """Return one line that names the servers and the search base."""
        names = ", ".join(server.server for server in self.servers)
        return f"tenants from {names} below {self.query.base!r}"

    @classmethod
    def read(cls, block: Block, config: Config) -> TenantSettings:
        """Validate the block and return its settings; a ConfigError names the key with an invalid value."""
        _check_replace_settings(block, config)
        servers = _read_servers(block)
        base = block.text("base")
        filter_text = block.text("filter", DEFAULT_FILTER)
        block.parsed("base", dn.parse, base)
        names = _read_attribute_names(block.block_or_empty("attributes"))
        limits = block.block_or_empty("limits")
        query = _read_query(block, limits, base, filter_text, names)
        message_limits = _read_message_limits(limits)
        limits.reject_unknown_keys()
        connection = read_connection_settings(block, servers, message_limits)
        rules = _read_rules(block)
        over_quota_weight = block.number("over_share_worth", 0.1, 0.0, 1.0)
        snapshot = _read_snapshot(block)
        settings = cls(
            servers=servers,
            connection=connection,
            query=query,
            query_text=f"{base}?{filter_text}",
            retry_policy=_read_retry_policy(block.block_or_empty("retry")),
            rules=rules,
            over_quota_weight=over_quota_weight,
            operation_timeout_ms=block.duration_ms("operation", "10s"),
            refresh_timeout_ms=block.duration_ms("refresh", "2m"),
            probe_interval_ms=block.duration_ms("probe", "5s", 100.0),
            poll_interval_ms=block.duration_ms("poll", "1m", 100.0),
            start_jitter_ms=block.duration_ms("spread", "500ms", 0.0),
            report_interval_ms=block.duration_ms("report", "1m", 1000.0),
            snapshot_path=snapshot.path,
            snapshot_interval_ms=snapshot.interval_ms,
        )
        block.reject_unknown_keys()
        return settings


def _check_replace_settings(block: Block, config: Config) -> None:
    replaces = block.flag("replace_settings", False)
    if config.settings.tenants and not replaces:
        raise block.error(
            "replace_settings",
            "the node's settings define tenants too, and their quotas can't be combined with "
            "those of a directory; set replace_settings to true to use only the directory",
        )


def _read_servers(block: Block) -> tuple[url.LdapUrl, ...]:
    servers = tuple(block.parsed("servers", url.parse, text) for text in block.text_list("servers"))
    if not servers:
        raise block.error("servers", "at least one LDAP URL is required")
    for server in servers:
        block.parsed("servers", lambda ldap_url: ldap_url.address, server)
    return servers


def _read_query(
    block: Block, limits: Block, base: str, filter_text: str, names: AttributeNames
) -> DirectoryQuery:
    return DirectoryQuery(
        base=base,
        filter=block.parsed("filter", filters.parse, filter_text),
        attribute_names=names,
        scope=_SCOPES[block.choice("scope", _SCOPES, "sub")],
        initial_mode=_MODES[block.choice("mode", _MODES, "persist")],
        page_size=block.integer("page_size", 500, 10, 10_000),
        max_tenants=limits.integer("tenants", 100_000, 1),
        max_networks=limits.integer("networks", 1_000_000, 1),
    )


def _read_message_limits(limits: Block) -> MessageLimits:
    max_frame_bytes = limits.integer(
        "message_bytes", DEFAULT_MESSAGE_BYTES, MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES
    )
    return MessageLimits(max_frame_bytes=max_frame_bytes)


def _read_attribute_names(block: Block) -> AttributeNames:
    default = AttributeNames()
    names = AttributeNames(
        id=block.text("id", default.id).lower(),
        name=block.text("name", default.name).lower(),
        status=block.text("status", default.status).lower(),
        quota=block.text("quota", default.quota).lower(),
        network=block.text("network", default.network).lower(),
        balancer=block.text("balancer", default.balancer).lower(),
        allowed_classes=block.text("allowed", default.allowed_classes).lower(),
        modified_at=block.text("stamp", default.modified_at).lower(),
    )
    block.reject_unknown_keys()
    return names


def _read_retry_policy(block: Block) -> RetryPolicy:
    policy = RetryPolicy(
        first_backoff_ms=block.duration_ms("pause", "200ms"),
        max_backoff_ms=block.duration_ms("pause_most", "30s"),
        budget_share=block.number("budget_share", 0.2, 0.0, 1.0),
        budget_floor_per_s=block.number("budget_floor_per_s", 0.1, 0.001, 100.0),
        max_saved_retries=block.number("budget_saved", 10.0, 1.0, 1000.0),
        failures_to_open=block.integer("failures", 3, 1, 100),
        open_ms=block.duration_ms("open", "5s"),
        max_open_ms=block.duration_ms("open_most", "2m"),
    )
    block.reject_unknown_keys()
    return policy


def _read_rules(block: Block) -> TenantRules:
    removal = block.block_or_empty("removal")
    staleness = block.block_or_empty("staleness")
    unknown = block.block_or_empty("unknown")
    default = block.block_or_empty("default")
    rules = TenantRules(
        trusted_networks=tuple(
            block.parsed("trust_numbers_from", ip_network, text)
            for text in block.text_list("trust_numbers_from", ())
        ),
        removal=_read_removal_rules(removal),
        staleness=_read_staleness_rules(staleness),
        unknown_clients=_read_unknown_client_rules(unknown),
        default_quota_per_s=default.number("quota_per_s", 0.0),
        default_rejected=default.flag("refuse", False),
    )
    for part in (removal, staleness, unknown, default):
        part.reject_unknown_keys()
    return rules


def _read_removal_rules(block: Block) -> RemovalRules:
    confirmation = ("second_refresh", "operator")
    return RemovalRules(
        max_share=block.number("share", 0.1, 0.0, 1.0),
        min_allowance=block.integer("least", 2),
        confirm_by_refresh=block.choice("confirm", confirmation, "second_refresh") == "second_refresh",
        confirm_after_ms=block.duration_ms("confirm_after", "1m"),
        accepted_digest=block.text("accept", ""),
    )


def _read_staleness_rules(block: Block) -> StalenessRules:
    return StalenessRules(
        stale_ms=block.duration_ms("stale_after", "1m"),
        old_ms=block.duration_ms("old_after", "24h"),
        default_when_old=block.choice("when_old", ("serve", "default"), "serve") == "default",
    )


def _read_unknown_client_rules(block: Block) -> UnknownClientRules:
    return UnknownClientRules(
        enabled=block.flag("ask", True),
        negative_ttl_ms=block.duration_ms("remember", "1m"),
        max_negative_entries=block.integer("remembered", 10_000, 1),
        max_waiting=block.integer("waiting", 256, 1),
        max_in_flight=block.integer("open", 8, 1, 32),
        lookups_per_s=block.number("per_s", 20.0, 0.1, 10_000.0),
    )


class _SnapshotSettings(NamedTuple):
    """The path of the snapshot file, or None to write no snapshots, and the interval between writes."""

    path: Path | None
    interval_ms: float


def _read_snapshot(block: Block) -> _SnapshotSettings:
    snapshot = block.block("snapshot")
    if snapshot is None:
        return _SnapshotSettings(None, HOUR_MS)
    path = Path(snapshot.text("file"))
    interval_ms = snapshot.duration_ms("every", "1m", 100.0)
    if not path.parent.is_dir():
        raise snapshot.error("file", f"{path.parent} is not a folder")
    snapshot.reject_unknown_keys()
    return _SnapshotSettings(path, interval_ms)
