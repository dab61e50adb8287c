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
from snowthread.net.limits import IDLE_SHARE, NEW_MS, ONCE_MS, SWEEP_MS, Trust, overdue
from snowthread.net.loop import BROKEN, IN, OUT, Loop, Steps, Wait

READ_BYTES = 8 * 1024  # taken from one connection in a turn of the loop: a flood gets no more than others
MESSAGE_MAX = 16 * 1024  # bytes of one message: a body, fields and room to spare
ITEMS_MAX = 64  # elements of one list or map
BODY_MAX = 2 * 1024
WORD_MAX = 256  # characters of a key: each is kept for its window
TIME_MAX_MS = 600_000.0  # a wait or an age beyond this is a mistake; ages are learned from
AHEAD_MAX_MS = 60_000.0  # as is a time that lies further ahead
OPEN_MAX = 32  # requests open on one connection
UNSENT_PAUSE, UNSENT_MAX = 32 * 1024, 256 * 1024  # bytes not taken by a peer: read no more; give it up
BACKLOG = 1024
ACCEPT_MAX = 64  # connections accepted in a turn of the loop
FULL_PAUSE_MS = 50.0  # how long accepting rests when no descriptor is left
LINGER_MS, LINGER_BYTES = 500.0, 128 * 1024  # so much is read from a peer that is told to go
PART_MS = 1000.0  # a peer that does not close so long after its farewell is closed

# Bytes of the length that follows a head (of a map or list from 0xdc on), or of a value of fixed size.
_LENGTHS = {0xc4: 1, 0xc5: 2, 0xc6: 4, 0xc7: 1, 0xc8: 2, 0xc9: 4, 0xd9: 1, 0xda: 2, 0xdb: 4,
            0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4}
_SIZES = {0xca: 4, 0xcb: 8, 0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, 0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
          0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17}

_ID = re.compile(r"[0-9a-f]{16}")
# at, wait, kb, rank and from in plain digits: Python's own reading takes 'nan', '1_0' and other scripts'.
_FIGURES = re.compile(r"(?:[0-9]{1,18}(?:\.[0-9]{1,18})?,){4}[0-9]{1,18}")


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
    if not isinstance(fields, dict):
        return Bad(number, "the fields are not a map")
    return Asked(number, method, body, fields)


def request(asked: Asked, ticket: ev.Ticket, now: float) -> ev.RequestRead | Bad:
    """The fields' meaning, or which of them is wrong."""
    f = asked.fields
    try:
        uid, once, key = f["id"], f.get("once"), f.get("key", "")
        if not _ID.fullmatch(uid) or len(once or "") > WORD_MAX or len(key) > WORD_MAX:
            raise ValueError("id, once or key is no such word")
        figures = ",".join((f["at"], f["wait"], f["kb"], f["rank"], f["from"]))
        if not _FIGURES.fullmatch(figures):
            raise ValueError("at, wait, kb, rank or from is no figure")
        at, wait, kb, rank, caller = map(float, figures.split(","))
        if not (0.0 <= wait <= TIME_MAX_MS and 0.0 < kb < 2000.0 and 0.0 <= rank < 1.0):
            raise ValueError("wait, kb or rank out of range")
        if not now - TIME_MAX_MS <= at <= now + AHEAD_MAX_MS:
            raise ValueError("at lies too far off")
        if type(key) is not str or not (once is None or type(once) is str):
            raise TypeError("once or key is no word")
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        return Bad(asked.number, f"field {error}")
    return ev.RequestRead(ticket=ticket, uid=uid, class_name=asked.class_name, body=asked.body, at=at,
                          wait=wait, caller=int(caller), kb=kb, rank=rank, once=once, key=key)


def _is_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**32


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


def _unpacker() -> msgpack.Unpacker:
    """One for each read: what is begun waits as plain bytes, so hundreds of idle connections hold no buffers.
    Lengths are judged by their head, before what they announce is taken in. Bytes that are no text, or keys
    that are none, must not end the stream: they only spoil their own message."""
    return msgpack.Unpacker(max_buffer_size=MESSAGE_MAX + READ_BYTES, read_size=READ_BYTES,
                            max_bin_len=MESSAGE_MAX, max_str_len=MESSAGE_MAX, max_ext_len=MESSAGE_MAX,
                            max_array_len=ITEMS_MAX, max_map_len=ITEMS_MAX, strict_map_key=False,
                            unicode_errors="surrogateescape")


def too_long(begun: bytes) -> bool:
    """Does what is begun announce more than a message may hold? Judged by the heads, for msgpack looks at a
    length only when all of it has come."""
    at = 0
    while at < len(begun):
        head = begun[at]
        at += 1
        width = _LENGTHS.get(head, 0)
        if width:
            size = int.from_bytes(begun[at:at + width])
            if at + width <= len(begun) and size > (ITEMS_MAX if head >= 0xdc else MESSAGE_MAX):
                return True
            at += width if head >= 0xdc else width + size + (0xc7 <= head <= 0xc9)
        else:
            at += head - 0xa0 if 0xa0 <= head < 0xc0 else _SIZES.get(head, 0)
    return False


def number_of(start: bytes) -> int | None:
    """The number of a request whose rest can't be read."""
    unpacker = _unpacker()
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

    __slots__ = ("_begun", "begun_at", "broken", "ending", "hub", "number", "open", "out", "parted_at",
                 "sock", "stuck_at", "task", "trust", "whole")

    def __init__(self, hub: Balancers, sock: socket.socket, number: int, now: float) -> None:
        self.hub, self.sock, self.number = hub, sock, number
        self.open: set[int] = set()
        self.out = bytearray()
        self.parted_at = math.inf  # when farewell was said
        self.broken = False
        self.ending = False  # nothing more is read
        self.whole = 0  # messages read
        self.begun_at = now  # since when what is begun, or the first message, is waited for
        self.stuck_at = math.inf  # since when the peer takes nothing
        self.trust = Trust(now)
        self._begun = b""  # what is there of the message that is being read
        self.task = hub.loop.spawn(self._steps())

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
                self.end()
                return
        if data:
            if not self.out:
                self.stuck_at = self.hub.loop.clock.now()
            self.out += data
            if len(self.out) > UNSENT_MAX:
                self.end()
            else:
                self.hub.loop.wake(self.task)

    def say_farewell(self) -> None:
        """Ask the peer to send nothing new here and to close."""
        if self.parted_at == math.inf:
            self.parted_at = self.hub.loop.clock.now()
            self.write(FAREWELL)

    def end(self) -> None:
        """Close now."""
        self.broken = True
        self.hub.loop.wake(self.task)

    def _steps(self) -> Steps:
        try:
            while not self.broken and not self.ending:
                reads = len(self.out) < UNSENT_PAUSE
                mask = (IN if reads else 0) | (OUT if self.out else 0)
                got = yield Wait(self.sock.fileno(), mask)
                if got & (OUT | BROKEN) and self.out:
                    self._flush()
                    if not self.out:
                        self.hub.touched(self)
                if got & (IN | BROKEN) and not self.broken and not self._read():
                    return
            yield from self._linger()
        except OSError as error:
            logger.debug("balancer connection: {}", error)
        finally:
            self.broken = True
            self.hub.closed(self)

    def _linger(self) -> Steps:
        """Close in the open: what lies unread at a close would reset the connection and take along the answer
        that says why. Only so much is read for that."""
        self.hub.forsake(self)
        until, left = self.hub.loop.clock.now() + LINGER_MS, LINGER_BYTES
        if self.ending and not self.broken and not self.out:
            self.sock.shutdown(socket.SHUT_WR)
            while left > 0 and not self.broken and self.hub.loop.clock.now() < until:
                if not (yield Wait(self.sock.fileno(), IN, until)):
                    break
                try:
                    got = len(self.sock.recv(READ_BYTES))
                except BlockingIOError:
                    continue
                if not got:
                    break
                left -= got

    def _flush(self) -> None:
        try:
            del self.out[:self.sock.send(self.out)]
            self.stuck_at = self.hub.loop.clock.now() if self.out else math.inf
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
        self.feed(data)
        return True

    def feed(self, data: bytes) -> None:
        """Take bytes: whole messages out of them, in order."""
        if self._begun:
            data = self._begun + data
        unpacker = _unpacker()
        read = 0
        try:
            unpacker.feed(data)
            for message in unpacker:
                read = unpacker.tell()
                self.whole += 1
                self._take(decode(message))
                if self.broken or self.ending:
                    return
            if len(data) - read > MESSAGE_MAX or (read < len(data) and too_long(data[read:])):
                raise ValueError("a message without end")
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            # Where the next message starts is not known: a peer that sends this is no balancer.
            self._refuse(Bad(number_of(data[read:]), f"can't be read: {error}"))
            self.ending = True
            return
        if read or not self._begun:
            self.begun_at = self.hub.loop.clock.now()
        self._begun = data[read:] if read else data

    def waits_since(self) -> float:
        """Since when the rest of a message, or the first one, is missing."""
        return self.begun_at if self._begun or not self.whole else math.inf

    def _take(self, read: Read) -> None:
        hub = self.hub
        if isinstance(read, Asked):
            if read.number in self.open:
                read = Bad(None, "a number that is open already")
            elif len(self.open) >= OPEN_MAX:
                self._refuse(Bad(read.number, "too many requests open on one connection"))
                self.ending = True
                return
            else:
                made = request(read, (self.number, read.number), hub.loop.clock.now())
                if isinstance(made, ev.RequestRead):
                    self.open.add(read.number)
                    hub.touched(self)
                    hub.post(made)
                    return
                read = made
        elif isinstance(read, Cancel):
            self._take_back(read.number)
            return
        elif isinstance(read, Check):
            if read.number not in self.open:
                self.open.add(read.number)
                hub.post(ev.HealthAsked((self.number, read.number)))
                return
            read = Bad(None, "a number that is open already")
        self._refuse(read)

    def _take_back(self, number: int) -> None:
        """Nobody waits any more. A short word ends it all the same: a client that takes back whatever it asks
        would else never hear anything. It is told to leave where it does nothing but that."""
        if number in self.open:
            self.open.discard(number)
            self.write(encode(number, fx.Failed(), None))
            self.hub.post(ev.CallerLeft((self.number, number)))
            self.hub.touched(self)
        self._spend()

    def _refuse(self, bad: Bad) -> None:
        """Answer where the number is known, else close: a stream whose requests can't be told apart is of no
        use to anybody, and what is open on it must not be served to who can't keep to the protocol."""
        logger.debug("balancer connection {}: {}", self.number, bad.reason)
        if bad.number is None or bad.number in self.open:
            self.end()
        else:
            self.write(encode(bad.number, fx.Failed(), None))
            self._spend()

    def _spend(self) -> None:
        if not self.trust.spend(self.hub.loop.clock.now()):
            self.ending = True


class Balancers:
    """Accepts connections, answers on them and parts with them."""

    def __init__(self, loop: Loop, address: Address, most: int, unsent_most: int,
                 post: Callable[[ev.Message], None]) -> None:
        self.loop, self.post, self._most, self._unsent_most = loop, post, most, unsent_most
        self._listener: socket.socket | None = address.open(socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._connections: dict[int, Connection] = {}
        self._idle: OrderedDict[int, float] = OrderedDict()  # since when, the longest first
        self._idle_most = int(most * IDLE_SHARE)
        self._idle_after = math.inf
        self._count = 0
        self._leaving = False
        self._acceptor = loop.spawn(self._accept())
        loop.spawn(self._sweep())

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
            yield Wait(self._listener.fileno(), IN)
            if self._listener is not None and not self.accept_all(ACCEPT_MAX):
                yield Wait(until=self.loop.clock.now() + FULL_PAUSE_MS)

    def accept_all(self, most: int) -> bool:
        """Accept what waits; False where nothing can be accepted now. Where the table is full, who has been
        idle longest makes room: connections that say nothing must not keep out those with a request."""
        for _ in range(most):
            if self._listener is None:
                break
            if len(self._connections) >= self._most and not self._make_room():
                return False
            try:
                sock, _address = self._listener.accept()
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
            connection = Connection(self, sock, self._count, self.loop.clock.now())
            self._connections[self._count] = connection
            self.touched(connection)
        return True

    def _make_room(self) -> bool:
        """End the longest idle connection, but none so new that its first request may be on the way."""
        for number, since in self._idle.items():
            if self.loop.clock.now() - since < NEW_MS:
                break
            connection = self._connections[number]
            connection.say_farewell()
            del self._idle[number]
            self._drop(connection)
            return True
        return False

    def _drop(self, connection: Connection) -> None:
        """Close at once, within this turn: its descriptor is wanted."""
        connection.broken = True
        self.loop.end(connection.task)

    def closed(self, connection: Connection) -> None:
        """A connection is over: nobody waits for what was open on it."""
        self._connections.pop(connection.number, None)
        self._idle.pop(connection.number, None)
        self.loop.close(connection.sock)
        self.forsake(connection)

    def forsake(self, connection: Connection) -> None:
        """Nobody waits any more for what is open there."""
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
        self.touched(connection)

    # Connections that cost more than they bring.

    def close_idle_after(self, after: float) -> None:
        """From now on part with connections that carried nothing for so long."""
        self._idle_after = after

    def touched(self, connection: Connection) -> None:
        """Something went over this connection: its idle time begins anew, or it is busy."""
        self._idle.pop(connection.number, None)
        if connection.idle and not connection.broken:
            self._idle[connection.number] = self.loop.clock.now()

    def _sweep(self) -> Steps:
        """Look over all connections now and then; a timer for each would cost more than the look."""
        while True:
            yield Wait(until=self.loop.clock.now() + SWEEP_MS)
            now = self.loop.clock.now()
            for connection in list(self._connections.values()):
                if overdue(now, connection.waits_since(), connection.stuck_at):
                    connection.end()
                elif connection.parted_at + PART_MS <= now and connection.idle and not self._leaving:
                    connection.end()
            self._shed_unsent()
            crowded = len(self._idle) - self._idle_most
            for number, since in list(self._idle.items()):
                connection, idle = self._connections[number], now - since
                if idle >= self._idle_after or (connection.whole == 1 and idle >= ONCE_MS) or (
                        crowded > 0 and idle >= NEW_MS):
                    crowded -= 1
                    del self._idle[number]
                    connection.say_farewell()
                elif idle < NEW_MS:
                    break

    def _shed_unsent(self) -> None:
        """End those that have taken least, where too much waits in all: many peers that read nothing would
        fill the memory, though none of them has much waiting."""
        waiting = sorted((c for c in self._connections.values() if c.out), key=lambda c: len(c.out))
        unsent = sum(len(c.out) for c in waiting)
        while unsent > self._unsent_most:
            connection = waiting.pop()
            unsent -= len(connection.out)
            connection.end()

    # Leaving.

    def leave(self) -> None:
        """Farewell on all connections; those that come still are served, then parted with."""
        self._leaving = True
        for connection in list(self._connections.values()):
            connection.say_farewell()

    def stop_accepting(self) -> None:
        """Take what waits to be accepted, then refuse connections: those prove that nothing ran."""
        self._most = max(self._most, len(self._connections) + BACKLOG)
        self.accept_all(BACKLOG)
        if self._listener is not None:
            self.loop.close(self._listener)
            self._listener = None
        self.leave()

    @property
    def unsent(self) -> bool:
        """Is anything open or unwritten?"""
        return any(not c.idle for c in self._connections.values())
