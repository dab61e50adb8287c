"""The client of the formula database: assigns each call to a connection and reports how the call ended.

:mod:`.database_connection` makes one call, :mod:`.idle_connections` keeps connections open for the next calls
and :mod:`.database_codec` implements the protocol.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from snowthread.address import Address
from snowthread.admission.settings import Outcome
from snowthread.clients.database_codec import DatabaseReply, outcome_of
from snowthread.clients.database_connection import DatabaseConnection
from snowthread.clients.idle_connections import IdleConnections
from snowthread.core import effects, events
from snowthread.net.attempt import Failure
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

# The database closes a connection after 10 s without a call. The node closes it earlier, so that no call is
# sent while the database closes the connection.
IDLE_TIMEOUT_MS = 7000.0


class DatabaseClient:
    """Makes downstream calls for runs, and posts exactly one completion for each call that is not cancelled.

    A call is completed as unreachable without being sent if no address is configured, or if the limit of
    connections is reached and none of them is idle.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address | None,
        max_connections: int,
        post: Callable[[events.Event], None],
    ) -> None:
        self._loop = loop
        self._address = address
        self._max_connections = max_connections
        self._post = post
        self._idle = IdleConnections()
        self._calls: dict[str, DatabaseConnection] = {}  # connections with a call in flight, by attempt id
        self._connection_count = 0

    def connection_count(self) -> int:
        """Return the number of open connections, including those that are being established."""
        return self._connection_count

    def set_address(self, address: Address | None) -> None:
        """Make new calls at a new address; calls in flight finish at the old one."""
        if address != self._address:
            self._address = address
            for connection in self._idle:
                self._wake(connection)
            self._idle.clear()

    def start_call(self, call: effects.StartCall) -> None:
        """Make a call on an idle connection, or on a new one if none is available.

        A call that must not be retried never uses an idle connection. A reset of an idle connection leaves
        open whether the call was run, but :meth:`.DatabaseConnection.exchange` reports it as never run.
        """
        self.cancel_call(call.attempt_id)
        if self._address is None:
            self._post(events.CallCompleted(call.attempt_id, Outcome.UNREACHABLE, 0.0))
            return
        connection = self._idle.take(self._loop.clock.now()) if call.retryable else None
        if connection is None and self._connection_count >= self._max_connections:
            if not self._idle:
                self._post(events.CallCompleted(call.attempt_id, Outcome.UNREACHABLE, 0.0))
                return
            self._close_longest_idle()
        connection = connection or DatabaseConnection(self._loop)
        connection.call = call
        connection.call_started_at_ms = self._loop.clock.now()
        self._calls[call.attempt_id] = connection
        if connection.task is None:
            self._connection_count += 1
            connection.task = self._loop.spawn(self._serve_calls(connection))
        else:
            self._loop.wake(connection.task)

    def cancel_call(self, attempt_id: str) -> None:
        """Cancel a call: its connection is closed, and no completion is posted."""
        connection = self._calls.pop(attempt_id, None)
        if connection is not None:
            connection.call = None
            self._wake(connection)

    def _close_longest_idle(self) -> None:
        """Wake the task of the connection that has been idle the longest, so that it closes the connection.

        The connection is not closed here because this code may run inside that task: the task completed its
        call, which started the next call. A task cannot end itself from within.
        """
        self._wake(self._idle.pop_longest_idle())

    def _wake(self, connection: DatabaseConnection) -> None:
        if connection.task is not None:
            self._loop.wake(connection.task)

    # The task of one connection.

    def _serve_calls(self, connection: DatabaseConnection) -> Coroutine:
        try:
            while connection.call is not None:
                call = connection.call
                address = self._address
                result = yield from connection.exchange(call, address)
                if address != self._address:
                    connection.is_reusable = False
                if connection.call is not call:
                    return  # the call was cancelled meanwhile
                self._complete_call(connection, call, result)
                if not connection.is_reusable or connection.sock is None:
                    return
                if connection.call is None:  # wait for the next call, a close by the database, or the timeout
                    yield Wait(connection.sock.fileno(), READABLE, connection.idle_since_ms + IDLE_TIMEOUT_MS)
        finally:
            self._connection_closed(connection)

    def _complete_call(
        self, connection: DatabaseConnection, call: effects.StartCall, result: DatabaseReply | Failure
    ) -> None:
        """Post the completion of a call, and before that make its connection idle if it can be reused."""
        connection.call = None
        del self._calls[call.attempt_id]
        now_ms = self._loop.clock.now()
        if connection.is_reusable:
            self._idle.add(connection, now_ms)
            if self._idle.is_over_limit():
                self._close_longest_idle()
        body = result.body if isinstance(result, DatabaseReply) else b""
        if isinstance(result, Failure):
            logger.debug("database: call of attempt {} failed: {}", call.attempt_id, result.reason)
        duration_ms = now_ms - connection.call_started_at_ms
        self._post(events.CallCompleted(call.attempt_id, outcome_of(result), duration_ms, body))

    def _connection_closed(self, connection: DatabaseConnection) -> None:
        """Remove a connection whose task ends."""
        self._idle.discard(connection)
        # An unexpected error in the task leaves its call open. Complete it, or the run would wait forever.
        if connection.call is not None:
            self._calls.pop(connection.call.attempt_id, None)
            duration_ms = self._loop.clock.now() - connection.call_started_at_ms
            self._post(events.CallCompleted(connection.call.attempt_id, Outcome.DISCONNECTED, duration_ms))
        if connection.sock is not None:
            self._loop.close(connection.sock)
        self._connection_count -= 1
