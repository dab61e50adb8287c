"""Apply a completed refresh in slices, so that a large refresh does not delay requests on the event loop."""

from __future__ import annotations

from collections.abc import Generator

from loguru import logger

from snowthread.net.loop import Wait
from snowthread.tenants.changes import TenantChanges
from snowthread.tenants.replication_context import ReplicationContext
from snowthread.tenants.sync import DirectorySync
from snowthread.tenants.sync_events import RefreshCompleted


def apply_refresh_with_pauses(
    context: ReplicationContext, sync: DirectorySync, refresh: RefreshCompleted, server: str, now: float
) -> Generator[Wait, int, TenantChanges]:
    """Apply a refresh and return what it changed, letting other tasks run after each slice.

    If the task ends before the last slice, the cookie is discarded. Otherwise the next refresh would start
    after changes that were never applied.
    """
    slices = context.tenant_state.apply_refresh_in_slices(refresh, server, now)
    changes: TenantChanges | None = None
    try:
        while changes is None:
            try:
                next(slices)
            except StopIteration as finished:
                changes = finished.value
            else:
                yield Wait(until_ms=context.loop.clock.now())
    finally:
        if changes is None:
            sync.forget_cookie()
    return changes


def log_refresh(
    context: ReplicationContext, sync: DirectorySync, server: str, changes: TenantChanges, duration_ms: float
) -> None:
    """Log that a refresh was applied; ``duration_ms`` counts from the search request to the end."""
    table = context.tenant_state.table
    logger.bind(
        event="tenants.refreshed",
        peer="directory",
        server=server,
        ms=round(duration_ms, 1),
        mode=sync.mode.name.lower(),
        tenants=len(table),
        networks=table.network_count,
        changed=len(changes.quotas),
        removed=len(changes.removed_ids),
    ).info(
        "directory {}: refreshed in {:.0f} ms, {} tenants, {} networks",
        server,
        duration_ms,
        len(table),
        table.network_count,
    )
