"""The runtime: one link, a JSON object a line both ways."""

from __future__ import annotations

import base64
import binascii
import math
import socket
from collections import deque
from collections.abc import Callable, Generator
from typing import Any

import orjson
from loguru import logger

from snowthread.address import Address
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, TaskSteps, Wait

LINE_MAX = 256 * 1024  # a longer line is no notice
READ_BYTES = 64 * 1024
QUEUE_MAX = 64  # commands unsent from which gauges are not asked for
CONNECT_MS = 1000.0
BACKOFF_MS = 20.0, 500.0  # first and longest time between two attempts to link
SILENT_MS, ALIVE_MS = 4000.0, 1000.0  # a runtime silent for so long is asked; the wait for its word
ALIVE_TAG = "alive"
FENCE_MS = 400.0  # the longest wait for the word that all commands were read, before the link moves

_END = {
    "done": Outcome.SUCCESS,
    "crashed": Outcome.FAILURE,
    "aborted": Outcome.CANCELLED,
    "stale": Outcome.NOT_STARTED,
}


def _pack(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _unpack(fields: dict[str, Any]) -> bytes:
    return base64.b64decode(fields.get("content") or "", validate=True)


def encode(command: effects.Command | effects.RequestLoadSample) -> bytes:
    """A command as a line."""
    fields: dict[str, Any]
    match command:
        case effects.StartRun():
            fields = {
                "action": "start",
                "uid": command.attempt_id,
                "lane": command.class_name,
                "content": _pack(command.body),
            }
        case effects.StopRun():
            fields = {"action": "stop", "uid": command.attempt_id}
        case effects.DeliverReply():
            fields = {"action": "give", "uid": command.attempt_id, "content": _pack(command.reply)}
        case effects.SkipCall():
            fields = {"action": "omit", "uid": command.attempt_id, "pos": command.notice_number}
        case effects.RequestLoadSample():
            fields = {"action": "gauges", "echo": command.tag}
    return orjson.dumps(fields) + b"\n"


def decode(line: bytes) -> tuple[int | None, events.Event | None]:
    """A notice's number, if it has one, and what it means; ValueError where it is none."""
    fields = orjson.loads(line)
    if not isinstance(fields, dict):
        raise ValueError("not an object")
    pos = fields.get("pos")
    if pos is not None and (not isinstance(pos, int) or pos < 0):
        raise ValueError("pos is not a number")
    try:
        return pos, _message(fields)
    except (KeyError, TypeError, binascii.Error) as error:
        raise ValueError(f"{fields.get('action')!r}: {error!r}") from None


def _message(f: dict[str, Any]) -> events.Event | None:
    match f.get("action"):
        case "ready":
            return events.RuntimeConnected(f["code"] == "fresh", max(0.0, float(f.get("wall_ms") or 0.0)))
        case "end":
            return events.RunCompleted(
                str(f["uid"]), _END[f["code"]], float(f.get("wall_ms") or 0.0), _unpack(f)
            )
        case "wants":
            if not isinstance(f["pos"], int):
                raise TypeError("a call without a number could never be left out")
            return events.CallRequested(str(f["uid"]), f["pos"], _unpack(f))
        case "load":
            return events.LoadSampleReceived(str(f["echo"]), tuple(float(value) for value in f["meters"]))
        case "nack":
            return events.CommandRejected(str(f.get("uid") or ""), f["code"] == "start")
    return None


class RuntimeClient:
    """Keeps the link, sends commands in order and passes each notice on once."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        post: Callable[[events.Event], None],
        pause: Callable[[], float] | None = None,
    ) -> None:
        self._pause = pause  # how long to wait before the next attempt to link, where not as usual
        self._loop, self._address, self._post = loop, address, post
        self._sock: socket.socket | None = None
        self._ready = False
        self._lines: deque[tuple[object, bytes]] = deque()
        self._sent = 0  # bytes of the first line that are written
        self._pos = 0  # the last notice read
        self._stood = False  # has any link been ready? Before that a silent runtime has not started
        self._heard = 0.0  # when anything came from it last
        self._asked = 0.0  # when it was asked whether it is there; 0: not since it was heard
        self._fences = 0
        self._fence = ""  # what the gauges will echo once all commands on the old link were read
        self._moving = False  # between two links of which the first had nothing left unread
        self._later: list[tuple[object, bytes]] = []  # commands for the link to come
        self._task = loop.spawn(self._steps())

    def send(self, command: effects.Command | effects.RequestLoadSample) -> None:
        """Write a command, or as much of it as goes."""
        if self._fence or (self._moving and self._sock is None):
            if not isinstance(command, effects.RequestLoadSample):
                self._later.append((command, encode(command)))
        elif self._sock is not None:
            if isinstance(command, effects.RequestLoadSample) and len(self._lines) >= QUEUE_MAX:
                return  # a runtime that does not read now needs no more questions
            self._put(command)

    def _put(self, command: effects.Command | effects.RequestLoadSample) -> None:
        self._lines.append((command, encode(command)))
        if len(self._lines) == 1 and not self._flush():
            self._loop.wake(self._task)

    def set_address(self, address: Address) -> None:
        """Link to a new address. What was written is known to have been read first: a start that got lost
        between two links could not be sent again, and its caller would wait in vain."""
        if address == self._address:
            return
        self._address = address
        if self._sock is not None and not self._fence:
            self._fences += 1
            fence = f"move-{self._fences}"
            self._put(effects.RequestLoadSample(fence))  # whatever waits: its echo says what was read
            self._fence = fence
        self._loop.wake(self._task)

    def _flush(self) -> bool:
        """Write what goes; False where something is left or the link is broken (the task finds out which)."""
        while self._lines and self._sock is not None:
            line = self._lines[0][1]
            try:
                self._sent += self._sock.send(line[self._sent :] if self._sent else line)
            except BlockingIOError:
                return False
            except OSError:
                return False
            if self._sent < len(line):
                return False
            self._lines.popleft()
            self._sent = 0
        return True

    def _steps(self) -> TaskSteps:
        pause = BACKOFF_MS[0]
        while True:
            attempt = ConnectAttempt(self._address, self._loop, self._loop.clock.now() + CONNECT_MS)
            yield from attempt.steps()
            if attempt.sock is not None:
                self._sock = attempt.sock
                failure = yield from self._linked(attempt.sock)
                if failure is None:
                    logger.bind(event="link.moved", peer="runtime").info(
                        "runtime: moves to {}:{}", *self._address
                    )
                    self._fence, self._moving, pause = "", True, BACKOFF_MS[0]
                    self._close()
                    continue
                if failure.progress is Progress.REPLY_BEGUN:
                    pause = BACKOFF_MS[0]
                    logger.bind(event="link.lost", peer="runtime").warning(
                        "runtime: link lost: {}", failure.reason
                    )
                self._lost(failure.timed_out)
            yield Wait(until=self._loop.clock.now() + (self._pause() if self._pause is not None else pause))
            pause = min(BACKOFF_MS[1], pause * 2.0)

    def _lost(self, timed_out: bool) -> None:
        """Say which commands were not begun: they may go on the next link; of others nothing is known. Where
        the link was given up for its silence, that is true of all that went since something was heard."""
        lines = list(self._lines)[1 if self._sent else 0 :] + self._later
        self._later = []
        self._close()
        self._fence = ""
        if self._ready or self._moving:
            self._ready = self._moving = False
            self._post(
                events.RuntimeDisconnected(
                    tuple(command for command, _ in lines), self._heard if timed_out else None
                )
            )

    def _close(self) -> None:
        sock, self._sock = self._sock, None
        if sock is not None:
            self._loop.close(sock)
        self._lines.clear()
        self._sent = 0

    def _linked(self, sock: socket.socket) -> Generator[Wait, int, Failure | None]:
        """One link, until it fails; REPLY_BEGUN says that it had stood. None: it may be left for another."""
        self._lines.append((None, orjson.dumps({"action": "sync", "pos": self._pos}) + b"\n"))
        self._lines.extend(self._later)
        self._later = []
        rest, moves_at, clock = b"", math.inf, self._loop.clock
        quiet_since, self._asked = clock.now(), 0.0
        while True:
            self._flush()
            if self._fence and moves_at == math.inf:
                moves_at = clock.now() + FENCE_MS
            # A link whose other end is gone without a word stands for ever. A runtime once started owes an
            # echo to each question.
            asks_at = self._asked + ALIVE_MS if self._asked else quiet_since + SILENT_MS
            until = min(moves_at, asks_at if self._stood else math.inf)
            got = yield Wait(sock.fileno(), READABLE | WRITABLE if self._lines else READABLE, until)
            due = clock.now() >= until
            if not got & (READABLE | HANGUP) and not due:
                continue
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                if clock.now() >= moves_at:
                    return self._failure("moved on, though not all may have been read", timed_out=True)
                if due and self._asked:
                    return self._failure("silent", timed_out=True)
                if due:
                    self._asked = clock.now()
                    self._put(effects.RequestLoadSample(ALIVE_TAG))
                continue
            except OSError as error:
                return self._failure(str(error))
            if not data:
                return self._failure("closed by the runtime")
            self._heard, quiet_since, self._asked = clock.now(), clock.now(), 0.0
            *lines, rest = (rest + data).split(b"\n")
            if len(rest) > LINE_MAX:
                return self._failure("a line without end")
            for line in lines:
                if line.strip():
                    try:
                        pos, message = decode(line)
                    except ValueError as error:
                        logger.bind(event="peer.nonsense", peer="runtime").warning(
                            "runtime: not a notice: {}", error
                        )
                        continue
                    self._take(pos, message)
                    if (
                        self._fence
                        and isinstance(message, events.LoadSampleReceived)
                        and message.tag == self._fence
                    ):
                        return None

    def _failure(self, reason: str, timed_out: bool = False) -> Failure:
        return Failure(Progress.REPLY_BEGUN if self._ready else Progress.SENT, reason, timed_out)

    def _take(self, pos: int | None, message: events.Event | None) -> None:
        """Pass a notice on. After a new link those not known to be read come again: each counts once."""
        if pos is not None:
            if pos <= self._pos:
                return
            self._pos = pos
        if isinstance(message, events.RuntimeConnected):
            self._ready = self._stood = True
            if self._moving:  # nothing was lost on the way: to the node it is the same link
                self._moving = False
                return
        if message is not None:
            self._post(message)
