"""Restore a node's tenant snapshot at the start, and write new snapshots when they are due."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from loguru import logger

from snowthread.net.clock import Clock
from snowthread.tenants import snapshot as tenant_snapshot
from snowthread.tenants.changes import TenantChanges
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.snapshot_writer import SnapshotWriter
from snowthread.tenants.state import TenantState
from snowthread.tenants.sync import DirectorySync, ServerCookie

MIN_SNAPSHOT_INTERVAL_MS = 1000.0
MS_PER_S = 1000.0
UNKNOWN_VERSION = -1  # differs from every table version, so that a failed snapshot is written again


class SnapshotSchedule:
    """Restores the snapshot of one node, then writes a new one when the table changed or time has passed."""

    def __init__(
        self,
        clock: Clock,
        settings: TenantSettings,
        tenant_state: TenantState,
        publish: Callable[[TenantChanges], None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._tenant_state = tenant_state
        self._publish = publish
        self._sync: DirectorySync | None = None
        self._writer: SnapshotWriter | None = None
        self._last_write_started_ms = clock.now()
        self._last_written_version = 0  # version of the table in the last snapshot

    def start(self, sync: DirectorySync) -> None:
        """Restore the tenants and the cookie of ``sync`` from the snapshot; enable writing snapshots."""
        self._sync = sync
        path = self._settings.snapshot_path
        if path is not None:
            self._restore(path, sync)
            self._writer = SnapshotWriter(path)

    def apply_settings(self, settings: TenantSettings) -> None:
        """Apply new settings; a new snapshot path applies from the next write on."""
        path = settings.snapshot_path
        if path != self._settings.snapshot_path:
            self._writer = None if path is None else SnapshotWriter(path)
        self._settings = settings

    def write_if_due(self, now: float) -> None:
        """Log the failure of the last write, if it failed, and start the next write if it is due."""
        if self._writer is None or self._sync is None:
            return
        result = self._writer.poll()
        if result is not None and result.error:
            logger.bind(event="tenants.snapshot_failed").warning(
                "tenants: writing the snapshot failed: {}; will retry", result.error
            )
            self._last_written_version = UNKNOWN_VERSION
        if not self._writer.busy and self._is_due(now):
            self._start_write(self._writer, self._sync, now)

    def _restore(self, path: Path, sync: DirectorySync) -> None:
        if not path.exists():
            logger.bind(event="tenants.no_snapshot").info(
                "tenants: no snapshot at {}; waiting for the directory", path
            )
            return
        try:
            snapshot = tenant_snapshot.read(path, self._settings.query_text)
        except tenant_snapshot.SnapshotError as error:
            logger.bind(event="tenants.no_snapshot").warning(
                "tenants: snapshot {} not used: {}; waiting for the directory", path, error
            )
            return
        now = self._clock.now()
        self._publish(
            self._tenant_state.restore_snapshot(
                snapshot.tenants, snapshot.confirmed_at, snapshot.source_server, now
            )
        )
        sync.cookie = ServerCookie(snapshot.source_server, snapshot.cookie)
        logger.bind(event="tenants.restored", tenants=len(snapshot.tenants)).info(
            "tenants: restored {} tenants from the snapshot, {:.0f} s old",
            len(snapshot.tenants),
            self._tenant_state.staleness.age_ms(now) / MS_PER_S,
        )

    def _is_due(self, now: float) -> bool:
        version = self._tenant_state.table.version
        if not version:
            return False
        elapsed_ms = now - self._last_write_started_ms
        changed = version != self._last_written_version
        due_after_ms = self._settings.snapshot_interval_ms
        return elapsed_ms >= due_after_ms or (changed and elapsed_ms >= MIN_SNAPSHOT_INTERVAL_MS)

    def _start_write(self, writer: SnapshotWriter, sync: DirectorySync, now: float) -> None:
        table = self._tenant_state.table
        guard = self._tenant_state.removal_guard
        self._last_write_started_ms = now
        self._last_written_version = table.version
        # The file has no pending removal, and a refresh from the cookie would not report the removal again.
        may_resume = guard.pending is None and sync.cookie.server == guard.source_server
        writer.start(
            table.tenants.values(),
            self._tenant_state.staleness.confirmed_at_ms,
            self._settings.query_text,
            guard.source_server,
            sync.cookie.value if may_resume else None,
        )
