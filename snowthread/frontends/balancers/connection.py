"""One balancer's connection: reads requests off a socket and writes answers, at a bounded cost."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import msgpack
from loguru import logger

from snowthread.core import effects, events
from snowthread.frontends.balancers.codec import (
    FAREWELL,
    MESSAGE_MAX,
    READ_BYTES,
    CancelMessage,
    DecodedMessage,
    HealthCheckMessage,
    InvalidMessage,
    RequestMessage,
    decode,
    encode,
    number_of,
    parse_request,
    too_long,
    unpacker_for_read,
)
from snowthread.net.limits import AbuseBudget
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, TaskSteps, Wait

if TYPE_CHECKING:
    from snowthread.frontends.balancers.server import BalancerServer

OPEN_MAX = 32  # requests open on one connection
UNSENT_PAUSE, UNSENT_MAX = 32 * 1024, 256 * 1024  # bytes not taken by a peer: read no more; give it up
LINGER_MS, LINGER_BYTES = 500.0, 128 * 1024  # so much is read from a peer that is told to go


class BalancerConnection:
    """One balancer's connection: what is open on it and what it has not taken yet."""

    __slots__ = (
        "_begun",
        "abuse_budget",
        "broken",
        "ending",
        "farewell_at_ms",
        "messages_read",
        "number",
        "open_numbers",
        "server",
        "sock",
        "stalled_since_ms",
        "task",
        "unsent_bytes",
        "waiting_since_ms",
    )

    def __init__(self, hub: BalancerServer, sock: socket.socket, number: int, now: float) -> None:
        self.server, self.sock, self.number = hub, sock, number
        self.open_numbers: set[int] = set()
        self.unsent_bytes = bytearray()
        self.farewell_at_ms = math.inf  # when farewell was said
        self.broken = False
        self.ending = False  # nothing more is read
        self.messages_read = 0  # messages read
        self.waiting_since_ms = now  # since when what is begun, or the first message, is waited for
        self.stalled_since_ms = math.inf  # since when the peer takes nothing
        self.abuse_budget = AbuseBudget(now)
        self._begun = b""  # what is there of the message that is being read
        self.task = hub.loop.spawn(self._steps())

    @property
    def idle(self) -> bool:
        """Nothing is open and nothing unsent."""
        return not self.open_numbers and not self.unsent_bytes

    @property
    def has_partial_message(self) -> bool:
        """Is a message there in part?"""
        return bool(self._begun)

    def write(self, data: bytes) -> None:
        """Send what goes and keep the rest."""
        if self.broken:
            return
        if not self.unsent_bytes:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                self.abort()
                return
        if data:
            if not self.unsent_bytes:
                self.stalled_since_ms = self.server.loop.clock.now()
            self.unsent_bytes += data
            if len(self.unsent_bytes) > UNSENT_MAX:
                self.abort()
            else:
                self.server.loop.wake(self.task)

    def say_farewell(self) -> None:
        """Ask the peer to send nothing new here and to close."""
        if self.farewell_at_ms == math.inf and not self.ending:
            self.farewell_at_ms = self.server.loop.clock.now()
            self.write(FAREWELL)

    def abort(self) -> None:
        """Close now."""
        self.broken = True
        self.server.loop.wake(self.task)

    def close_gracefully(self) -> None:
        """Read nothing more and close, with what is open failed and what is written sent."""
        self.ending = True
        self.server.loop.wake(self.task)

    def read_pending(self) -> None:
        """Take in what lies unread, before it is judged whether to close. Where the loop was late a request
        may lie there whole: it is the node's since its last byte was written, and a close would lose it."""
        try:
            if not self.broken and not self.ending and not self._read():
                self.ending = True
        except OSError:
            self.broken = True
        if self.broken or self.ending:
            self.server.loop.wake(self.task)

    def _steps(self) -> TaskSteps:
        try:
            while not self.broken and not self.ending:
                reads = len(self.unsent_bytes) < UNSENT_PAUSE
                mask = (READABLE if reads else 0) | (WRITABLE if self.unsent_bytes else 0)
                got = yield Wait(self.sock.fileno(), mask)
                if got & (WRITABLE | HANGUP) and self.unsent_bytes:
                    self._flush()
                    if not self.unsent_bytes:
                        self.server.mark_active(self)
                if got & (READABLE | HANGUP) and not self.broken and not self.ending and not self._read():
                    self.ending = True
            yield from self._linger()
        except OSError as error:
            logger.debug("balancer connection: {}", error)
        finally:
            self.broken = True
            self.server.connection_closed(self)

    def _linger(self) -> TaskSteps:
        """Close in the open: what is open is failed, for the connection's end must not leave it without an
        answer; what is written goes out whole; and what lies unread is read, for it would reset the
        connection and take the answers along. Only so much is read, and waited, for that."""
        clock, sock = self.server.loop.clock, self.sock
        for number in sorted(self.open_numbers):
            self.write(encode(number, effects.Failed(), None))
        self.server.cancel_open_requests(self)
        until, left, shut, told = clock.now() + LINGER_MS, LINGER_BYTES, False, True
        while not self.broken and (self.unsent_bytes or (told and left > 0)):
            if not self.unsent_bytes and not shut:
                shut = True
                sock.shutdown(socket.SHUT_WR)
            reads = told and left > 0
            got = yield Wait(
                sock.fileno(), (READABLE if reads else 0) | (WRITABLE if self.unsent_bytes else 0), until
            )
            if not got and clock.now() >= until:
                return
            if got & (WRITABLE | HANGUP) and self.unsent_bytes:
                self._flush()
            if got & (READABLE | HANGUP) and reads:
                try:
                    size = len(sock.recv(READ_BYTES))
                except BlockingIOError:
                    continue
                told, left = size > 0, left - size

    def _flush(self) -> None:
        try:
            del self.unsent_bytes[: self.sock.send(self.unsent_bytes)]
            self.stalled_since_ms = self.server.loop.clock.now() if self.unsent_bytes else math.inf
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
        unpacker = unpacker_for_read()
        read = 0
        try:
            unpacker.feed(data)
            for message in unpacker:
                read = unpacker.tell()
                self.messages_read += 1
                self._take(decode(message))
                if self.broken or self.ending:
                    self._begun = b""
                    return
            if len(data) - read > MESSAGE_MAX or (read < len(data) and too_long(data[read:])):
                raise ValueError("a message without end")
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            # Where the next message starts is not known: a peer that sends this is no balancer.
            self._refuse(InvalidMessage(number_of(data[read:]), f"can't be read: {error}"))
            self.ending = True
            return
        if read or not self._begun:
            self.waiting_since_ms = self.server.loop.clock.now()
        self._begun = data[read:] if read else data
        if self._begun and not self.open_numbers:
            # Its request comes in pieces: among a crowd that says nothing it is not the one to make room.
            self.server.mark_active(self)

    def incomplete_since_ms(self) -> float:
        """Since when the rest of a message, or the first one, is missing."""
        return self.waiting_since_ms if self._begun or not self.messages_read else math.inf

    def _take(self, read: DecodedMessage) -> None:
        hub = self.server
        if isinstance(read, RequestMessage):
            if read.number in self.open_numbers:
                read = self._twice(read.number)
            elif len(self.open_numbers) >= OPEN_MAX:
                self._refuse(InvalidMessage(read.number, "too many requests open on one connection"))
                self.ending = True
                return
            else:
                made = parse_request(read, (self.number, read.number), hub.loop.clock.now())
                if isinstance(made, events.RequestReceived):
                    self.open_numbers.add(read.number)
                    hub.mark_active(self)
                    hub.post(made)
                    return
                read = made
        elif isinstance(read, CancelMessage):
            self._take_back(read.number)
            return
        elif isinstance(read, HealthCheckMessage):
            if read.number not in self.open_numbers:
                self.open_numbers.add(read.number)
                hub.post(events.HealthCheckReceived((self.number, read.number)))
                return
            read = self._twice(read.number)
        self._refuse(read)

    def _twice(self, number: int) -> InvalidMessage:
        """One number for two requests: an answer under it would be taken for either's, so none is given."""
        self.open_numbers.discard(number)
        self.server.post(events.RequestCancelled((self.number, number)))
        return InvalidMessage(None, "a number that is open already")

    def _take_back(self, number: int) -> None:
        """Nobody waits any more. A short word ends it all the same: a client that takes back whatever it asks
        would else never hear anything. It is told to leave where it does nothing but that."""
        if number in self.open_numbers:
            self.open_numbers.discard(number)
            self.write(encode(number, effects.Failed(), None))
            self.server.post(events.RequestCancelled((self.number, number)))
            self.server.mark_active(self)
        self._spend()

    def _refuse(self, bad: InvalidMessage) -> None:
        """Answer where the number is known, else close: a stream whose requests can't be told apart is of no
        use to anybody, and what is open on it is failed, not served to who can't keep to the protocol."""
        logger.debug("balancer connection {}: {}", self.number, bad.reason)
        if bad.number is None:
            self.ending = True
        else:
            self.write(encode(bad.number, effects.Failed(), None))
            self._spend()

    def _spend(self) -> None:
        if not self.abuse_budget.spend(self.server.loop.clock.now()):
            self.ending = True
