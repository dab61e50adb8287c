"""The work of one connection to the directory: its search, its probes and its lookups.

What a message of the search means is decided by ``sync``, what is believed by ``state``. Every wait has a
deadline, so a directory that stalls at any byte is given up in time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Generator
from dataclasses import dataclass

from loguru import logger

from snowthread.ldap.client import ConnectionFailure, LdapConnection
from snowthread.ldap.health import Reaction, reaction_to
from snowthread.ldap.messages import (
    AbandonRequest,
    Message,
    Response,
    Scope,
    SearchRequest,
    SearchResultDone,
)
from snowthread.net.attempt import Progress
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.tenants.changes import TenantChanges
from snowthread.tenants.lookups import ClientLookups
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantState
from snowthread.tenants.sync import (
    DirectorySync,
    EntriesChanged,
    NextPage,
    RefreshCompleted,
    ReplicationState,
    SearchEnded,
    SyncEvent,
)

MAX_SEARCH_RESTARTS = 4  # on one connection, between two refreshes
RESTART_REACTIONS = frozenset({Reaction.FULL_REFRESH, Reaction.FALL_BACK, Reaction.REDUCE_PAGE_SIZE})
LOOKUP_POLL_MS = 50.0  # between two checks whether a waiting lookup may be sent
POLL_JITTER = (0.8, 1.2)  # factors of the poll interval
NO_ATTRIBUTES = ("1.1",)  # RFC 4511, section 4.5.1.8
NO_MESSAGE = 0  # no message sent has this id


@dataclass(slots=True)
class _Probe:
    """A cheap search that checks whether a silent server still answers."""

    message_id: int = NO_MESSAGE
    deadline: float = math.inf

    @property
    def in_flight(self) -> bool:
        return self.message_id != NO_MESSAGE


class DirectorySession:
    """Follows the directory over one open connection, until it fails."""

    def __init__(
        self,
        loop: EventLoop,
        connection: LdapConnection,
        settings: TenantSettings,
        tenants: TenantState,
        sync: DirectorySync,
        rng: random.Random,
        publish: Callable[[TenantChanges], None],
        on_refresh: Callable[[], None],
    ) -> None:
        self.server = connection.server
        self.accepts_lookups = False
        self._loop = loop
        self._connection = connection
        self._settings = settings
        self._tenants = tenants
        self._sync = sync
        self._rng = rng
        self._publish = publish
        self._on_refresh = on_refresh
        self._lookups = ClientLookups(connection, settings, tenants, sync.base, publish)
        self._search_id = NO_MESSAGE
        self._search_started_at = 0.0
        self._last_received_at = 0.0
        self._probe = _Probe()
        self._poll_at = math.inf
        self._search_restarts = 0

    def run(self) -> Generator[Wait, int, ConnectionFailure]:
        """Follow the directory and return why that ended."""
        self._start_refresh(self._loop.clock.now())
        while True:
            now = self._loop.clock.now()
            failure = self._send_what_is_due(now)
            if failure is not None:
                return failure
            received = yield from self._connection.receive(self._next_deadline())
            if isinstance(received, ConnectionFailure):
                return received
            now = self._loop.clock.now()
            for message in received:
                self._last_received_at = now
                failure = yield from self._receive(message, now)
                if failure is not None:
                    return failure

    # What is due.

    def _send_what_is_due(self, now: float) -> ConnectionFailure | None:
        settings = self._settings
        since_received_ms = now - self._last_received_at
        if self._sync.state is ReplicationState.REFRESHING:
            refresh_ms = now - self._search_started_at
            if (
                since_received_ms >= settings.operation_timeout_ms
                or refresh_ms >= settings.refresh_timeout_ms
            ):
                return ConnectionFailure(Progress.REPLY_BEGUN, "the refresh stalls")
        elif now >= self._probe.deadline:
            return ConnectionFailure(Progress.REPLY_BEGUN, "a probe is not answered")
        elif now >= self._poll_at or self._full_refresh_due(now):
            if self._sync.state is ReplicationState.FOLLOWING:
                self._connection.send(AbandonRequest(self._search_id))
            self._start_refresh(now)
        elif not self._probe.in_flight and since_received_ms >= settings.probe_interval_ms:
            self._send_probe(now)
        self._lookups.abandon_overdue(now)
        self.accepts_lookups = self._sync.state is not ReplicationState.REFRESHING
        if self.accepts_lookups:
            self._lookups.start(now)
        return None

    def _start_refresh(self, now: float) -> None:
        search = self._sync.start_refresh(self.server, full=self._full_refresh_due(now))
        self._search_id = self._connection.send(search)
        self._search_started_at = self._last_received_at = now
        self._probe = _Probe()
        self._poll_at = math.inf

    def _send_probe(self, now: float) -> None:
        search = SearchRequest(
            self._settings.query.base, Scope.BASE, ("present", b"objectClass"), NO_ATTRIBUTES
        )
        message_id = self._connection.send(search)
        self._probe = _Probe(message_id, now + self._settings.operation_timeout_ms)

    def _full_refresh_due(self, now: float) -> bool:
        """Return whether it is time for the refresh that confirms a held removal."""
        due_at = self._tenants.guard.confirmation_due_at()
        return due_at is not None and now >= due_at

    def _next_deadline(self) -> float:
        """Return when something is due next, whatever is received."""
        settings, deadline = self._settings, self._lookups.next_deadline()
        if self._sync.state is ReplicationState.REFRESHING:
            return min(
                deadline,
                self._last_received_at + settings.operation_timeout_ms,
                self._search_started_at + settings.refresh_timeout_ms,
            )
        if self._probe.in_flight:
            probe_at = self._probe.deadline
        else:
            probe_at = self._last_received_at + settings.probe_interval_ms
        confirmation_at = self._tenants.guard.confirmation_due_at()
        deadline = min(deadline, self._poll_at, probe_at)
        if confirmation_at is not None:
            deadline = min(deadline, confirmation_at)
        if self._tenants.unknown_clients.waiting:
            deadline = min(deadline, self._loop.clock.now() + LOOKUP_POLL_MS)
        return deadline

    # What is received.

    def _receive(self, message: Message, now: float) -> Generator[Wait, int, ConnectionFailure | None]:
        if message.message_id in self._lookups:
            self._lookups.receive(message.message_id, message.response, now)
        elif message.message_id == self._probe.message_id:
            return self._receive_probe_response(message.response, now)
        elif message.message_id == self._search_id:
            for event in self._sync.receive(message.response):
                failure = yield from self._handle(event, now)
                if failure is not None:
                    return failure
        return None

    def _receive_probe_response(self, response: Response, now: float) -> ConnectionFailure | None:
        if not isinstance(response, SearchResultDone):
            return None
        self._probe = _Probe()
        code = response.result.code
        reaction = reaction_to(code)
        if reaction is not Reaction.DONE:
            return ConnectionFailure(Progress.REPLY_BEGUN, f"a probe ends with code {code}", reaction)
        if self._sync.state is ReplicationState.FOLLOWING:
            self._tenants.staleness.confirm(now)
        return None

    def _handle(self, event: SyncEvent, now: float) -> Generator[Wait, int, ConnectionFailure | None]:
        match event:
            case RefreshCompleted():
                yield from self._complete_refresh(event, now)
            case EntriesChanged():
                self._publish(self._tenants.apply_change(event, self.server, now))
            case NextPage():
                self._search_id = self._connection.send(event.search)
            case SearchEnded():
                return self._restart_search(event, now)
        return None

    def _restart_search(self, ended: SearchEnded, now: float) -> ConnectionFailure | None:
        """Search again in another way, if that is what the end of the search asks for."""
        self._search_restarts += 1
        if ended.reaction not in RESTART_REACTIONS or self._search_restarts > MAX_SEARCH_RESTARTS:
            return ConnectionFailure(Progress.REPLY_BEGUN, ended.reason, ended.reaction)
        logger.bind(event="tenants.other_way", peer="directory").info(
            "directory {}: {}; searching again: {}", self.server, ended.reason, ended.reaction.value
        )
        self._search_id = self._connection.send(self._sync.start_refresh(self.server))
        self._search_started_at = now
        self._poll_at = math.inf
        return None

    def _complete_refresh(self, refresh: RefreshCompleted, now: float) -> TaskSteps:
        changes = yield from self._apply_in_slices(refresh, now)
        duration_ms = now - self._search_started_at
        table = self._tenants.table
        logger.bind(
            event="tenants.refreshed",
            peer="directory",
            server=self.server,
            ms=round(duration_ms, 1),
            mode=self._sync.mode.name.lower(),
            tenants=len(table),
            networks=table.network_count,
            changed=len(changes.quotas),
            removed=len(changes.removed_ids),
        ).info(
            "directory {}: refreshed in {:.0f} ms, {} tenants, {} networks",
            self.server,
            duration_ms,
            len(table),
            table.network_count,
        )
        self._publish(changes)
        self._on_refresh()
        self._search_restarts = 0
        if self._sync.state is ReplicationState.IDLE:
            self._poll_at = now + self._settings.poll_interval_ms * self._rng.uniform(*POLL_JITTER)

    def _apply_in_slices(self, refresh: RefreshCompleted, now: float) -> Generator[Wait, int, TenantChanges]:
        """Apply a refresh, with a turn for other tasks after each slice."""
        slices = self._tenants.apply_refresh_in_slices(refresh, self.server, now)
        changes: TenantChanges | None = None
        try:
            while changes is None:
                try:
                    next(slices)
                except StopIteration as finished:
                    changes = finished.value
                else:
                    yield Wait(until_ms=self._loop.clock.now())
        finally:
            if changes is None:  # given up half way: the cookie must not say that this is known
                self._sync.forget_cookie()
        return changes
