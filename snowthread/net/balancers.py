"""The balancers: MessagePack-RPC over TCP. The codec, then the connections."""

from __future__ import annotations

import errno
import math
import re
import socket
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgpack
from loguru import logger

from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.net.address import Address
from snowthread.net.loop import BROKEN, IN, OUT, Loop, Steps, Timer, Wait

READ_BYTES = 64 * 1024
MESSAGE_MAX = 16 * 1024  # bytes of one message: a body, fields and room to spare
BODY_MAX = 2 * 1024
WORD_MAX = 256  # characters of a key: each is kept for its window
TIME_MAX_MS = 600_000.0  # a wait or an age beyond this is a mistake; ages are learned from
OPEN_MAX = 32  # requests open on one connection
UNSENT_PAUSE, UNSENT_MAX = 32 * 1024, 512 * 1024  # bytes not taken by a peer: read no more; give it up
BACKLOG = 1024
FULL_PAUSE_MS = 50.0  # how long accepting rests when no descriptor is left
PART_MS = 3000.0  # a peer that does not close so long after its farewell is closed

_ID = re.compile(r"[0-9a-f]{16}")


@dataclass(frozen=True, slots=True)
class Bad:
    """A message that can't be served; answered where its number could be read."""

    number: int | None
    reason: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """The peer stopped waiting for this message."""

    number: int


@dataclass(frozen=True, slots=True)
class Check:
    """A health check."""

    number: int


@dataclass(frozen=True, slots=True)
class Asked:
    """A request whose fields were read and checked."""

    number: int
    class_name: str
    body: bytes
    fields: Mapping[str, str]


Read = Bad | Cancel | Check | Asked


def decode(message: object) -> Read:
    """What a message says."""
    if not isinstance(message, list | tuple) or len(message) < 2:
        return Bad(None, "not a message")
    if message[0] == 2 and len(message) == 3 and message[1] == "cancel":
        numbers = message[2]
        if isinstance(numbers, list) and len(numbers) == 1 and _is_number(numbers[0]):
            return Cancel(numbers[0])
        return Bad(None, "cancel of what?")
    if message[0] != 0 or not _is_number(message[1]):
        return Bad(None, "neither a request nor a cancel")
    number = int(message[1])
    if len(message) != 4 or not isinstance(message[2], str) or not isinstance(message[3], list):
        return Bad(number, "a request has a number, a method and its arguments")
    method, arguments = message[2], message[3]
    if method == "health":
        return Check(number)
    if len(arguments) != 2:
        return Bad(number, "fields and a body are wanted")
    fields, body = arguments
    if not isinstance(body, bytes) or len(body) > BODY_MAX:
        return Bad(number, "the body is no binary or too long")
    if not isinstance(fields, dict) or not all(
            isinstance(k, str) and isinstance(v, str) for k, v in fields.items()):
        return Bad(number, "the fields are not a map of strings")
    return Asked(number, method, body, fields)


def request(asked: Asked, ticket: ev.Ticket, now: float) -> ev.RequestRead | Bad:
    """The fields' meaning, or which of them is wrong."""
    f = asked.fields
    try:
        uid = f["id"]
        if not _ID.fullmatch(uid) or any(len(f.get(name, "")) > WORD_MAX for name in ("once", "key")):
            raise ValueError("id, once or key is no such word")
        at, wait, kb, rank = (_figure(f, name) for name in ("at", "wait", "kb", "rank"))
        if not (0.0 <= wait <= TIME_MAX_MS and 0.0 < kb < 2000.0 and 0.0 <= rank < 1.0):
            raise ValueError("wait, kb or rank out of range")
        if at < now - TIME_MAX_MS:
            raise ValueError("at lies too far back")
        caller = int(f["from"])
    except (KeyError, ValueError) as error:
        return Bad(asked.number, f"field {error}")
    return ev.RequestRead(ticket=ticket, uid=uid, class_name=asked.class_name, body=asked.body, at=at,
                          wait=wait, caller=caller, kb=kb, rank=rank, once=f.get("once"),
                          key=f.get("key", ""))


def _is_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**32


def _figure(fields: Mapping[str, str], name: str) -> float:
    value = float(fields[name])
    if not math.isfinite(value):
        raise ValueError(name)
    return value


def encode(number: int, answer: fx.Served | fx.Refused | fx.Failed | fx.Healthy, say: float | None) -> bytes:
    """An answer's bytes."""
    fields: dict[str, str] = {} if say is None else {"say": f"{say:.6g}"}
    error: list[Any] | None = None
    result: list[Any] | None = None
    match answer:
        case fx.Served():
            result = [answer.result, fields]
        case fx.Healthy():
            result = [answer.good, fields]
        case fx.Refused():
            if answer.after > 0.0:
                fields["after"] = str(math.ceil(answer.after))
            if answer.last:
                fields["last"] = "1"
            error = ["Throttled", fields]
        case fx.Failed():
            error = ["Failed", fields]
    packed: bytes = msgpack.packb([1, number, error, result])
    return packed


FAREWELL: bytes = msgpack.packb([2, "farewell", []])


def number_of(start: bytes) -> int | None:
    """The number of a request whose rest can't be read."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(start[:16])
    try:
        if unpacker.read_array_header() == 4 and unpacker.unpack() == 0:
            number = unpacker.unpack()
            return number if _is_number(number) else None
    except (ValueError, msgpack.UnpackException):
        pass
    return None


class Connection:
    """One balancer's connection: what is open on it and what it has not taken yet."""

    def __init__(self, hub: Balancers, sock: socket.socket, number: int) -> None:
        self.hub, self.sock, self.number = hub, sock, number
        self.open: set[int] = set()
        self.out = bytearray()
        self.parting = False  # farewell was said
        self.broken = False
        self.ending = False  # what comes means nothing any more; what is open is answered, then it closes
        self._unpacker = self._new_unpacker()
        self._begun = b""  # what is there of the message that is being read
        self._read_to = 0  # bytes of the stream read as whole messages
        self.task = hub.loop.spawn(self._steps())

    @staticmethod
    def _new_unpacker() -> msgpack.Unpacker:
        # Bytes that are no text must not end the stream: they only spoil their own message. The small first
        # buffer is one of hundreds.
        return msgpack.Unpacker(max_buffer_size=MESSAGE_MAX + READ_BYTES, read_size=4096,
                                unicode_errors="surrogateescape")

    @property
    def idle(self) -> bool:
        """Nothing is open and nothing unsent."""
        return not self.open and not self.out

    def write(self, data: bytes) -> None:
        """Send what goes and keep the rest."""
        if self.broken:
            return
        if not self.out:
            try:
                data = data[self.sock.send(data):]
            except BlockingIOError:
                pass
            except OSError:
                self._break()
                return
        if data:
            self.out += data
            if len(self.out) > UNSENT_MAX:
                self._break()
            else:
                self.hub.loop.wake(self.task)

    def say_farewell(self) -> None:
        """Ask the peer to send nothing new here and to close."""
        if not self.parting:
            self.parting = True
            self.write(FAREWELL)

    def end(self) -> None:
        """Close now."""
        self._break()

    def _break(self) -> None:
        self.broken = True
        self.hub.loop.wake(self.task)

    def _steps(self) -> Steps:
        try:
            while not (self.broken or (self.ending and self.idle)):
                reads = len(self.out) < UNSENT_PAUSE
                mask = (IN if reads else 0) | (OUT if self.out else 0)
                got = yield Wait(self.sock.fileno(), mask)
                if got & (OUT | BROKEN) and self.out:
                    self._flush()
                    if not self.out:
                        self.hub.touched(self)
                if got & (IN | BROKEN) and not self._read():
                    return
        except OSError as error:
            logger.debug("balancer connection: {}", error)
        finally:
            self.broken = True
            self.hub.closed(self)

    def _flush(self) -> None:
        try:
            del self.out[:self.sock.send(self.out)]
        except BlockingIOError:
            pass

    def _read(self) -> bool:
        """Take what came; False at its end."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        if not data:
            return False
        if not self.ending:
            self.feed(data)
        return True

    def feed(self, data: bytes) -> None:
        """Take bytes: whole messages out of them, in order."""
        begun = self._begun + data
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                end = self._unpacker.tell()
                begun = begun[end - self._read_to:]
                self._read_to = end
                self._take(decode(message))
                if self.ending or self.broken:
                    return
            if len(begun) > MESSAGE_MAX:
                raise ValueError("a message without end")
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            self._take(Bad(number_of(begun), f"can't be read: {error}"))
            self.ending = True  # where the next message starts is not known
            return
        self._begun = begun

    def _take(self, read: Read) -> None:
        hub = self.hub
        if isinstance(read, Cancel):
            if read.number in self.open:
                self.open.discard(read.number)
                hub.post(ev.CallerLeft((self.number, read.number)))
                hub.touched(self)
            return
        if isinstance(read, Asked | Check) and read.number in self.open:
            read = Bad(None, "a number that is open already")
        if isinstance(read, Asked):
            if len(self.open) >= OPEN_MAX:
                read = Bad(read.number, "too many requests open on one connection")
            else:
                made = request(read, (self.number, read.number), hub.loop.clock.now())
                if isinstance(made, ev.RequestRead):
                    self.open.add(read.number)
                    hub.touched(self)
                    hub.post(made)
                    return
                read = made
        if isinstance(read, Check):
            self.open.add(read.number)
            hub.post(ev.HealthAsked((self.number, read.number)))
        elif isinstance(read, Bad):
            logger.debug("balancer connection {}: {}", self.number, read.reason)
            if read.number is None:
                self.ending = True
            elif read.number not in self.open:
                self.write(encode(read.number, fx.Failed(), None))


class Balancers:
    """Accepts connections, answers on them and parts with them."""

    def __init__(self, loop: Loop, address: Address, most: int, post: Callable[[ev.Message], None]) -> None:
        self.loop, self.post, self._most = loop, post, most
        self._listener: socket.socket | None = address.open(socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._connections: dict[int, Connection] = {}
        self._idle: OrderedDict[int, float] = OrderedDict()  # since when, the longest first
        self._idle_after = math.inf
        self._idle_timer: Timer | None = None
        self._count = 0
        self._leaving = False
        self._acceptor = loop.spawn(self._accept())

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        if self._listener is None:
            raise ValueError("it listens no more")
        host, port = self._listener.getsockname()[:2]
        return host, port

    # Accepting.

    def _accept(self) -> Steps:
        while self._listener is not None:
            if len(self._connections) >= self._most:
                yield Wait()  # woken when one closes
                continue
            yield Wait(self._listener.fileno(), IN)
            if not self.accept_all():
                yield Wait(until=self.loop.clock.now() + FULL_PAUSE_MS)

    def accept_all(self) -> bool:
        """Accept what waits; False where no descriptor is left for it."""
        while self._listener is not None and len(self._connections) < self._most:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    logger.warning("accept: {}", error)
                    return False
                continue  # that one connection is gone already
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._count += 1
            self._connections[self._count] = Connection(self, sock, self._count)
            self.touched(self._connections[self._count])
        return True

    def closed(self, connection: Connection) -> None:
        """A connection is over: nobody waits for what was open on it."""
        self._connections.pop(connection.number, None)
        self._idle.pop(connection.number, None)
        self.loop.close(connection.sock)
        self.loop.wake(self._acceptor)
        for number in sorted(connection.open):
            self.post(ev.CallerLeft((connection.number, number)))
        connection.open.clear()

    # Answers.

    def answer(self, effect: fx.Answer) -> None:
        """Write an answer, if its connection is there and it is owed."""
        place, number = effect.ticket
        connection = self._connections.get(place)
        if connection is None or number not in connection.open:
            return
        connection.open.discard(number)
        connection.write(encode(number, effect.answer, effect.say))
        if self._leaving and not connection.open:
            connection.say_farewell()
        if connection.ending:
            self.loop.wake(connection.task)  # it may have waited for just this answer to close
        self.touched(connection)

    # Idle connections.

    def close_idle_after(self, after: float) -> None:
        """From now on part with connections that carried nothing for so long."""
        self._idle_after = after
        self._arm()

    def touched(self, connection: Connection) -> None:
        """Something went over this connection: its idle time begins anew, or it is busy."""
        self._idle.pop(connection.number, None)
        if connection.idle and not connection.broken:
            self._idle[connection.number] = self.loop.clock.now()
            if self._idle_timer is None:
                self._arm()

    def _arm(self) -> None:
        self.loop.cancel(self._idle_timer)
        self._idle_timer = None
        if self._idle and self._idle_after < math.inf:
            due = next(iter(self._idle.values())) + self._idle_after
            self._idle_timer = self.loop.call_at(due, self._part_idle)

    def _part_idle(self) -> None:
        now = self.loop.clock.now()
        while self._idle:
            number, since = next(iter(self._idle.items()))
            if now - since < self._idle_after:
                break
            del self._idle[number]
            self._part(self._connections[number])
        self._arm()

    def _part(self, connection: Connection) -> None:
        """Say farewell and leave the closing to the peer: a request that crosses it is still served. One that
        stays open all the same is closed once nothing is open on it."""
        connection.say_farewell()

        def close() -> None:
            if connection.idle:
                connection.end()
            elif not connection.broken:
                self.loop.call_at(self.loop.clock.now() + PART_MS, close)

        self.loop.call_at(self.loop.clock.now() + PART_MS, close)

    # Leaving.

    def leave(self) -> None:
        """Farewell on all connections; those that come still are served, then parted with."""
        self._leaving = True
        for connection in list(self._connections.values()):
            connection.say_farewell()

    def stop_accepting(self) -> None:
        """Take what waits to be accepted, then refuse connections: those prove that nothing ran."""
        self._most = max(self._most, len(self._connections) + BACKLOG)
        self.accept_all()
        if self._listener is not None:
            self.loop.close(self._listener)
            self._listener = None
        self.leave()

    @property
    def unsent(self) -> bool:
        """Is anything open or unwritten?"""
        return any(not c.idle for c in self._connections.values())
