"""One balancer's connection: reads requests off a socket and writes answers, at a bounded cost."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import msgpack
from loguru import logger

from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.fronts.balancers.codec import (
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
    from snowthread.fronts.balancers.hub import Balancers

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
        unpacker = unpacker_for_read()
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
