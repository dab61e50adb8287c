"""The pool of idle database connections, which the next calls can reuse."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from snowthread.clients.database_connection import DatabaseConnection

IDLE_CONNECTIONS_MAX = 12
MIN_IDLE_MS = 30.0  # time before a connection is reused, in which surplus bytes after a reply can arrive


class IdleConnections:
    """Idle database connections, the longest idle first."""

    def __init__(self) -> None:
        self._connections: OrderedDict[DatabaseConnection, None] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._connections)

    def __iter__(self) -> Iterator[DatabaseConnection]:
        return iter(self._connections)

    def is_over_limit(self) -> bool:
        """Return whether there are more than :data:`IDLE_CONNECTIONS_MAX` idle connections."""
        return len(self._connections) > IDLE_CONNECTIONS_MAX

    def add(self, connection: DatabaseConnection, now_ms: float) -> None:
        """Add a connection that becomes idle at ``now_ms`` (Unix time in ms)."""
        connection.idle_since_ms = now_ms
        self._connections[connection] = None

    def discard(self, connection: DatabaseConnection) -> None:
        """Remove a connection if it is in the pool."""
        self._connections.pop(connection, None)

    def clear(self) -> None:
        """Remove all connections without closing them."""
        self._connections.clear()

    def pop_longest_idle(self) -> DatabaseConnection:
        """Remove and return the connection that has been idle the longest."""
        connection, _ = self._connections.popitem(last=False)
        return connection

    def take(self, now_ms: float) -> DatabaseConnection | None:
        """Remove and return the longest idle connection that can carry a call, or None if there is none.

        Connections that were closed by the database or have surplus bytes to read are removed from the pool;
        their own tasks close them.
        """
        while self._connections:
            connection = next(iter(self._connections))
            if now_ms - connection.idle_since_ms < MIN_IDLE_MS:
                return None
            del self._connections[connection]
            if connection.is_open_and_silent():
                return connection
        return None
