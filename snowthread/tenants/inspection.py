"""What ``snowthread tenants`` does: read a directory or a snapshot once, and say what is there."""

from __future__ import annotations

import json
import os
import random
from collections.abc import Iterator
from pathlib import Path

from loguru import logger

from snowthread import config
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop
from snowthread.operator.features import Features
from snowthread.tenants import snapshot as tenant_snapshot
from snowthread.tenants.model import IdentifiedBy
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantChanges, TenantState

LOOP_ROUND_S = 0.05


class InspectionResult:
    """What was read, and the lines that came with it."""

    def __init__(self, tenancy: TenantState, lines: list[str], source: str) -> None:
        self.tenants, self.problems, self.source = tenancy, lines, source


def fetch(operator_file: Path, snapshot: Path | None) -> InspectionResult:
    """All tenants, from the snapshot where one is named, else from the directory; ConfigError where that
    can't be had."""
    settings = _read_settings(operator_file)
    tenancy, lines = TenantState(settings.rules), list[str]()
    now = Clock().now()
    if snapshot is not None:
        try:
            found = tenant_snapshot.read(snapshot, settings.source)
        except tenant_snapshot.SnapshotError as error:
            raise config.ConfigError(f"{snapshot}: {error}") from None
        news = tenancy.restore_snapshot(found.tenants, found.agreed_at, found.home, now)
        lines += [text for event, text in news.log_lines if event == "tenants.conflict"]
        return InspectionResult(
            tenancy, lines, f"{snapshot}, {max(0.0, now - found.agreed_at) / 1000.0:.0f} s old"
        )
    return _fetch_from_directory(settings, tenancy, lines)


def _read_settings(operator_file: Path) -> TenantSettings:
    # Looking at tenants needs no node: where NODE_CONFIG is not set the example's settings stand in.
    environment = dict(os.environ)
    if not environment.get("NODE_CONFIG"):
        environment["NODE_CONFIG"] = str(Path(__file__).parents[2] / "examples" / "node.json")
    tenants = Features.load(operator_file, config.load(environment)).tenants
    if tenants is None:
        raise config.ConfigError(f"{operator_file}: it has no block 'tenants'")
    return tenants


def _fetch_from_directory(
    settings: TenantSettings, tenancy: TenantState, lines: list[str]
) -> InspectionResult:
    logger.remove()
    troubles: list[str] = []
    logger.add(lambda message: troubles.append(message.record["message"]), level="WARNING")
    loop = EventLoop(Clock())

    def tell(news: TenantChanges) -> None:
        lines.extend(
            text for event, text in news.log_lines if event in ("tenants.conflict", "tenants.bad_entry")
        )

    follower = DirectoryReplicator(loop, settings, tenancy, random.Random(), tell)
    clock = loop.clock
    until = (
        clock.now()
        + settings.connection.connect_timeout_ms
        + settings.connection.bind_timeout_ms
        + settings.refresh_timeout_ms
    )
    tries = len(settings.servers) * settings.retry_policy.failures_to_open
    while not tenancy.counts["refreshes"] and clock.now() < until and follower.connection_failures < tries:
        loop.run_once(LOOP_ROUND_S)
    if not tenancy.counts["refreshes"]:
        raise config.ConfigError(troubles[-1] if troubles else "the directory does not answer")
    return InspectionResult(tenancy, lines, follower.sync.cookie_server or settings.servers[0].server)


def format_tenants(fetched: InspectionResult) -> Iterator[str]:
    """A table of the tenants, by name."""
    tenants = sorted(fetched.tenants.table.tenants.values(), key=lambda t: (t.name.casefold(), t.id))
    yield f"{len(tenants)} tenants, {fetched.tenants.table.network_count} networks, from {fetched.source}"
    for t in tenants:
        networks = ", ".join(map(str, t.networks[:4])) + (
            f" and {len(t.networks) - 4} more" if len(t.networks) > 4 else ""
        )
        balancers = ", ".join(f"{a}" if a == b else f"{a}-{b}" for a, b in t.balancers) or "-"
        quota = f"{t.quota_per_s:g}/s" if t.quota_per_s else "no quota"
        classes = ", ".join(sorted(t.classes)) or "all classes"
        yield "  ".join(
            (t.name, t.status.value, quota, networks or "-", f"balancers {balancers}", classes, t.id)
        )


def describe_owner(fetched: InspectionResult, address: str, balancer: int | None) -> tuple[bool, str]:
    """Whether somebody's, and the line that says whose and why."""
    who = fetched.tenants.table.identify(address, balancer)
    if who.identified_by is IdentifiedBy.UNKNOWN:
        return False, f"{address}: nobody's, so the default tenant's"
    tenant = fetched.tenants.table.tenants[who.tenant_id]
    by = f"network {who.network}" if who.identified_by is IdentifiedBy.NETWORK else f"balancer {balancer}"
    return True, f"{address}: {tenant.name} ({tenant.status.value}, {tenant.id}), by {by}"


def find_problems(fetched: InspectionResult) -> list[str]:
    """What can't be used or contradicts itself."""
    out = list(dict.fromkeys(fetched.problems))
    for tenant in fetched.tenants.table.tenants.values():
        if not tenant.networks and not tenant.balancers:
            out.append(f"{json.dumps(tenant.name)} has neither a network nor a balancer, so no callers")
    return out
