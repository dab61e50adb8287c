"""The database's client: which connection carries which call, and how each call ends.

:mod:`.database_connection` makes one call, :mod:`.idle_connections` retains connections for the next ones and
:mod:`.database_codec` has the protocol.
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
from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait

IDLE_TIMEOUT_MS = 7000.0  # the database closes connections idle for 10 s; a call must not cross that


class DatabaseClient:
    """Makes the calls of runs; each that is not cancelled is completed exactly once.

    Without an address no call can be made, and each is completed as unreachable.
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
        self._calls: dict[str, DatabaseConnection] = {}  # by the id of the attempt that calls
        self._connection_count = 0

    def connection_count(self) -> int:
        """Return the number of connections."""
        return self._connection_count

    def set_address(self, address: Address | None) -> None:
        """Make new calls at a new address; those in flight end where they are."""
        if address != self._address:
            self._address = address
            for connection in self._idle:
                self._wake(connection)
            self._idle.clear()

    def start_call(self, call: effects.StartCall) -> None:
        """Make a call on an idle connection, else on a new one.

        A call that may not be retried never uses an idle connection: a reset there would leave open whether
        it ran, and :meth:`.DatabaseConnection.exchange` has it count as never run.
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
            connection.task = self._loop.spawn(self._steps(connection))
        else:
            self._loop.wake(connection.task)

    def cancel_call(self, attempt_id: str) -> None:
        """Cancel a call: its connection is closed, and the call is not completed."""
        connection = self._calls.pop(attempt_id, None)
        if connection is not None:
            connection.call = None
            self._wake(connection)

    def _close_longest_idle(self) -> None:
        """Close the longest idle connection in the loop's next round.

        It may be the one whose task completed its call and so started the next one; a task cannot be ended
        from within.
        """
        self._wake(self._idle.pop_longest_idle())

    def _wake(self, connection: DatabaseConnection) -> None:
        if connection.task is not None:
            self._loop.wake(connection.task)

    # A connection's task.

    def _steps(self, connection: DatabaseConnection) -> TaskSteps:
        try:
            while connection.call is not None:
                call = connection.call
                address = self._address
                result = yield from connection.exchange(call, address)
                if address != self._address:
                    connection.is_reusable = False
                if connection.call is not call:
                    return  # cancelled meanwhile
                self._complete_call(connection, call, result)
                if not connection.is_reusable or connection.sock is None:
                    return
                if connection.call is None:  # wait for the next call, for the peer's close or for the timeout
                    yield Wait(connection.sock.fileno(), READABLE, connection.idle_since_ms + IDLE_TIMEOUT_MS)
        finally:
            self._connection_closed(connection)

    def _complete_call(
        self, connection: DatabaseConnection, call: effects.StartCall, result: DatabaseReply | Failure
    ) -> None:
        """Post the end of a call, with its connection idle if it can be used again."""
        connection.call = None
        del self._calls[call.attempt_id]
        now_ms = self._loop.clock.now()
        if connection.is_reusable:
            self._idle.add(connection, now_ms)
            if self._idle.is_over_limit():
                self._close_longest_idle()
        body = result.body if isinstance(result, DatabaseReply) else b""
        if isinstance(result, Failure):
            logger.debug("database: call of {}: {}", call.attempt_id, result.reason)
        duration_ms = now_ms - connection.call_started_at_ms
        self._post(events.CallCompleted(call.attempt_id, outcome_of(result), duration_ms, body))

    def _connection_closed(self, connection: DatabaseConnection) -> None:
        """Forget a connection whose task ends."""
        self._idle.discard(connection)
        if connection.call is not None:  # ended by a fault of ours: the run must not wait for ever
            self._calls.pop(connection.call.attempt_id, None)
            duration_ms = self._loop.clock.now() - connection.call_started_at_ms
            self._post(events.CallCompleted(connection.call.attempt_id, Outcome.DISCONNECTED, duration_ms))
        if connection.sock is not None:
            self._loop.close(connection.sock)
        self._connection_count -= 1
