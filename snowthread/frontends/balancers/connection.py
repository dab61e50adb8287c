"""One balancer's connection: reads requests off a socket and writes answers, at a bounded cost."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import msgpack
from loguru import logger

from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.frontends.balancers.codec import (
    FAREWELL,
    MESSAGE_MAX,
    READ_BYTES,
    Asked,
    Bad,
    Cancel,
    Check,
    Read,
    decode,
    encode,
    number_of,
    request,
    too_long,
    unpacker_for_read,
)
from snowthread.net.limits import Trust
from snowthread.net.loop import BROKEN, IN, OUT, Steps, Wait

if TYPE_CHECKING:
    from snowthread.frontends.balancers.server import Balancers

OPEN_MAX = 32  # requests open on one connection
UNSENT_PAUSE, UNSENT_MAX = 32 * 1024, 256 * 1024  # bytes not taken by a peer: read no more; give it up
LINGER_MS, LINGER_BYTES = 500.0, 128 * 1024  # so much is read from a peer that is told to go


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

    @property
    def begun(self) -> bool:
        """Is a message there in part?"""
        return bool(self._begun)

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
        if self.parted_at == math.inf and not self.ending:
            self.parted_at = self.hub.loop.clock.now()
            self.write(FAREWELL)

    def end(self) -> None:
        """Close now."""
        self.broken = True
        self.hub.loop.wake(self.task)

    def end_soon(self) -> None:
        """Read nothing more and close, with what is open failed and what is written sent."""
        self.ending = True
        self.hub.loop.wake(self.task)

    def look(self) -> None:
        """Take in what lies unread, before it is judged whether to close. Where the loop was late a request
        may lie there whole: it is the node's since its last byte was written, and a close would lose it."""
        try:
            if not self.broken and not self.ending and not self._read():
                self.ending = True
        except OSError:
            self.broken = True
        if self.broken or self.ending:
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
                if got & (IN | BROKEN) and not self.broken and not self.ending and not self._read():
                    self.ending = True
            yield from self._linger()
        except OSError as error:
            logger.debug("balancer connection: {}", error)
        finally:
            self.broken = True
            self.hub.closed(self)

    def _linger(self) -> Steps:
        """Close in the open: what is open is failed, for the connection's end must not leave it without an
        answer; what is written goes out whole; and what lies unread is read, for it would reset the
        connection and take the answers along. Only so much is read, and waited, for that."""
        clock, sock = self.hub.loop.clock, self.sock
        for number in sorted(self.open):
            self.write(encode(number, fx.Failed(), None))
        self.hub.forsake(self)
        until, left, shut, told = clock.now() + LINGER_MS, LINGER_BYTES, False, True
        while not self.broken and (self.out or (told and left > 0)):
            if not self.out and not shut:
                shut = True
                sock.shutdown(socket.SHUT_WR)
            reads = told and left > 0
            got = yield Wait(sock.fileno(), (IN if reads else 0) | (OUT if self.out else 0), until)
            if not got and clock.now() >= until:
                return
            if got & (OUT | BROKEN) and self.out:
                self._flush()
            if got & (IN | BROKEN) and reads:
                try:
                    size = len(sock.recv(READ_BYTES))
                except BlockingIOError:
                    continue
                told, left = size > 0, left - size

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
        unpacker = unpacker_for_read()
        read = 0
        try:
            unpacker.feed(data)
            for message in unpacker:
                read = unpacker.tell()
                self.whole += 1
                self._take(decode(message))
                if self.broken or self.ending:
                    self._begun = b""
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
        if self._begun and not self.open:
            # Its request comes in pieces: among a crowd that says nothing it is not the one to make room.
            self.hub.touched(self)

    def waits_since(self) -> float:
        """Since when the rest of a message, or the first one, is missing."""
        return self.begun_at if self._begun or not self.whole else math.inf

    def _take(self, read: Read) -> None:
        hub = self.hub
        if isinstance(read, Asked):
            if read.number in self.open:
                read = self._twice(read.number)
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
            read = self._twice(read.number)
        self._refuse(read)

    def _twice(self, number: int) -> Bad:
        """One number for two requests: an answer under it would be taken for either's, so none is given."""
        self.open.discard(number)
        self.hub.post(ev.CallerLeft((self.number, number)))
        return Bad(None, "a number that is open already")

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
        use to anybody, and what is open on it is failed, not served to who can't keep to the protocol."""
        logger.debug("balancer connection {}: {}", self.number, bad.reason)
        if bad.number is None:
            self.ending = True
        else:
            self.write(encode(bad.number, fx.Failed(), None))
            self._spend()

    def _spend(self) -> None:
        if not self.trust.spend(self.hub.loop.clock.now()):
            self.ending = True
