"""The block ``tenants`` of the operator's file, checked."""

from __future__ import annotations

import os
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address, ip_network
from pathlib import Path
from typing import TypeVar

from snowthread.config import Config
from snowthread.ldap import dn, filters, url
from snowthread.ldap import messages as m
from snowthread.ldap.ber import Bounds
from snowthread.ldap.client import ConnectionSettings
from snowthread.ldap.health import RetryPolicy
from snowthread.operator.hcl import Block
from snowthread.tenants.entry import AttributeNames
from snowthread.tenants.model import Network
from snowthread.tenants.removal_guard import RemovalRules
from snowthread.tenants.staleness import StalenessRules
from snowthread.tenants.state import TenantRules
from snowthread.tenants.sync import ReplicationMode, DirectoryQuery
from snowthread.tenants.unknown_clients import UnknownClientRules

T = TypeVar("T")
V = TypeVar("V")
HOUR_MS = 3_600_000.0
_MODES = {
    "persist": ReplicationMode.PERSIST,
    "refresh": ReplicationMode.REFRESH,
    "paged": ReplicationMode.PAGED,
}
_SCOPES = {"base": m.Scope.BASE, "one": m.Scope.ONE, "sub": m.Scope.SUB}


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """All that the block sets. Times are milliseconds."""

    servers: tuple[url.LdapUrl, ...]
    connection: ConnectionSettings
    query: DirectoryQuery
    source: str
    retry_policy: RetryPolicy
    rules: TenantRules
    over_quota_weight: float
    operation_timeout_ms: float
    refresh_timeout_ms: float
    probe_interval_ms: float
    poll_interval_ms: float
    start_jitter_ms: float
    report_interval_ms: float
    snapshot_path: Path | None
    snapshot_interval_ms: float

    def summary(self) -> str:
        """For people: what is on."""
        names = ", ".join(server.server for server in self.servers)
        return f"tenants from {names} below {self.query.base!r}"

    @classmethod
    def read(cls, block: Block, config: Config) -> TenantSettings:
        """Check the block; ConfigError names the key that can't be used."""
        if config.settings.tenants and not block.flag("replace_settings", False):
            raise block.wrong(
                "replace_settings",
                "the node's settings name tenants too; their quotas never "
                "mix with a directory's: set it to true to use the directory's alone",
            )
        block.flag("replace_settings", False)
        servers = tuple(_parse_value(block, "servers", url.parse, text) for text in block.texts("servers"))
        if not servers:
            raise block.wrong("servers", "at least one LDAP URL is wanted")
        for server in servers:
            _parse_value(block, "servers", lambda s: s.address, server)
        base, text = block.text("base"), block.text("filter", "(objectClass=snowthreadTenant)")
        _parse_value(block, "base", dn.parse, base)
        names = _read_attribute_names(block.part("attributes"))
        limits = block.part("limits")
        question = DirectoryQuery(
            base=base,
            filter=_parse_value(block, "filter", filters.parse, text),
            attribute_names=names,
            scope=_SCOPES[block.choice("scope", _SCOPES, "sub")],
            first_mode=_MODES[block.choice("mode", _MODES, "persist")],
            page_size=block.count("page_size", 500, 10, 10_000),
            max_tenants=limits.count("tenants", 100_000, 1),
            max_networks=limits.count("networks", 1_000_000, 1),
        )
        bounds = Bounds(frame_bytes=limits.count("message_bytes", 512 * 1024, 4096, 64 * 2**20))
        limits.done()
        access = _read_connection_settings(block, servers, bounds)
        rules, over = _read_rules(block)
        snapshot_path, snapshot_interval_ms = _read_snapshot(block)
        out = cls(
            servers,
            access,
            question,
            f"{base}?{text}",
            _read_retry_policy(block.part("retry")),
            rules,
            over,
            operation_timeout_ms=block.time("operation", "10s"),
            refresh_timeout_ms=block.time("refresh", "2m"),
            probe_interval_ms=block.time("probe", "5s", 100.0),
            poll_interval_ms=block.time("poll", "1m", 100.0),
            start_jitter_ms=block.time("spread", "500ms", 0.0),
            report_interval_ms=block.time("report", "1m", 1000.0),
            snapshot_path=snapshot_path,
            snapshot_interval_ms=snapshot_interval_ms,
        )
        block.done()
        return out


def _parse_value(block: Block, key: str, parse: Callable[[V], T], value: V) -> T:
    try:
        return parse(value)
    except ValueError as error:
        raise block.wrong(key, str(error)) from None


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
    block.done()
    return names


def _read_connection_settings(
    block: Block, servers: tuple[url.LdapUrl, ...], bounds: Bounds
) -> ConnectionSettings:
    start_tls = block.flag("start_tls", False)
    connect_ms, bind_ms = block.time("connect", "2s"), block.time("bind_within", "3s")
    tls = block.part("tls")
    context = None
    ca, cert, key = tls.maybe("ca_file"), tls.maybe("cert_file"), tls.maybe("key_file")
    server_name = tls.text("server_name", "")
    if start_tls or any(server.scheme == "ldaps" for server in servers):
        try:
            context = ssl.create_default_context(cafile=ca)
        except (OSError, ssl.SSLError) as error:
            raise tls.wrong("ca_file", f"{ca}: {getattr(error, 'reason', None) or error.strerror}") from None
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if cert is not None:
            try:
                context.load_cert_chain(cert, key)
            except (OSError, ssl.SSLError) as error:
                raise tls.wrong(
                    "cert_file", f"{cert}: {getattr(error, 'reason', None) or error.strerror}"
                ) from None
    elif ca or cert or key or server_name:
        raise tls.wrong("ca_file", "no server is reached over TLS: ldaps URLs or start_tls are wanted")
    tls.done()
    bind = _read_bind(block, context is not None, cert is not None, servers)
    return ConnectionSettings(bind, context, start_tls, server_name, connect_ms, bind_ms, bounds)


def _read_bind(
    block: Block, secure: bool, has_cert: bool, servers: tuple[url.LdapUrl, ...]
) -> m.SimpleBindRequest | m.ExternalBindRequest | None:
    part = block.block("bind")
    if part is None:
        return None
    method = part.choice("method", ("simple", "external"), "simple")
    if method == "external":
        if not has_cert:
            raise part.wrong("method", "external needs tls.cert_file")
        identity = part.text("identity", "")
        part.done()
        return m.ExternalBindRequest(identity)
    name = part.text("dn")
    _parse_value(part, "dn", dn.parse, name)
    file, variable = part.maybe("password_file"), part.maybe("password_env")
    if (file is None) == (variable is None):
        raise part.wrong("password_file", "either this or password_env is wanted")
    if file is not None:
        try:
            password = Path(file).read_text(encoding="utf-8").rstrip("\r\n")
        except (OSError, UnicodeDecodeError) as error:
            why = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
            raise part.wrong("password_file", f"{file}: {why}") from None
    else:
        password = os.environ.get(variable or "", "")
    if not password:  # a simple bind without one is anonymous and succeeds (RFC 4513, section 5.1.2)
        raise part.wrong("password_file" if file else "password_env", "it holds no password")
    clear = part.flag("allow_clear_text", False)
    part.done()
    for server in servers:
        local = ip_address(server.host).is_loopback
        if not secure and not local and not clear:
            raise part.wrong(
                "allow_clear_text",
                f"the password would go to {server.server} in clear text; use ldaps or start_tls",
            )
    return m.SimpleBindRequest(name, m.Secret(password))


def _read_retry_policy(block: Block) -> RetryPolicy:
    out = RetryPolicy(
        first_backoff_ms=block.time("pause", "200ms"),
        max_backoff_ms=block.time("pause_most", "30s"),
        budget_share=block.number("budget_share", 0.2, 0.0, 1.0),
        budget_floor_per_s=block.number("budget_floor_per_s", 0.1, 0.001, 100.0),
        max_saved_retries=block.number("budget_saved", 10.0, 1.0, 1000.0),
        failures_to_open=block.count("failures", 3, 1, 100),
        open_ms=block.time("open", "5s"),
        max_open_ms=block.time("open_most", "2m"),
    )
    block.done()
    return out


def _read_rules(block: Block) -> tuple[TenantRules, float]:
    removal, stale = block.part("removal"), block.part("staleness")
    unknown, default = block.part("unknown"), block.part("default")
    trusted: tuple[Network, ...] = tuple(
        _parse_value(block, "trust_numbers_from", ip_network, text)
        for text in block.texts("trust_numbers_from", ())
    )
    rules = TenantRules(
        removal=RemovalRules(
            removal.number("share", 0.1, 0.0, 1.0),
            removal.count("least", 2),
            removal.choice("confirm", ("second_refresh", "operator"), "second_refresh") == "second_refresh",
            removal.time("confirm_after", "1m"),
            removal.text("accept", ""),
        ),
        staleness=StalenessRules(
            stale.time("stale_after", "1m"),
            stale.time("old_after", "24h"),
            stale.choice("when_old", ("serve", "default"), "serve") == "default",
        ),
        unknown_clients=UnknownClientRules(
            unknown.flag("ask", True),
            unknown.time("remember", "1m"),
            unknown.count("remembered", 10_000, 1),
            unknown.count("waiting", 256, 1),
            unknown.count("open", 8, 1, 32),
            unknown.number("per_s", 20.0, 0.1, 10_000.0),
        ),
        default_quota_per_s=default.number("quota_per_s", 0.0),
        default_rejected=default.flag("refuse", False),
        trusted_networks=trusted,
    )
    for part in (removal, stale, unknown, default):
        part.done()
    return rules, block.number("over_share_worth", 0.1, 0.0, 1.0)


def _read_snapshot(block: Block) -> tuple[Path | None, float]:
    part = block.block("snapshot")
    if part is None:
        return None, HOUR_MS
    path, every = Path(part.text("file")), part.time("every", "1m", 100.0)
    if not path.parent.is_dir():
        raise part.wrong("file", f"{path.parent} is no folder")
    part.done()
    return path, every
