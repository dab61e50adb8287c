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

CHANGED_MS = 1000.0  # the least time between two snapshots
LOOK_MS = 500.0  # between two looks at age, snapshot and counters
_WARNINGS = frozenset({"tenants.conflict", "tenants.bad_entry", "tenants.removal_held"})


class TenantIdentification:
    """One node's tenants."""

    def __init__(
        self, loop: EventLoop, settings: TenantSettings, seed: int, post: Callable[[events.Event], None]
    ) -> None:
        self._loop, self.settings, self._post = loop, settings, post
        self._origin: Callable[[int], str] = lambda place: ""
        self.tenants = TenantState(settings.rules)
        # The node's seed is new with each start and each node: what is drawn from it is spread over a fleet.
        self._rng = random.Random(seed ^ 0x7E4A47)
        self.replicator: DirectoryReplicator | None = None
        self._writer: tenant_snapshot.Writer | None = None
        self._written_at, self._written_version = loop.clock.now(), 0

    def start(self, origin: Callable[[int], str]) -> None:
        """Begin: what was known at the last life first, then the directory."""
        self._origin = origin
        self._post(
            events.TenantQuotasChanged(
                (self.tenants.default_share(),), over_quota_weight=self.settings.over_share_worth
            )
        )
        self.replicator = DirectoryReplicator(
            self._loop, self.settings, self.tenants, self._rng, self.publish
        )
        if self.settings.snapshot is not None:
            self._restore(self.replicator)
            self._writer = tenant_snapshot.Writer(self.settings.snapshot)
        self._loop.spawn(self._look())

    def handle(self, message: events.Event) -> None:
        """A front's message on its way to the reducer."""
        if type(message) is events.RequestReceived:
            now = self._loop.clock.now()
            address = self._origin(message.response_address[0])
            who = self.tenants.whois(address, message.caller_id, now)
            if (
                who.identified_by is IdentifiedBy.UNKNOWN
                and self.tenants.unknown_clients.seen(address, now)
                and self.replicator
            ):
                self.replicator.wake()
            message = events.with_tenant(message, who.id)
        self._post(message)

    def publish(self, news: TenantChanges) -> None:
        """Hand on what a step changed."""
        for event, text in news.lines:
            line = logger.bind(event=event, peer="directory")
            (line.warning if event in _WARNINGS else line.info)("tenants: {}", text)
        if news.shares or news.removed:
            self._post(events.TenantQuotasChanged(tuple(news.shares), frozenset(news.removed)))

    def apply_settings(self, settings: TenantSettings) -> None:
        """Take up other settings; those of the snapshot's place too."""
        old, self.settings = self.settings, settings
        self.publish(self.tenants.apply_rules(settings.rules))
        self._post(events.TenantQuotasChanged(over_quota_weight=settings.over_share_worth))
        if settings.snapshot != old.snapshot:
            self._writer = None if settings.snapshot is None else tenant_snapshot.Writer(settings.snapshot)
        same = (
            replace(
                settings,
                rules=old.rules,
                snapshot=old.snapshot,
                snapshot_ms=old.snapshot_ms,
                report_ms=old.report_ms,
                over_share_worth=old.over_share_worth,
            )
            == old
        )
        if self.replicator is not None and not same:
            self.replicator.apply_settings(settings)

    # Now and then.

    def _look(self) -> TaskSteps:
        report_at = self._loop.clock.now() + self.settings.report_ms
        while True:
            yield Wait(until=self._loop.clock.now() + LOOK_MS)
            now = self._loop.clock.now()
            self.publish(self.tenants.aged(now))
            self._snapshot(now)
            if now >= report_at:
                report_at = now + self.settings.report_ms
                self._report(now)

    def _report(self, now: float) -> None:
        tenancy, follower = self.tenants, self.replicator
        stage = tenancy.staleness.stage(now).value
        age = tenancy.staleness.age(now) / 1000.0
        logger.bind(
            event="tenants.state",
            peer="directory",
            stage=stage,
            tenants=len(tenancy.table),
            networks=tenancy.table.networks,
            server=follower.server if follower else "",
            fail_overs=follower.servers.fail_overs if follower else 0,
            link_failures=follower.link_failures if follower else 0,
            age_s=round(age, 1) if age < 1e9 else None,
            unknown_waiting=len(tenancy.unknown_clients),
            nobodys=tenancy.unknown_clients.remembered,
            held=len(tenancy.guard.held.ids) if tenancy.guard.held else 0,
            **tenancy.counts,
        ).info(
            "tenants: {} known, {}, {} requests of known callers, {} of unknown ones",
            len(tenancy.table),
            stage,
            tenancy.counts["known"],
            tenancy.counts["unknown"],
        )

    # The snapshot.

    def _restore(self, follower: DirectoryReplicator) -> None:
        path = self.settings.snapshot
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
        self.publish(self.tenants.restored(snapshot.tenants, snapshot.agreed_at, snapshot.home, now))
        follower.sync.cookie, follower.sync.cookie_server = snapshot.cookie, snapshot.home
        logger.bind(event="tenants.restored", tenants=len(snapshot.tenants)).info(
            "tenants: {} from the snapshot, {:.0f} s old",
            len(snapshot.tenants),
            self.tenants.staleness.age(now) / 1000.0,
        )

    def _snapshot(self, now: float) -> None:
        writer, tenancy = self._writer, self.tenants
        if writer is None or self.replicator is None:
            return
        error = writer.finished()
        if error:
            logger.bind(event="tenants.snapshot_failed").warning(
                "tenants: snapshot not written: {}; tried again later", error
            )
            self._written_version = -1
        due = now - self._written_at >= self.settings.snapshot_ms
        changed = tenancy.table.version != self._written_version
        if writer.busy or not tenancy.table.version:
            return
        if not due and not (changed and now - self._written_at >= CHANGED_MS):
            return
        self._written_at, self._written_version = now, tenancy.table.version
        sync = self.replicator.sync
        # A held removal is not in the file: from the cookie on it would never be told again.
        resumes = tenancy.guard.held is None and sync.cookie_server == tenancy.guard.home
        writer.start(
            tenancy.table.tenants.values(),
            tenancy.staleness.confirmed_at_ms,
            self.settings.source,
            tenancy.guard.home,
            sync.cookie if resumes else None,
        )
