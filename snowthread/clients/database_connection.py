"""One connection to the database: connecting, and one call at a time on it."""

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
"""The coroutine of one call; it returns how the call ended."""


class DatabaseConnection:
    """A connection and the call that it carries, if any."""

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
        self.is_reusable = False  # whether the last call left it fit for another
        self.sock: socket.socket | None = None
        self.task: Task | None = None
        self._unsent = b""  # of the call's request
        self._progress = Progress.NOT_CONNECTED  # as which a failure would count now
        self._reader = ResponseReader()

    def has_nothing_to_read(self) -> bool:
        """Return whether the connection is open and silent: a close or surplus bytes may lie unread."""
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
        """Connect where needed, make a call and return how it ended."""
        self.is_reusable = False
        if address is None:  # removed between the call and its first step
            return Failure(Progress.NOT_CONNECTED, "no address")
        deadline_ms = self.call_started_at_ms + call.timeout_ms
        was_used = self.sock is not None
        if self.sock is None:
            attempt = ConnectAttempt(address, self._loop, deadline_ms)
            yield from attempt.steps()
            if attempt.sock is None:
                return attempt.failure
            self.sock = attempt.sock
        now_ms = self._loop.clock.now()
        self._unsent = encode(call, f"{address.host}:{address.port}", deadline_ms - now_ms)
        # Idle connections are at times dropped and reset at the next call, which then counts as never run.
        # That is no proof: it holds because DatabaseClient.start_call makes only retryable calls on them.
        self._progress = Progress.NOT_CONNECTED if was_used else Progress.SENT
        self._reader = ResponseReader()
        if now_ms >= deadline_ms:
            return _out_of_time()
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
            result = self._receive(sock, timed_out)  # also when time is up: the reply may be there
            if result is not None:
                return result
        return Failure(Progress.SENT, "cancelled")  # its connection is closed and nothing is posted

    def _send(self, sock: socket.socket) -> Failure | None:
        """Send what the socket takes."""
        try:
            if self._unsent:
                self._unsent = self._unsent[sock.send(self._unsent) :]
        except BlockingIOError:
            pass
        except OSError as error:
            return Failure(self._progress, str(error))
        return None

    def _receive(self, sock: socket.socket, timed_out: bool) -> DatabaseReply | Failure | None:
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
            self.is_reusable = not (self._unsent or reader.has_surplus or reader.closes)
            return reader.reply
        return None if reader.failure is None else Failure(self._progress, reader.failure)


def _out_of_time() -> Failure:
    return Failure(Progress.SENT, "out of time", timed_out=True)
