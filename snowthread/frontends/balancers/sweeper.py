"""Periodic check of all connections for timeouts, unsent answers and idle connections.

One periodic sweep over all connections costs less than a timer for each connection.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, MutableMapping

from snowthread.frontends.balancers.connection import BalancerConnection
from snowthread.net.limits import MIN_IDLE_BEFORE_EVICTION_MS, SINGLE_MESSAGE_IDLE_TIMEOUT_MS, is_timed_out

FAREWELL_TIMEOUT_MS = 1000.0  # a connection that is idle this long after its farewell is closed


class ConnectionSweeper:
    """Closes connections whose peers stall, stay idle too long or leave too many answers unread.

    ``connections`` and ``idle_since_ms`` (the longest idle first) are the server's tables by connection
    number; the sweeper removes entries from ``idle_since_ms``. ``max_unsent_bytes`` limits the unsent answers
    of all connections together.
    """

    def __init__(
        self,
        connections: Mapping[int, BalancerConnection],
        idle_since_ms: MutableMapping[int, float],
        max_unsent_bytes: int,
    ) -> None:
        self._connections = connections
        self._idle_since_ms = idle_since_ms
        self._max_unsent_bytes = max_unsent_bytes
        self.idle_timeout_ms = math.inf
        self.max_idle_connections = 0

    def sweep(self, now_ms: float, closes_after_farewell: bool) -> None:
        """Check all connections once; ``now_ms`` is the time in Unix milliseconds.

        ``closes_after_farewell`` says whether to close connections that stay idle after their farewell.
        """
        for connection in list(self._connections.values()):
            if self._has_expired(connection, now_ms, closes_after_farewell):
                connection.read_pending()
                if self._has_expired(connection, now_ms, closes_after_farewell):
                    _close_expired(connection)
        self._abort_largest_unsent()
        self._send_farewell_to_idle(now_ms)

    def _has_expired(
        self, connection: BalancerConnection, now_ms: float, closes_after_farewell: bool
    ) -> bool:
        """Return whether the peer has stalled too long, or stayed idle after its farewell."""
        if is_timed_out(
            now_ms,
            connection.message_stream.incomplete_since_ms(),
            connection.writer.stalled_since_ms,
            connection.has_unhandled_input,
        ):
            return True
        return (
            closes_after_farewell
            and connection.farewell_at_ms + FAREWELL_TIMEOUT_MS <= now_ms
            and connection.idle
            and not connection.has_unhandled_input
        )

    def _abort_largest_unsent(self) -> None:
        """Abort the connections with the most unsent bytes until the total is within the limit.

        Many peers that read nothing would otherwise fill the memory, even if each has few bytes unsent.
        """
        with_unsent = sorted(
            (connection for connection in self._connections.values() if connection.writer.unsent),
            key=lambda connection: connection.unsent_bytes,
        )
        unsent_bytes = sum(connection.unsent_bytes for connection in with_unsent)
        while unsent_bytes > self._max_unsent_bytes:
            connection = with_unsent.pop()
            unsent_bytes -= connection.unsent_bytes
            connection.abort()

    def _send_farewell_to_idle(self, now_ms: float) -> None:
        """Send a farewell on connections that are idle too long, and on the longest idle of too many."""
        excess = len(self._idle_since_ms) - self.max_idle_connections
        for number, since_ms in list(self._idle_since_ms.items()):
            connection = self._connections[number]
            idle_ms = now_ms - since_ms
            if connection.has_unhandled_input:
                continue  # a request is arriving in parts
            if (
                idle_ms >= self.idle_timeout_ms
                or (
                    connection.message_stream.messages_read == 1 and idle_ms >= SINGLE_MESSAGE_IDLE_TIMEOUT_MS
                )
                or (excess > 0 and idle_ms >= MIN_IDLE_BEFORE_EVICTION_MS)
            ):
                excess -= 1
                del self._idle_since_ms[number]
                connection.send_farewell()
            elif idle_ms < MIN_IDLE_BEFORE_EVICTION_MS:
                break


def _close_expired(connection: BalancerConnection) -> None:
    """Close gracefully if there are open requests to answer and the peer reads its answers, else abort."""
    if connection.open_request_numbers and not connection.unsent_bytes:
        connection.close_gracefully()
    else:
        connection.abort()
