"""Implement the command ``snowthread tenants``: read a directory or a snapshot once and describe it."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from snowthread import config
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop
from snowthread.tenants import snapshot as tenant_snapshot
from snowthread.tenants.changes import TenantChanges
from snowthread.tenants.model import IdentifiedBy, Tenant
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantState

LOOP_STEP_S = 0.05
MS_PER_S = 1000.0
MAX_NETWORKS_SHOWN = 4


@dataclass(frozen=True, slots=True)
class InspectionResult:
    """The tenants that were read, the problems found while reading, and what they were read from."""

    tenant_state: TenantState
    problems: list[str]
    origin: str  # the snapshot file and its age, or the directory server


@dataclass(frozen=True, slots=True)
class OwnerDescription:
    """Whether a tenant owns a client, and one line of text that names the tenant and the matching rule."""

    is_known: bool
    text: str


def read_tenants(settings: TenantSettings, snapshot_path: Path | None) -> InspectionResult:
    """Read all tenants from the snapshot if a path is given, else from the directory.

    A snapshot that can't be used, or a directory that does not complete a refresh in time, is a ConfigError.
    """
    if snapshot_path is not None:
        return _read_from_snapshot(settings, snapshot_path)
    return _read_from_directory(settings)


def _read_from_snapshot(settings: TenantSettings, path: Path) -> InspectionResult:
    now = Clock().now()
    try:
        snapshot = tenant_snapshot.read(path, settings.query_text)
    except tenant_snapshot.SnapshotError as error:
        raise config.ConfigError(f"{path}: {error}") from None
    tenant_state = TenantState(settings.rules)
    changes = tenant_state.restore_snapshot(
        snapshot.tenants, snapshot.confirmed_at, snapshot.source_server, now
    )
    problems = [line.text for line in changes.log_lines if line.event == "tenants.conflict"]
    age_s = max(0.0, now - snapshot.confirmed_at) / MS_PER_S
    return InspectionResult(tenant_state, problems, f"{path}, {age_s:.0f} s old")


def _read_from_directory(settings: TenantSettings) -> InspectionResult:
    logger.remove()
    warnings: list[str] = []
    logger.add(lambda message: warnings.append(message.record["message"]), level="WARNING")
    loop = EventLoop(Clock())
    tenant_state = TenantState(settings.rules)
    problems: list[str] = []

    def collect_problems(changes: TenantChanges) -> None:
        events = ("tenants.conflict", "tenants.bad_entry")
        problems.extend(line.text for line in changes.log_lines if line.event in events)

    replicator = DirectoryReplicator(loop, settings, tenant_state, random.Random(), collect_problems)
    connection = settings.connection
    timeout_ms = connection.connect_timeout_ms + connection.bind_timeout_ms + settings.refresh_timeout_ms
    deadline = loop.clock.now() + timeout_ms
    max_attempts = len(settings.servers) * settings.retry_policy.failures_to_open
    while (
        not tenant_state.counters.refreshes
        and loop.clock.now() < deadline
        and replicator.connection_failures < max_attempts
    ):
        loop.run_once(LOOP_STEP_S)
    if not tenant_state.counters.refreshes:
        raise config.ConfigError(
            warnings[-1] if warnings else "the directory did not complete a refresh in time"
        )
    origin = replicator.sync.cookie.server or settings.servers[0].server
    return InspectionResult(tenant_state, problems, origin)


def format_tenants(result: InspectionResult) -> Iterator[str]:
    """Yield a summary line, then one line per tenant, sorted by name."""
    table = result.tenant_state.table
    yield f"{len(table)} tenants, {table.network_count} networks, from {result.origin}"
    for tenant in sorted(table.tenants.values(), key=lambda tenant: (tenant.name.casefold(), tenant.id)):
        yield _format_tenant(tenant)


def _format_tenant(tenant: Tenant) -> str:
    networks = ", ".join(map(str, tenant.networks[:MAX_NETWORKS_SHOWN]))
    if len(tenant.networks) > MAX_NETWORKS_SHOWN:
        networks += f" and {len(tenant.networks) - MAX_NETWORKS_SHOWN} more"
    balancers = ", ".join(
        f"{first}" if first == last else f"{first}-{last}" for first, last in tenant.balancers
    )
    columns = (
        tenant.name,
        tenant.status.value,
        f"{tenant.quota_per_s:g}/s" if tenant.quota_per_s else "no quota",
        networks or "-",
        f"balancers {balancers or '-'}",
        ", ".join(sorted(tenant.classes)) or "all classes",
        tenant.id,
    )
    return "  ".join(columns)


def describe_owner(result: InspectionResult, address: str, balancer_number: int | None) -> OwnerDescription:
    """Describe which tenant owns a client, and by which rule.

    ``balancer_number`` is the balancer number that the client sends, or None.
    """
    table = result.tenant_state.table
    identity = table.identify(address, balancer_number)
    if identity.identified_by is IdentifiedBy.UNKNOWN:
        return OwnerDescription(False, f"{address}: owned by no tenant, the default tenant applies")
    tenant = table.tenants[identity.tenant_id]
    if identity.identified_by is IdentifiedBy.NETWORK:
        rule = f"network {identity.network}"
    else:
        rule = f"balancer {balancer_number}"
    return OwnerDescription(True, f"{address}: {tenant.name} ({tenant.status.value}, {tenant.id}), by {rule}")


def find_problems(result: InspectionResult) -> list[str]:
    """Return one line per entry that is invalid, conflicts with another or identifies no clients."""
    problems = list(dict.fromkeys(result.problems))
    problems += [
        f"{json.dumps(tenant.name)} has neither networks nor balancer numbers, so it identifies no clients"
        for tenant in result.tenant_state.table.tenants.values()
        if not tenant.networks and not tenant.balancers
    ]
    return problems
