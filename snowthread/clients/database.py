"""The database's client: one HTTP/1.1 call at a time on a connection, connections kept for a while.

:mod:`.database_codec` has the protocol.
"""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable, Generator

from loguru import logger

from snowthread.address import Address
from snowthread.admission.settings import Outcome
from snowthread.clients.database_codec import DatabaseReply, ResponseReader, encode, outcome_of
from snowthread.core import effects, events
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Task, TaskSteps, Wait

IDLE_TIMEOUT_MS = 7000.0  # the database closes connections idle for 10 s; a call must not cross that
MAX_IDLE_CONNECTIONS = 12
MIN_IDLE_MS = 30.0  # before a connection's next call: surplus bytes behind a reply show by then
READ_BYTES = 16 * 1024


class _Connection:
    """One connection and the call that it carries, if any."""

    __slots__ = (
        "_progress",
        "_reader",
        "call",
        "call_started_at_ms",
        "idle_since_ms",
        "is_reusable",
        "sock",
        "task",
        "unsent",
    )

    def __init__(self) -> None:
        self.call: effects.StartCall | None = None
        self.call_started_at_ms = 0.0
        self.idle_since_ms = 0.0
        self.is_reusable = False  # whether the last call left it fit for another
        self.sock: socket.socket | None = None
        self.task: Task | None = None
        self.unsent = b""  # of the call's request
        self._progress = Progress.NOT_CONNECTED  # what a failure would prove now
        self._reader = ResponseReader()

    def begin(self, request: bytes, progress: Progress) -> None:
        """Start to send a request; ``progress`` is what a failure before the reply proves."""
        self.unsent, self._progress = request, progress
        self._reader = ResponseReader()

    def send(self, sock: socket.socket) -> Failure | None:
        """Send what the socket takes."""
        try:
            if self.unsent:
                self.unsent = self.unsent[sock.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError as error:
            return Failure(self._progress, str(error))
        return None

    def receive(self, sock: socket.socket, timed_out: bool) -> DatabaseReply | Failure | None:
        """Read once; return the end of the call, or None where more has to come."""
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return _out_of_time() if timed_out else None
        except OSError as error:
            return Failure(self._progress, str(error))
        if not data:
            return Failure(self._progress, "closed during the call")
        self._progress = Progress.REPLY_BEGUN
        reader = self._reader
        reader.feed(data)
        if reader.reply is not None:
            self.is_reusable = not (self.unsent or reader.has_surplus or reader.closes)
            return reader.reply
        return None if reader.failure is None else Failure(self._progress, reader.failure)


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
        self._loop, self._address, self._max_connections, self._post = loop, address, max_connections, post
        self._idle: OrderedDict[_Connection, None] = OrderedDict()  # the longest idle first
        self._calls: dict[str, _Connection] = {}  # by the id of the attempt that calls
        self._connection_count = 0

    def connection_count(self) -> int:
        """Return the number of connections."""
        return self._connection_count

    def set_address(self, address: Address | None) -> None:
        """Make new calls at a new address; those in flight end where they are."""
        if address != self._address:
            self._address = address
            for connection in self._idle:
                if connection.task is not None:
                    self._loop.wake(connection.task)
            self._idle.clear()

    def start_call(self, call: effects.StartCall) -> None:
        """Make a call on an idle connection, else on a new one.

        A call that may not be retried never uses an idle connection: a reset there would leave open whether
        it ran.
        """
        self.cancel_call(call.attempt_id)
        if self._address is None:
            self._post(events.CallCompleted(call.attempt_id, Outcome.UNREACHABLE, 0.0))
            return
        connection = self._take_idle() if call.retryable else None
        if connection is None and self._connection_count >= self._max_connections:
            if not self._idle:
                self._post(events.CallCompleted(call.attempt_id, Outcome.UNREACHABLE, 0.0))
                return
            self._close_longest_idle()
        connection = connection or _Connection()
        connection.call, connection.call_started_at_ms = call, self._loop.clock.now()
        self._calls[call.attempt_id] = connection
        if connection.task is None:
            self._connection_count += 1
            connection.task = self._loop.spawn(self._steps(connection))
        else:
            self._loop.wake(connection.task)

    def cancel_call(self, attempt_id: str) -> None:
        """Cancel a call: its connection is closed, and the call is not completed."""
        connection = self._calls.pop(attempt_id, None)
        if connection is not None and connection.task is not None:
            connection.call = None
            self._loop.wake(connection.task)

    def _close_longest_idle(self) -> None:
        """Close the longest idle connection in the loop's next round.

        It may be the one whose task completed its call and so brought us here; a task cannot be ended from
        within.
        """
        connection, _ = self._idle.popitem(last=False)
        if connection.task is not None:
            self._loop.wake(connection.task)

    def _take_idle(self) -> _Connection | None:
        """Return the longest idle connection that is still open.

        A close or surplus bytes that lie unread must be seen before a call is sent.
        """
        now_ms = self._loop.clock.now()
        while self._idle:
            connection = next(iter(self._idle))
            if now_ms - connection.idle_since_ms < MIN_IDLE_MS:
                return None
            del self._idle[connection]
            try:
                if connection.sock is not None:
                    connection.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return connection
            except OSError:
                pass
        return None

    # A connection's task.

    def _steps(self, connection: _Connection) -> TaskSteps:
        try:
            while connection.call is not None:
                call = connection.call
                result = yield from self._exchange(connection, call)
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
        self, connection: _Connection, call: effects.StartCall, result: DatabaseReply | Failure
    ) -> None:
        """Post the end of a call, with its connection idle if it can be used again."""
        connection.call = None
        del self._calls[call.attempt_id]
        now_ms = self._loop.clock.now()
        if connection.is_reusable:
            connection.idle_since_ms = now_ms
            self._idle[connection] = None
            if len(self._idle) > MAX_IDLE_CONNECTIONS:
                self._close_longest_idle()
        body = result.body if isinstance(result, DatabaseReply) else b""
        if isinstance(result, Failure):
            logger.debug("database: call of {}: {}", call.attempt_id, result.reason)
        duration_ms = now_ms - connection.call_started_at_ms
        self._post(events.CallCompleted(call.attempt_id, outcome_of(result), duration_ms, body))

    def _connection_closed(self, connection: _Connection) -> None:
        """Forget a connection whose task ends."""
        self._idle.pop(connection, None)
        if connection.call is not None:  # ended by a fault of ours: the run must not wait for ever
            self._calls.pop(connection.call.attempt_id, None)
            duration_ms = self._loop.clock.now() - connection.call_started_at_ms
            self._post(events.CallCompleted(connection.call.attempt_id, Outcome.DISCONNECTED, duration_ms))
        if connection.sock is not None:
            self._loop.close(connection.sock)
        self._connection_count -= 1

    # One call.

    def _exchange(
        self, connection: _Connection, call: effects.StartCall
    ) -> Generator[Wait, int, DatabaseReply | Failure]:
        """Connect where needed, make a call and return how it ended."""
        connection.is_reusable = False
        deadline_ms, address = connection.call_started_at_ms + call.timeout_ms, self._address
        if address is None:  # removed between the call and its first step
            return Failure(Progress.NOT_CONNECTED, "no address")
        was_used = connection.sock is not None
        if connection.sock is None:
            attempt = ConnectAttempt(address, self._loop, deadline_ms)
            yield from attempt.steps()
            if attempt.sock is None:
                return attempt.failure
            connection.sock = attempt.sock
        now_ms = self._loop.clock.now()
        # Idle connections are at times dropped and reset at the next call, which then never ran.
        connection.begin(
            encode(call, f"{address.host}:{address.port}", deadline_ms - now_ms),
            Progress.NOT_CONNECTED if was_used else Progress.SENT,
        )
        if now_ms >= deadline_ms:
            return _out_of_time()
        result = yield from self._send_and_receive(connection, connection.sock, call, deadline_ms)
        if address != self._address:
            connection.is_reusable = False
        return result

    def _send_and_receive(
        self, connection: _Connection, sock: socket.socket, call: effects.StartCall, deadline_ms: float
    ) -> Generator[Wait, int, DatabaseReply | Failure]:
        while connection.call is call:
            failure = connection.send(sock)
            if failure is not None:
                return failure
            mask = READABLE | WRITABLE if connection.unsent else READABLE
            ready = yield Wait(sock.fileno(), mask, deadline_ms)
            timed_out = self._loop.clock.now() >= deadline_ms
            if connection.call is not call or not (ready & (READABLE | HANGUP) or timed_out):
                continue
            result = connection.receive(sock, timed_out)  # also when time is up: the reply may be there
            if result is not None:
                return result
        return Failure(Progress.SENT, "cancelled")  # its connection is closed and nothing is posted


def _out_of_time() -> Failure:
    return Failure(Progress.SENT, "out of time", timed_out=True)
