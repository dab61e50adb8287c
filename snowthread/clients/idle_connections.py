"""The database connections that carry no call now and may carry the next one."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from snowthread.clients.database_connection import DatabaseConnection

IDLE_CONNECTIONS_MAX = 12
MIN_IDLE_MS = 30.0  # before a connection's next call: surplus bytes behind a reply have arrived by then


class IdleConnections:
    """Idle connections, the longest idle first."""

    def __init__(self) -> None:
        self._connections: OrderedDict[DatabaseConnection, None] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._connections)

    def __iter__(self) -> Iterator[DatabaseConnection]:
        return iter(self._connections)

    def is_over_limit(self) -> bool:
        """Return whether more connections are idle than may be."""
        return len(self._connections) > IDLE_CONNECTIONS_MAX

    def add(self, connection: DatabaseConnection, now_ms: float) -> None:
        """Add a connection that is idle from now on."""
        connection.idle_since_ms = now_ms
        self._connections[connection] = None

    def discard(self, connection: DatabaseConnection) -> None:
        """Remove a connection, if it is here."""
        self._connections.pop(connection, None)

    def clear(self) -> None:
        """Remove all."""
        self._connections.clear()

    def pop_longest_idle(self) -> DatabaseConnection:
        """Remove and return the connection that has been idle the longest."""
        connection, _ = self._connections.popitem(last=False)
        return connection

    def take(self, now_ms: float) -> DatabaseConnection | None:
        """Remove and return the longest idle connection that is still open; None where there is none.

        Connections with something to read are removed on the way: their tasks close them.
        """
        while self._connections:
            connection = next(iter(self._connections))
            if now_ms - connection.idle_since_ms < MIN_IDLE_MS:
                return None
            del self._connections[connection]
            if connection.has_nothing_to_read():
                return connection
        return None
