"""One connection to the formula database, which carries one call at a time."""

from __future__ import annotations

import socket
from collections.abc import Generator

from snowthread.address import Address
from snowthread.clients.database_codec import DatabaseReply, ResponseReader, encode
from snowthread.core import effects
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Task, Wait

READ_BYTES = 16 * 1024
PEEK_BYTES = 1

CallSteps = Generator[Wait, int, DatabaseReply | Failure]
"""The coroutine of one call; it returns the reply or the failure with which the call ended."""


class DatabaseConnection:
    """A connection to the database and the call that it carries, if any."""

    __slots__ = (
        "_loop",
        "_progress",
        "_reader",
        "_unsent",
        "call",
        "call_started_at_ms",
        "idle_since_ms",
        "is_reusable",
        "sock",
        "task",
    )

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self.call: effects.StartCall | None = None
        self.call_started_at_ms = 0.0
        self.idle_since_ms = 0.0
        self.is_reusable = False  # whether the last call left the connection usable for another call
        self.sock: socket.socket | None = None
        self.task: Task | None = None
        self._unsent = b""  # the rest of the request that was not written to the socket yet
        self._progress = Progress.NOT_CONNECTED  # the progress that a failure at this point would report
        self._reader = ResponseReader()

    def is_open_and_silent(self) -> bool:
        """Return whether the connection is open and neither a close nor surplus bytes wait to be read."""
        if self.sock is None:
            return False
        try:
            self.sock.recv(PEEK_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def exchange(self, call: effects.StartCall, address: Address | None) -> CallSteps:
        """Connect if necessary, make a call and return its reply or failure."""
        self.is_reusable = False
        if address is None:  # the address was removed after the call was accepted
            return Failure(Progress.NOT_CONNECTED, "no database address is configured")
        deadline_ms = self.call_started_at_ms + call.timeout_ms
        was_used = self.sock is not None
        if self.sock is None:
            attempt = ConnectAttempt(address, self._loop, deadline_ms)
            yield from attempt.run()
            if attempt.sock is None:
                return attempt.failure
            self.sock = attempt.sock
        now_ms = self._loop.clock.now()
        self._unsent = encode(call, f"{address.host}:{address.port}", deadline_ms - now_ms)
        # The database sometimes drops an idle connection and resets it at the next call. Such a call is
        # reported as never run, which a reset does not prove. It is safe only because
        # DatabaseClient.start_call makes no calls on idle connections except retryable ones.
        self._progress = Progress.NOT_CONNECTED if was_used else Progress.SENT
        self._reader = ResponseReader()
        if now_ms >= deadline_ms:
            return _timeout_failure()
        return (yield from self._send_and_receive(self.sock, call, deadline_ms))

    def _send_and_receive(
        self, sock: socket.socket, call: effects.StartCall, deadline_ms: float
    ) -> CallSteps:
        while self.call is call:
            failure = self._send(sock)
            if failure is not None:
                return failure
            mask = READABLE | WRITABLE if self._unsent else READABLE
            ready = yield Wait(sock.fileno(), mask, deadline_ms)
            timed_out = self._loop.clock.now() >= deadline_ms
            if self.call is not call or not (ready & (READABLE | HANGUP) or timed_out):
                continue
            # Read even after the deadline: the reply may have arrived.
            result = self._receive(sock, timed_out)
            if result is not None:
                return result
        return Failure(Progress.SENT, "call was cancelled")  # the client closes the connection, posts nothing

    def _send(self, sock: socket.socket) -> Failure | None:
        """Write as much of the request as the socket accepts; return a failure if the connection broke."""
        try:
            if self._unsent:
                self._unsent = self._unsent[sock.send(self._unsent) :]
        except BlockingIOError:
            pass
        except OSError as error:
            return Failure(self._progress, str(error))
        return None

    def _receive(self, sock: socket.socket, timed_out: bool) -> DatabaseReply | Failure | None:
        """Read once; return the reply or failure that ends the call, or None if the reply is incomplete."""
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return _timeout_failure() if timed_out else None
        except OSError as error:
            return Failure(self._progress, str(error))
        if not data:
            return Failure(self._progress, "connection closed by the database during the call")
        self._progress = Progress.REPLY_BEGUN
        reader = self._reader
        reader.feed(data)
        if reader.reply is not None:
            self.is_reusable = not (self._unsent or reader.has_surplus or reader.closes_connection)
            return reader.reply
        return None if reader.failure is None else Failure(self._progress, reader.failure)


def _timeout_failure() -> Failure:
    return Failure(Progress.SENT, "call timed out", timed_out=True)
