"""One connection to the directory: runs the replication search, the probes and the lookups on it.

``sync`` interprets the search responses and ``state`` applies them to the tenants. Every wait has a deadline,
so the connection is abandoned in time if the directory stalls, at whichever byte.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Generator

from loguru import logger

from snowthread.ldap.client import ConnectionFailure, LdapConnection
from snowthread.ldap.health import Reaction, reaction_to
from snowthread.ldap.messages import AbandonRequest, Message, Response, SearchResultDone
from snowthread.net.attempt import Progress
from snowthread.net.loop import Coroutine, Wait
from snowthread.tenants.lookups import ClientLookups
from snowthread.tenants.refresh_application import apply_refresh_with_pauses, log_refresh
from snowthread.tenants.replication_context import ReplicationContext
from snowthread.tenants.server_probe import ServerProbe
from snowthread.tenants.sync import DirectorySync, ReplicationState
from snowthread.tenants.sync_events import (
    EntriesChanged,
    NextPage,
    RefreshCompleted,
    SearchEnded,
    SyncEvent,
)

MAX_SEARCH_RESTARTS = 4  # restarts of the search on one connection between two completed refreshes
RESTART_REACTIONS = frozenset({Reaction.FULL_REFRESH, Reaction.FALL_BACK, Reaction.REDUCE_PAGE_SIZE})
LOOKUP_POLL_MS = 50.0  # interval at which a session checks whether a waiting lookup may be sent
# The poll interval is multiplied by a random factor in this range.
MIN_POLL_JITTER_RATIO = 0.8
MAX_POLL_JITTER_RATIO = 1.2
NO_SEARCH = 0  # the message id while no search is open; ids of requests start at 1


class DirectorySession:
    """Replicates the directory over one open connection until the connection fails.

    ``on_refresh`` is called after each completed refresh.
    """

    def __init__(
        self,
        context: ReplicationContext,
        connection: LdapConnection,
        sync: DirectorySync,
        on_refresh: Callable[[], None],
    ) -> None:
        self.server = connection.server
        self.accepts_lookups = False
        self._context = context
        self._connection = connection
        self._sync = sync
        self._on_refresh = on_refresh
        self._lookups = ClientLookups(context, connection, sync.base)
        self._probe = ServerProbe(
            connection, context.settings.query.base, context.settings.operation_timeout_ms
        )
        self._search_id = NO_SEARCH
        self._search_started_at = 0.0
        self._last_received_at = 0.0
        self._poll_at = math.inf
        self._search_restarts = 0

    def run(self) -> Generator[Wait, int, ConnectionFailure]:
        """Replicate the directory and return the failure that ended the connection."""
        clock = self._context.loop.clock
        self._start_refresh(clock.now())
        while True:
            now = clock.now()
            failure = self._detect_stall(now)
            if failure is not None:
                return failure
            self._send_due_requests(now)
            received = yield from self._connection.receive(self._next_deadline())
            if isinstance(received, ConnectionFailure):
                return received
            now = clock.now()
            for message in received:
                self._last_received_at = now
                failure = yield from self._receive(message, now)
                if failure is not None:
                    return failure

    # Timeouts and requests that are due.

    def _detect_stall(self, now: float) -> ConnectionFailure | None:
        settings = self._context.settings
        if self._sync.state is ReplicationState.REFRESHING:
            is_silent = now - self._last_received_at >= settings.operation_timeout_ms
            is_slow = now - self._search_started_at >= settings.refresh_timeout_ms
            if is_silent or is_slow:
                return ConnectionFailure(
                    Progress.REPLY_BEGUN, "refresh timed out: the server was silent or too slow"
                )
        elif now >= self._probe.deadline:
            return ConnectionFailure(Progress.REPLY_BEGUN, "probe timed out")
        return None

    def _send_due_requests(self, now: float) -> None:
        if self._sync.state is not ReplicationState.REFRESHING:
            self._send_due_search(now)
        self._lookups.abandon_timed_out(now)
        self.accepts_lookups = self._sync.state is not ReplicationState.REFRESHING
        if self.accepts_lookups:
            self._lookups.send_waiting(now)

    def _send_due_search(self, now: float) -> None:
        """Start the next refresh or send a probe if one is due."""
        ms_since_received = now - self._last_received_at
        if now >= self._poll_at or self._full_refresh_due(now):
            if self._sync.state is ReplicationState.FOLLOWING:
                self._connection.send(AbandonRequest(self._search_id))
            self._start_refresh(now)
        elif not self._probe.in_flight and ms_since_received >= self._context.settings.probe_interval_ms:
            self._probe.send(now)

    def _start_refresh(self, now: float) -> None:
        search = self._sync.start_refresh(self.server, full=self._full_refresh_due(now))
        self._search_id = self._connection.send(search)
        self._search_started_at = now
        self._last_received_at = now
        self._probe.clear()
        self._poll_at = math.inf

    def _full_refresh_due(self, now: float) -> bool:
        """Return whether the full refresh that can confirm a pending removal is due."""
        due_at = self._context.tenant_state.removal_guard.confirmation_due_at()
        return due_at is not None and now >= due_at

    def _next_deadline(self) -> float:
        """Return the time of the next timeout or due request if nothing is received until then."""
        settings = self._context.settings
        tenant_state = self._context.tenant_state
        deadline = self._lookups.next_deadline()
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
        confirmation_at = tenant_state.removal_guard.confirmation_due_at()
        deadline = min(deadline, self._poll_at, probe_at)
        if confirmation_at is not None:
            deadline = min(deadline, confirmation_at)
        if tenant_state.unknown_clients.waiting_count:
            deadline = min(deadline, self._context.loop.clock.now() + LOOKUP_POLL_MS)
        return deadline

    # Received messages.

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
        self._probe.clear()
        code = response.result.result_code
        reaction = reaction_to(code)
        if reaction is not Reaction.DONE:
            return ConnectionFailure(Progress.REPLY_BEGUN, f"probe failed with result code {code}", reaction)
        if self._sync.state is ReplicationState.FOLLOWING:
            self._context.tenant_state.staleness.confirm(now)
        return None

    def _handle(self, event: SyncEvent, now: float) -> Generator[Wait, int, ConnectionFailure | None]:
        match event:
            case RefreshCompleted():
                yield from self._complete_refresh(event, now)
            case EntriesChanged():
                self._context.publish(self._context.tenant_state.apply_change(event, self.server, now))
            case NextPage():
                self._search_id = self._connection.send(event.search)
            case SearchEnded():
                return self._restart_search(event, now)
        return None

    def _restart_search(self, ended: SearchEnded, now: float) -> ConnectionFailure | None:
        """Restart a search that ended because it needs a full refresh, another mode or smaller pages.

        An end for any other reason, or after ``MAX_SEARCH_RESTARTS`` restarts, is returned as a failure of
        the connection.
        """
        self._search_restarts += 1
        if ended.reaction not in RESTART_REACTIONS or self._search_restarts > MAX_SEARCH_RESTARTS:
            return ConnectionFailure(Progress.REPLY_BEGUN, ended.reason, ended.reaction)
        logger.bind(event="tenants.other_way", peer="directory").info(
            "directory {}: {}; restarting the search: {}", self.server, ended.reason, ended.reaction.value
        )
        self._search_id = self._connection.send(self._sync.start_refresh(self.server))
        self._search_started_at = now
        self._poll_at = math.inf
        return None

    def _complete_refresh(self, refresh: RefreshCompleted, now: float) -> Coroutine:
        context = self._context
        changes = yield from apply_refresh_with_pauses(context, self._sync, refresh, self.server, now)
        log_refresh(context, self._sync, self.server, changes, now - self._search_started_at)
        context.publish(changes)
        self._on_refresh()
        self._search_restarts = 0
        if self._sync.state is ReplicationState.IDLE:
            jitter = context.generator.uniform(MIN_POLL_JITTER_RATIO, MAX_POLL_JITTER_RATIO)
            self._poll_at = now + context.settings.poll_interval_ms * jitter
