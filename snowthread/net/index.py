"""The index: HTTP/1.1 calls, one at a time on a connection, connections kept for a while."""

from __future__ import annotations

import socket
from collections.abc import Callable, Generator
from dataclasses import dataclass

import h11

from clovertack.interface import Outcome
from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.net.address import Address, Connecting
from snowthread.net.attempt import Failure, Progress
from snowthread.net.loop import BROKEN, IN, OUT, Loop, Steps, Task, Wait

KEEP_MS = 7000.0  # the index closes what was idle for 10 s; a call must not cross that
READ_BYTES = 64 * 1024
REPLY_MAX = 1024 * 1024  # a longer reply is broken off


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole reply."""

    status: int
    shed: bool
    body: bytes


def outcome_of(result: Reply | Failure) -> Outcome:
    """What a call's end means. Only what proves that nothing ran may be called so."""
    if isinstance(result, Failure):
        if result.progress is Progress.NOT_CONNECTED:
            return Outcome.UNREACHABLE
        return Outcome.TIMED_OUT if result.timed_out else Outcome.BROKEN
    if result.status == 200:
        return Outcome.SUCCESS
    if result.shed and result.status in (503, 409):
        return Outcome.OVERLOADED if result.status == 503 else Outcome.VOID
    return Outcome.TIMED_OUT if result.status == 504 else Outcome.FAILURE


class _Link:
    """One connection and the call it carries, if any."""

    def __init__(self) -> None:
        self.call: fx.MakeCall | None = None
        self.began = 0.0
        self.sock: socket.socket | None = None
        self.http = h11.Connection(our_role=h11.CLIENT)
        self.task: Task | None = None


class Index:
    """Makes calls for runs; each that is not dropped comes back exactly once."""

    def __init__(self, loop: Loop, address: Address, most: int, post: Callable[[ev.Message], None]) -> None:
        self._loop, self._address, self._most, self._post = loop, address, most, post
        self._host = f"{address.host}:{address.port}"
        self._idle: list[_Link] = []
        self._calls: dict[str, _Link] = {}
        self._links = 0

    def call(self, call: fx.MakeCall) -> None:
        """Make a call on a connection that is free, else on a new one."""
        self.drop(call.uid)
        link = self._free()
        if link is None and self._links >= self._most:
            self._post(ev.CallBack(call.uid, Outcome.UNREACHABLE, 0.0))
            return
        link = link or _Link()
        link.call, link.began = call, self._loop.clock.now()
        self._calls[call.uid] = link
        if link.task is None:
            self._links += 1
            link.task = self._loop.spawn(self._steps(link))
        else:
            self._loop.wake(link.task)

    def _free(self) -> _Link | None:
        """A connection that waits and has not been closed: one that breaks during a call proves nothing, so a
        close that lies unread must be seen before the call is written."""
        while self._idle:
            link = self._idle.pop()
            try:
                if link.sock is not None:
                    link.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return link
            except OSError:
                pass
        return None

    def drop(self, uid: str) -> None:
        """Give a call up: its connection closes, and nothing comes back."""
        link = self._calls.pop(uid, None)
        if link is not None and link.task is not None:
            link.call = None
            self._loop.wake(link.task)

    def _steps(self, link: _Link) -> Steps:
        try:
            while link.call is not None:
                call = link.call
                result = yield from self._exchange(link, call)
                if link.call is not call:
                    return  # given up meanwhile
                link.call = None
                del self._calls[call.uid]
                keeps = (link.sock is not None and isinstance(result, Reply)
                         and link.http.our_state is h11.DONE and link.http.their_state is h11.DONE)
                body = result.body if isinstance(result, Reply) else b""
                if keeps:
                    link.http.start_next_cycle()
                    self._idle.append(link)
                took = self._loop.clock.now() - link.began
                self._post(ev.CallBack(call.uid, outcome_of(result), took, body))
                if not keeps or link.sock is None:
                    return
                if link.call is None:  # wait for the next call, for its end or for its time
                    yield Wait(link.sock.fileno(), IN, self._loop.clock.now() + KEEP_MS)
        finally:
            if link in self._idle:
                self._idle.remove(link)
            if link.call is not None:  # ended by a fault of ours: the run must not wait for ever
                self._calls.pop(link.call.uid, None)
                self._post(ev.CallBack(link.call.uid, Outcome.BROKEN, self._loop.clock.now() - link.began))
            if link.sock is not None:
                self._loop.close(link.sock)
            self._links -= 1

    def _exchange(self, link: _Link, call: fx.MakeCall) -> Generator[Wait, int, Reply | Failure]:
        clock, until = self._loop.clock, link.began + call.budget
        if link.sock is None:
            attempt = Connecting(self._address, self._loop, until)
            yield from attempt.steps()
            if attempt.sock is None:
                return attempt.failure
            link.sock = attempt.sock
        sock, http = link.sock, link.http
        head = h11.Request(method="POST", target="/lookup", headers=[
            ("Host", self._host), ("X-Parent-Id", call.uid),
            ("X-Budget-Ms", str(max(1, round(until - clock.now())))),
            ("Content-Length", str(len(call.body)))])
        out = (http.send(head) or b"") + (http.send(h11.Data(call.body)) or b"")
        out += http.send(h11.EndOfMessage()) or b""
        progress = Progress.SENT
        status, shed, body = 0, False, bytearray()
        while link.call is call:
            if clock.now() >= until:
                return Failure(progress, "out of time", timed_out=True)
            try:
                if out:
                    out = out[sock.send(out):]
            except BlockingIOError:
                pass
            except OSError as error:
                return Failure(progress, str(error))
            got = yield Wait(sock.fileno(), IN | OUT if out else IN, until)
            if not got & (IN | BROKEN):
                continue
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                return Failure(progress, str(error))
            try:
                http.receive_data(data)
                while True:
                    event = http.next_event()
                    if event in (h11.NEED_DATA, h11.PAUSED):
                        break
                    if isinstance(event, h11.Response):
                        progress = Progress.REPLY_BEGUN
                        status = event.status_code
                        shed = any(name == b"x-shed" and value == b"1" for name, value in event.headers)
                    elif isinstance(event, h11.Data):
                        body += event.data
                        if len(body) > REPLY_MAX:
                            return Failure(progress, "the reply is too long")
                    elif isinstance(event, h11.EndOfMessage):
                        return Reply(status, shed, bytes(body))
                    elif isinstance(event, h11.ConnectionClosed):
                        return Failure(progress, "closed during the call")
            except h11.RemoteProtocolError as error:
                return Failure(progress, str(error))
        return Failure(progress, "given up")
