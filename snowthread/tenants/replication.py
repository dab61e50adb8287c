"""Replicate the directory over one connection at a time, with retries and fail-over.

``ldap.health`` decides which server to use and when; ``directory_session`` handles an open connection.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from contextlib import closing
from dataclasses import replace

from loguru import logger

from snowthread.ldap.client import ConnectionFailure, LdapConnection
from snowthread.ldap.health import ServerSelector
from snowthread.net.loop import Coroutine, EventLoop, Wait
from snowthread.tenants.changes import TenantChanges
from snowthread.tenants.directory_session import DirectorySession
from snowthread.tenants.replication_context import ReplicationContext
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantState
from snowthread.tenants.sync import DirectorySync


class DirectoryReplicator:
    """Replicates the directory for one node, as a task on the event loop.

    ``publish`` receives the changes of each step.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: TenantSettings,
        tenant_state: TenantState,
        generator: random.Random,
        publish: Callable[[TenantChanges], None],
    ) -> None:
        self.sync = DirectorySync(settings.query)
        self.connection_failures = 0
        self._loop = loop
        self._context = ReplicationContext(loop, settings, tenant_state, generator, publish)
        self._session: DirectorySession | None = None
        self.server_selector = self._new_server_selector()
        self._task = loop.spawn(self._run(settings.start_jitter_ms))

    @property
    def settings(self) -> TenantSettings:
        """The current settings."""
        return self._context.settings

    @property
    def connected_server(self) -> str:
        """The server of the open connection, or an empty string."""
        return self._session.server if self._session is not None else ""

    def wake(self) -> None:
        """Wake the task to send waiting lookups, if there is a connection that accepts them."""
        if self._session is not None and self._session.accepts_lookups:
            self._loop.wake(self._task)

    def apply_settings(self, settings: TenantSettings) -> None:
        """Reconnect with new servers, credentials or query; the known tenants are kept."""
        self._loop.end_task(self._task)
        self._context = replace(self._context, settings=settings)
        self.sync.set_query(settings.query)
        self._context.tenant_state.unknown_clients.abort_lookups()
        self.server_selector = self._new_server_selector()
        self._task = self._loop.spawn(self._run(start_jitter_ms=0.0))

    def _new_server_selector(self) -> ServerSelector:
        names = tuple(url.server for url in self.settings.servers)
        return ServerSelector(names, self.settings.retry_policy, self._loop.clock.now())

    def _run(self, start_jitter_ms: float) -> Coroutine:
        clock = self._loop.clock
        generator = self._context.generator
        # Nodes that start together must not all connect to the directory at the same moment.
        yield Wait(until_ms=clock.now() + generator.uniform(0.0, start_jitter_ms))
        while True:
            server_index = self.server_selector.choose(clock.now())
            if server_index is not None:
                failure = yield from self._connect_and_follow(server_index)
                self._record_failure(server_index, failure)
            retry_at = clock.now() + self.server_selector.backoff_ms(clock.now(), generator)
            while clock.now() < retry_at:  # a wake-up for a lookup must not cut the backoff short
                yield Wait(until_ms=retry_at)

    def _connect_and_follow(self, server_index: int) -> Generator[Wait, int, ConnectionFailure]:
        url = self.settings.servers[server_index]
        with closing(LdapConnection(self._loop, url, self.settings.connection)) as connection:
            try:
                failure = yield from connection.open()
                if failure is not None:
                    return failure
                self._session = DirectorySession(
                    self._context,
                    connection,
                    self.sync,
                    on_refresh=lambda: self.server_selector.record_success(server_index),
                )
                return (yield from self._session.run())
            finally:
                self._session = None
                self.sync.reset()
                self._context.tenant_state.unknown_clients.abort_lookups()

    def _record_failure(self, server_index: int, failure: ConnectionFailure) -> None:
        self.connection_failures += 1
        circuit_opened = self.server_selector.record_failure(
            server_index, self._loop.clock.now(), failure.reaction
        )
        server = self.server_selector.names[server_index]
        logger.bind(
            event="tenants.link_lost",
            peer="directory",
            server=server,
            progress=failure.progress.name,
            reaction=failure.reaction.value,
        ).warning(
            "directory {}: {}{}",
            server,
            failure.reason,
            "; circuit breaker opened, attempts are paused" if circuit_opened else "",
        )
