"""The index: HTTP/1.1 calls, one at a time on a connection, connections kept for a while."""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable, Generator
from dataclasses import dataclass

import httptools

from snowthread.address import Address
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Task, TaskSteps, Wait

KEEP_MS = 7000.0  # the index closes what was idle for 10 s; a call must not cross that
IDLE_MOST = 12  # connections that rest
REST_MS = 30.0  # a connection rests so long before its next call: what comes behind a reply shows by then
READ_BYTES = 16 * 1024
HEAD_MAX = 8 * 1024  # bytes of the heads of one reply
REPLY_MAX = 64 * 1024  # bytes of its body, announced or come: a longer one is broken off


@dataclass(frozen=True, slots=True)
class DatabaseReply:
    """A whole reply."""

    status: int
    overloaded: bool
    body: bytes


def outcome_of(result: DatabaseReply | Failure) -> Outcome:
    """What a call's end means. Only what proves that nothing ran may be called so."""
    if isinstance(result, Failure):
        if result.progress is Progress.NOT_CONNECTED:
            return Outcome.UNREACHABLE
        return Outcome.TIMED_OUT if result.timed_out else Outcome.DISCONNECTED
    if result.status == 200:
        return Outcome.SUCCESS
    if result.overloaded and result.status in (503, 409):
        return Outcome.OVERLOADED if result.status == 503 else Outcome.NOT_STARTED
    return Outcome.TIMED_OUT if result.status == 504 else Outcome.FAILURE


def encode(call: effects.StartCall, host: str, budget: float) -> bytes:
    """A call's bytes."""
    return (
        f"POST /lookup HTTP/1.1\r\nHost: {host}\r\nX-Parent-Id: {call.attempt_id}\r\n"
        f"X-Budget-Ms: {max(1, round(budget))}\r\nContent-Length: {len(call.body)}\r\n\r\n"
    ).encode() + call.body


class ResponseReader:
    """Takes in one reply, whatever comes. A reply that is whole stands; what follows it only spoils the
    connection, for it would else be read as the reply to the next call."""

    def __init__(self) -> None:
        self.reply: DatabaseReply | None = None
        self.failure: str | None = None
        self.surplus = False
        self.closes = False
        self._parser = httptools.HttpResponseParser(self)
        self._head = self._status = 0
        self._shed = self._sized = False
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Take bytes; afterwards ``reply`` or ``failure`` may be there."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.reply is not None:
                self.surplus = True
            elif self.failure is None:
                self.failure = f"not a reply: {error}"
        if not self._status:
            self._head += len(data)
            if self._head > HEAD_MAX and self.failure is None:
                self.failure = "a head without end"

    # What the parser calls.

    def on_message_begin(self) -> None:
        if self.reply is not None:
            self.surplus = True
        self._status, self._shed, self._sized = 0, False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        match name.lower():
            case b"x-shed":
                self._shed = value == b"1"
            case b"content-length":
                self._sized = True
                if int(value) > REPLY_MAX:  # the parser has made sure of the digits
                    self.failure = "the reply is too long"
            case b"transfer-encoding":
                self._sized = True

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status >= 200 and not self._sized and self.failure is None:
            self.failure = "a reply of no length: a cut one could not be told from a whole one"
        self.closes = not self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if self.reply is None and self.failure is None:
            self._body += body
            if len(self._body) > REPLY_MAX:
                self.failure = "the reply is too long"

    def on_message_complete(self) -> None:
        if self.reply is None and self.failure is None and self._status >= 200:  # 1xx only go before it
            self.reply = DatabaseReply(self._status, self._shed, bytes(self._body))


class _Link:
    """One connection and the call it carries, if any."""

    __slots__ = ("began", "call", "rested_at", "sock", "task")

    def __init__(self) -> None:
        self.call: effects.StartCall | None = None
        self.began = 0.0
        self.rested_at = 0.0  # when its last call was over
        self.sock: socket.socket | None = None
        self.task: Task | None = None


class DatabaseClient:
    """Makes calls for runs; each that is not dropped comes back exactly once. Without an address there is
    nobody to call: no call can be made, and each comes back as never run."""

    def __init__(
        self, loop: EventLoop, address: Address | None, most: int, post: Callable[[events.Event], None]
    ) -> None:
        self._loop, self._address, self._most, self._post = loop, address, most, post
        self._idle: OrderedDict[_Link, None] = OrderedDict()  # the longest idle first
        self._calls: dict[str, _Link] = {}
        self._links = 0

    def connection_count(self) -> int:
        """How many connections there are."""
        return self._links

    def set_address(self, address: Address | None) -> None:
        """Make new calls at a new address; those in hand end where they are."""
        if address != self._address:
            self._address = address
            for link in self._idle:
                if link.task is not None:
                    self._loop.wake(link.task)
            self._idle.clear()

    def start_call(self, call: effects.StartCall) -> None:
        """Make a call on a connection that is free, else on a new one. One that may not be made again never
        goes over a used connection: a reset there would leave open whether it ran."""
        self.cancel_call(call.attempt_id)
        if self._address is None:
            self._post(events.CallCompleted(call.attempt_id, Outcome.UNREACHABLE, 0.0))
            return
        link = self._free() if call.retryable else None
        if link is None and self._links >= self._most:
            if not self._idle:
                self._post(events.CallCompleted(call.attempt_id, Outcome.UNREACHABLE, 0.0))
                return
            self._end_idle()
        link = link or _Link()
        link.call, link.began = call, self._loop.clock.now()
        self._calls[call.attempt_id] = link
        if link.task is None:
            self._links += 1
            link.task = self._loop.spawn(self._steps(link))
        else:
            self._loop.wake(link.task)

    def _end_idle(self) -> None:
        """Have the connection that has rested longest closed, in the loop's next round: it may be the one
        whose call has just ended and whose task brought us here, and a task can't be ended from within."""
        oldest, _ = self._idle.popitem(last=False)
        if oldest.task is not None:
            self._loop.wake(oldest.task)

    def _free(self) -> _Link | None:
        """The connection that has rested longest, if it still stands: a close or surplus bytes that lie
        unread must be seen before a call is written."""
        now = self._loop.clock.now()
        while self._idle:
            link = next(iter(self._idle))
            if now - link.rested_at < REST_MS:
                return None
            del self._idle[link]
            try:
                if link.sock is not None:
                    link.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return link
            except OSError:
                pass
        return None

    def cancel_call(self, uid: str) -> None:
        """Give a call up: its connection closes, and nothing comes back."""
        link = self._calls.pop(uid, None)
        if link is not None and link.task is not None:
            link.call = None
            self._loop.wake(link.task)

    def _steps(self, link: _Link) -> TaskSteps:
        try:
            while link.call is not None:
                call = link.call
                result, keeps = yield from self._exchange(link, call)
                if link.call is not call:
                    return  # given up meanwhile
                link.call = None
                del self._calls[call.attempt_id]
                now = self._loop.clock.now()
                if keeps:
                    link.rested_at = now
                    self._idle[link] = None
                    if len(self._idle) > IDLE_MOST:
                        self._end_idle()
                body = result.body if isinstance(result, DatabaseReply) else b""
                self._post(events.CallCompleted(call.attempt_id, outcome_of(result), now - link.began, body))
                if not keeps or link.sock is None:
                    return
                if link.call is None:  # wait for the next call, for its end or for its time
                    yield Wait(link.sock.fileno(), READABLE, now + KEEP_MS)
        finally:
            self._idle.pop(link, None)
            if link.call is not None:  # ended by a fault of ours: the run must not wait for ever
                self._calls.pop(link.call.attempt_id, None)
                self._post(
                    events.CallCompleted(
                        link.call.attempt_id, Outcome.DISCONNECTED, self._loop.clock.now() - link.began
                    )
                )
            if link.sock is not None:
                self._loop.close(link.sock)
            self._links -= 1

    def _exchange(
        self, link: _Link, call: effects.StartCall
    ) -> Generator[Wait, int, tuple[DatabaseReply | Failure, bool]]:
        """One call: how it ended, and whether its connection may be used again."""
        clock, until, address = self._loop.clock, link.began + call.timeout_ms, self._address
        if address is None:  # taken away between the call and its first step
            return Failure(Progress.NOT_CONNECTED, "no address"), False
        used = link.sock is not None
        if link.sock is None:
            attempt = ConnectAttempt(address, self._loop, until)
            yield from attempt.steps()
            if attempt.sock is None:
                return attempt.failure, False
            link.sock = attempt.sock
        sock, reading = link.sock, ResponseReader()
        out = encode(call, f"{address.host}:{address.port}", until - clock.now())
        # Idle connections are at times forgotten and reset at the next call, which then never ran.
        progress = Progress.NOT_CONNECTED if used else Progress.SENT
        if clock.now() >= until:
            return Failure(Progress.SENT, "out of time", timed_out=True), False
        while link.call is call:
            try:
                if out:
                    out = out[sock.send(out) :]
            except BlockingIOError:
                pass
            except OSError as error:
                return Failure(progress, str(error)), False
            got = yield Wait(sock.fileno(), READABLE | WRITABLE if out else READABLE, until)
            timed_out = clock.now() >= until
            if link.call is not call or not (got & (READABLE | HANGUP) or timed_out):
                continue
            try:
                data = sock.recv(READ_BYTES)  # also when time is up: the loop may be late, the reply there
            except BlockingIOError:
                if timed_out:
                    return Failure(Progress.SENT, "out of time", timed_out=True), False
                continue
            except OSError as error:
                return Failure(progress, str(error)), False
            if not data:
                return Failure(progress, "closed during the call"), False
            progress = Progress.REPLY_BEGUN
            reading.feed(data)
            if reading.reply is not None:
                keeps = not (out or reading.surplus or reading.closes) and address == self._address
                return reading.reply, keeps
            if reading.failure is not None:
                return Failure(progress, reading.failure), False
        return Failure(progress, "given up"), False
