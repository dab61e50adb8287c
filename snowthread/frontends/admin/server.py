"""The operators' address: accepts callers, answers one call each and closes."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from http import HTTPStatus

from loguru import logger

from snowthread.address import Address
from snowthread.frontends.admin.codec import CONTINUE, AdminRequest, RequestError, RequestReader, encode
from snowthread.net.loop import READABLE, WRITABLE, EventLoop, Task, TaskSteps, Wait

CALLERS_MOST = 12  # at once, within the descriptors set aside; past it who has waited longest makes room
CALL_MS = 10_000.0  # the longest wait for the rest of a call: some stop for seconds and go on
REPLY_MS = 1_000.0  # the longest wait for a caller to take its reply and close
READ_BYTES = 4 * 1024
BACKLOG = 64
ACCEPT_PAUSE_MS = 10.0  # how long accepting rests when a connection can't be taken

Answer = Callable[[], tuple[HTTPStatus, str]]
"""Does what a call asks for and says how it went."""


class _Caller:
    """One connection and the coroutine that serves it."""

    __slots__ = ("sock", "task")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.task: Task | None = None


class AdminServer:
    """Answers calls, each known by its path and its method."""

    def __init__(self, loop: EventLoop, address: Address, calls: Mapping[str, tuple[str, Answer]]) -> None:
        """``calls``: the method wanted and what answers, by path."""
        self._loop, self._calls = loop, calls
        self._listener = address.open(socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._listener.bind(address)
        except OSError as error:  # told apart from the balancers' own address
            self._listener.close()
            raise OSError(error.errno, error.strerror, f"{address.host}:{address.port}") from None
        self._listener.listen(BACKLOG)
        self._callers: dict[_Caller, None] = {}  # who has waited longest first
        loop.spawn(self._accept())

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    def _accept(self) -> TaskSteps:
        while True:
            yield Wait(self._listener.fileno(), READABLE)
            try:
                sock, _address = self._listener.accept()
            except OSError as error:  # that caller is gone already, or no descriptor is left for now
                logger.debug("operators: accept: {}", error)
                yield Wait(until=self._loop.clock.now() + ACCEPT_PAUSE_MS)
                continue
            sock.setblocking(False)
            if len(self._callers) >= CALLERS_MOST:
                self._close(next(iter(self._callers)))
            caller = _Caller(sock)
            self._callers[caller] = None
            caller.task = self._loop.spawn(self._steps(caller))

    def _close(self, caller: _Caller) -> None:
        """Close now, wherever it stands; one that was never resumed has no way out of its own to run."""
        if caller in self._callers:
            del self._callers[caller]
            self._loop.close(caller.sock)
            if caller.task is not None:
                self._loop.end_task(caller.task)

    def _steps(self, caller: _Caller) -> TaskSteps:
        try:
            yield from self._call(caller.sock)
        except OSError as error:
            logger.debug("operators: {}", error)
        finally:
            if caller in self._callers:
                del self._callers[caller]
                self._loop.close(caller.sock)

    def _call(self, sock: socket.socket) -> TaskSteps:
        """One call, from its first byte to the caller's close."""
        reading, until, told = RequestReader(), self._loop.clock.now() + CALL_MS, False
        while reading.result is None:
            if not (yield Wait(sock.fileno(), READABLE, until)):
                return
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                return
            reading.feed(data)
            if reading.expects and reading.result is None and not told:
                told = True
                sock.send(CONTINUE)
        out, until = self._answer(reading.result), self._loop.clock.now() + REPLY_MS
        while out:
            try:
                out = out[sock.send(out) :]
            except BlockingIOError:
                if not (yield Wait(sock.fileno(), WRITABLE, until)):
                    return
        # Closed in the open: bytes left unread at a close would reset the connection, and the reply with it.
        sock.shutdown(socket.SHUT_WR)
        while (yield Wait(sock.fileno(), READABLE, until)) and sock.recv(READ_BYTES):
            pass

    def _answer(self, result: AdminRequest | RequestError) -> bytes:
        if isinstance(result, RequestError):
            return encode(result.status, result.reason)
        known = self._calls.get(result.path)
        if known is None:
            return encode(HTTPStatus.NOT_FOUND, f"no such call; there are {', '.join(self._calls)}")
        method, answer = known
        if result.method != method:
            return encode(HTTPStatus.METHOD_NOT_ALLOWED, f"{method} is wanted", (("Allow", method),))
        return encode(*answer())
