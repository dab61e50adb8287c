"""Between the fronts and the reducer: says whose each request is, and tells the decisions of other shares.

The caller's address is the connection's. Nothing that a caller writes into a request decides, but for a
balancer's number where the operator trusts its network.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from snowthread.core import events
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.tenants import snapshot as tenant_snapshot
from snowthread.tenants.model import IdentifiedBy
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantChanges, TenantState

MIN_SNAPSHOT_INTERVAL_MS = 1000.0  # the least time between two snapshots
HOUSEKEEPING_INTERVAL_MS = 500.0  # between two looks at age, snapshot and counters
_WARNING_EVENTS = frozenset({"tenants.conflict", "tenants.bad_entry", "tenants.removal_held"})


class TenantIdentification:
    """One node's tenants."""

    def __init__(
        self, loop: EventLoop, settings: TenantSettings, seed: int, post: Callable[[events.Event], None]
    ) -> None:
        self._loop, self.settings, self._post = loop, settings, post
        self._peer_address: Callable[[int], str] = lambda place: ""
        self.tenants = TenantState(settings.rules)
        # The node's seed is new with each start and each node: what is drawn from it is spread over a fleet.
        self._rng = random.Random(seed ^ 0x7E4A47)
        self.replicator: DirectoryReplicator | None = None
        self._writer: tenant_snapshot.Writer | None = None
        self._last_snapshot_ms, self._last_snapshot_version = loop.clock.now(), 0

    def start(self, origin: Callable[[int], str]) -> None:
        """Begin: what was known at the last life first, then the directory."""
        self._peer_address = origin
        self._post(
            events.TenantQuotasChanged(
                (self.tenants.default_quota(),), over_quota_weight=self.settings.over_quota_weight
            )
        )
        self.replicator = DirectoryReplicator(
            self._loop, self.settings, self.tenants, self._rng, self.publish
        )
        if self.settings.snapshot_path is not None:
            self._restore_snapshot(self.replicator)
            self._writer = tenant_snapshot.Writer(self.settings.snapshot_path)
        self._loop.spawn(self._run_housekeeping())

    def handle(self, message: events.Event) -> None:
        """A front's message on its way to the reducer."""
        if type(message) is events.RequestReceived:
            now = self._loop.clock.now()
            address = self._peer_address(message.response_address[0])
            who = self.tenants.identify(address, message.caller_id, now)
            if (
                who.identified_by is IdentifiedBy.UNKNOWN
                and self.tenants.unknown_clients.request_lookup(address, now)
                and self.replicator
            ):
                self.replicator.wake()
            message = events.with_tenant(message, who.tenant_id)
        self._post(message)

    def publish(self, news: TenantChanges) -> None:
        """Hand on what a step changed."""
        for event, text in news.log_lines:
            line = logger.bind(event=event, peer="directory")
            (line.warning if event in _WARNING_EVENTS else line.info)("tenants: {}", text)
        if news.quotas or news.removed_ids:
            self._post(events.TenantQuotasChanged(tuple(news.quotas), frozenset(news.removed_ids)))

    def apply_settings(self, settings: TenantSettings) -> None:
        """Take up other settings; those of the snapshot's place too."""
        old, self.settings = self.settings, settings
        self.publish(self.tenants.apply_rules(settings.rules))
        self._post(events.TenantQuotasChanged(over_quota_weight=settings.over_quota_weight))
        if settings.snapshot_path != old.snapshot_path:
            self._writer = (
                None if settings.snapshot_path is None else tenant_snapshot.Writer(settings.snapshot_path)
            )
        same = (
            replace(
                settings,
                rules=old.rules,
                snapshot_path=old.snapshot_path,
                snapshot_interval_ms=old.snapshot_interval_ms,
                report_interval_ms=old.report_interval_ms,
                over_quota_weight=old.over_quota_weight,
            )
            == old
        )
        if self.replicator is not None and not same:
            self.replicator.apply_settings(settings)

    # Now and then.

    def _run_housekeeping(self) -> TaskSteps:
        report_at = self._loop.clock.now() + self.settings.report_interval_ms
        while True:
            yield Wait(until=self._loop.clock.now() + HOUSEKEEPING_INTERVAL_MS)
            now = self._loop.clock.now()
            self.publish(self.tenants.report_staleness(now))
            self._write_snapshot_if_due(now)
            if now >= report_at:
                report_at = now + self.settings.report_interval_ms
                self._log_state(now)

    def _log_state(self, now: float) -> None:
        tenancy, follower = self.tenants, self.replicator
        stage = tenancy.staleness.stage(now).value
        age = tenancy.staleness.age_ms(now) / 1000.0
        logger.bind(
            event="tenants.state",
            peer="directory",
            stage=stage,
            tenants=len(tenancy.table),
            networks=tenancy.table.network_count,
            server=follower.connected_server if follower else "",
            fail_overs=follower.server_selector.fail_overs if follower else 0,
            link_failures=follower.connection_failures if follower else 0,
            age_s=round(age, 1) if age < 1e9 else None,
            unknown_waiting=len(tenancy.unknown_clients),
            nobodys=tenancy.unknown_clients.negative_cache_size,
            held=len(tenancy.guard.held.tenant_ids) if tenancy.guard.held else 0,
            **tenancy.counts,
        ).info(
            "tenants: {} known, {}, {} requests of known callers, {} of unknown ones",
            len(tenancy.table),
            stage,
            tenancy.counts["known"],
            tenancy.counts["unknown"],
        )

    # The snapshot.

    def _restore_snapshot(self, follower: DirectoryReplicator) -> None:
        path = self.settings.snapshot_path
        if path is None:
            return
        if not path.exists():
            logger.bind(event="tenants.no_snapshot").info("tenants: no snapshot at {} yet", path)
            return
        try:
            snapshot = tenant_snapshot.read(path, self.settings.source)
        except tenant_snapshot.SnapshotError as error:
            logger.bind(event="tenants.no_snapshot").warning(
                "tenants: snapshot {} not used: {}; the directory alone will tell", path, error
            )
            return
        now = self._loop.clock.now()
        self.publish(self.tenants.restore_snapshot(snapshot.tenants, snapshot.agreed_at, snapshot.home, now))
        follower.sync.cookie, follower.sync.cookie_server = snapshot.cookie, snapshot.home
        logger.bind(event="tenants.restored", tenants=len(snapshot.tenants)).info(
            "tenants: {} from the snapshot, {:.0f} s old",
            len(snapshot.tenants),
            self.tenants.staleness.age_ms(now) / 1000.0,
        )

    def _write_snapshot_if_due(self, now: float) -> None:
        writer, tenancy = self._writer, self.tenants
        if writer is None or self.replicator is None:
            return
        error = writer.finished()
        if error:
            logger.bind(event="tenants.snapshot_failed").warning(
                "tenants: snapshot not written: {}; tried again later", error
            )
            self._last_snapshot_version = -1
        due = now - self._last_snapshot_ms >= self.settings.snapshot_interval_ms
        changed = tenancy.table.version != self._last_snapshot_version
        if writer.busy or not tenancy.table.version:
            return
        if not due and not (changed and now - self._last_snapshot_ms >= MIN_SNAPSHOT_INTERVAL_MS):
            return
        self._last_snapshot_ms, self._last_snapshot_version = now, tenancy.table.version
        sync = self.replicator.sync
        # A held removal is not in the file: from the cookie on it would never be told again.
        resumes = tenancy.guard.held is None and sync.cookie_server == tenancy.guard.source_server
        writer.start(
            tenancy.table.tenants.values(),
            tenancy.staleness.confirmed_at_ms,
            self.settings.source,
            tenancy.guard.source_server,
            sync.cookie if resumes else None,
        )
