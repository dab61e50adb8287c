"""Identify the tenant of each request on its way from a node's frontends to its reducer.

A client is identified by the peer address of its connection. Nothing in the request itself counts, except a
balancer number in a request from a network that the operator trusts.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import asdict, replace

from loguru import logger

from snowthread.core import events
from snowthread.net.loop import Coroutine, EventLoop, Wait
from snowthread.tenants.changes import TenantChanges
from snowthread.tenants.model import IdentifiedBy
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.snapshot_schedule import SnapshotSchedule
from snowthread.tenants.state import TenantState

HOUSEKEEPING_INTERVAL_MS = 500.0
MS_PER_S = 1000.0
SEED_SALT = 0x7E4A47  # separates this random generator from others that use the node's seed
_WARNING_EVENTS = frozenset({"tenants.conflict", "tenants.bad_entry", "tenants.removal_held"})


class TenantIdentification:
    """Tenant identification of one node: identifies clients, replicates the directory, writes snapshots.

    Events for the reducer are passed to ``post``.
    """

    def __init__(
        self, loop: EventLoop, settings: TenantSettings, seed: int, post: Callable[[events.Event], None]
    ) -> None:
        self.settings = settings
        self.tenant_state = TenantState(settings.rules)
        self.replicator: DirectoryReplicator | None = None
        self._loop = loop
        self._post = post
        self._peer_address: Callable[[int], str] = lambda _connection: ""
        # ``seed`` comes from the node's configuration and is the same at every start of a node. Nodes with
        # different seeds have different jitter, so that a fleet does not query the directory in step.
        self._generator = random.Random(seed ^ SEED_SALT)
        self._snapshots = SnapshotSchedule(loop.clock, settings, self.tenant_state, self.publish)

    def start(self, peer_address: Callable[[int], str]) -> None:
        """Restore the snapshot, then start to replicate the directory.

        ``peer_address`` returns the peer address of a connection id.
        """
        self._peer_address = peer_address
        self._post(
            events.TenantsChanged(
                (self.tenant_state.default_quota(),), over_quota_weight=self.settings.over_quota_weight
            )
        )
        self.replicator = DirectoryReplicator(
            self._loop, self.settings, self.tenant_state, self._generator, self.publish
        )
        self._snapshots.start(self.replicator.sync)
        self._loop.spawn(self._run_housekeeping())

    def handle(self, message: events.Event) -> None:
        """Pass a frontend's event to the reducer; a request is given its tenant first."""
        if type(message) is events.RequestReceived:
            now = self._loop.clock.now()
            address = self._peer_address(message.response_address[0])
            identity = self.tenant_state.identify(address, message.caller_id, now)
            if (
                identity.identified_by is IdentifiedBy.UNKNOWN
                and self.tenant_state.unknown_clients.queue_lookup(address, now)
                and self.replicator
            ):
                self.replicator.wake()
            message = events.with_tenant(message, identity.tenant_id)
        self._post(message)

    def publish(self, changes: TenantChanges) -> None:
        """Write the log lines of a step and report its quota changes to admission control."""
        for line in changes.log_lines:
            bound = logger.bind(event=line.event, peer="directory")
            log = bound.warning if line.event in _WARNING_EVENTS else bound.info
            log("tenants: {}", line.text)
        if changes.quotas or changes.removed_ids:
            self._post(events.TenantsChanged(tuple(changes.quotas), frozenset(changes.removed_ids)))

    def apply_settings(self, settings: TenantSettings) -> None:
        """Apply new settings.

        The directory connection stays open if the settings that concern the directory are the same.
        """
        old = self.settings
        self.settings = settings
        self.publish(self.tenant_state.apply_rules(settings.rules))
        self._post(events.TenantsChanged(over_quota_weight=settings.over_quota_weight))
        self._snapshots.apply_settings(settings)
        if self.replicator is not None and not _replication_settings_equal(old, settings):
            self.replicator.apply_settings(settings)

    def _run_housekeeping(self) -> Coroutine:
        clock = self._loop.clock
        report_at = clock.now() + self.settings.report_interval_ms
        while True:
            yield Wait(until_ms=clock.now() + HOUSEKEEPING_INTERVAL_MS)
            now = clock.now()
            self.publish(self.tenant_state.report_staleness(now))
            self._snapshots.write_if_due(now)
            if now >= report_at:
                report_at = now + self.settings.report_interval_ms
                self._log_state(now)

    def _log_state(self, now: float) -> None:
        tenant_state = self.tenant_state
        replicator = self.replicator
        stage = tenant_state.staleness.stage(now).value
        age_s = tenant_state.staleness.age_ms(now) / MS_PER_S
        removal = tenant_state.removal_guard.pending
        logger.bind(
            event="tenants.state",
            peer="directory",
            stage=stage,
            tenants=len(tenant_state.table),
            networks=tenant_state.table.network_count,
            server=replicator.connected_server if replicator else "",
            fail_overs=replicator.server_selector.fail_overs if replicator else 0,
            connection_failures=replicator.connection_failures if replicator else 0,
            age_s=round(age_s, 1) if math.isfinite(age_s) else None,
            lookups_pending=len(tenant_state.unknown_clients),
            negative_cache=tenant_state.unknown_clients.negative_cache_size,
            held=len(removal.tenant_ids) if removal else 0,  # ``held`` is the documented name of this field
            **asdict(tenant_state.counters),
        ).info(
            "tenants: {} known, data at stage {}, {} requests from known clients, {} from unknown clients",
            len(tenant_state.table),
            stage,
            tenant_state.counters.known_requests,
            tenant_state.counters.unknown_requests,
        )


def _replication_settings_equal(old: TenantSettings, new: TenantSettings) -> bool:
    """Return whether the two settings are equal in everything that concerns directory replication."""
    return old == replace(
        new,
        rules=old.rules,
        snapshot_path=old.snapshot_path,
        snapshot_interval_ms=old.snapshot_interval_ms,
        report_interval_ms=old.report_interval_ms,
        over_quota_weight=old.over_quota_weight,
    )
