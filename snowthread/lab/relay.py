"""A TCP relay of the lab on the project's loop: listens at one address, forwards to another, through faults.

One coroutine a direction of a connection; what is read waits in a bounded queue until :mod:`faults` lets it
go. Where the queue is full, reading stops, so a slow link pushes back as a real one does. A cut closes both
sides; a partition holds the bytes and refuses new connections.
"""

from __future__ import annotations

import random
import socket
from collections import deque

from snowthread.address import Address
from snowthread.lab.faults import LinkFaults, Pace, admits, cut, release_ms
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Task, TaskSteps, Wait

QUEUE_BYTES = 1 << 20  # held a direction at the most
CHUNK = 65536
CHECK_MS = 50.0  # how often a held direction looks at the faults again


class Relay:
    """One link: ``listen`` -> ``target``; its faults are changed from outside while it plays."""

    def __init__(
        self, loop: EventLoop, listen: Address, target: Address, draw: random.Random, name: str = ""
    ) -> None:
        self.loop, self.target, self.draw, self.name = loop, target, draw, name
        self.faults = LinkFaults()
        self.opened = self.refused = 0
        self.bytes = 0
        self.address = listen
        self._task: Task | None = None
        self.open()

    def open(self) -> None:
        """Listen; the address is kept over a :meth:`close`."""
        if self._task is not None:
            return
        listener = self.address.open(socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(512)
        self.address = Address(*listener.getsockname()[:2])
        self._listener, self._task = listener, self.loop.spawn(self._accept(listener))

    def close(self) -> None:
        """Listen no more: callers are refused, as where the process behind is dead. Open connections stay."""
        if self._task is not None:
            self.loop.end_task(self._task)
            self._task = None
            if self._listener.fileno() >= 0:  # a task that never ran closes nothing
                self._listener.close()

    def _accept(self, listener: socket.socket) -> TaskSteps:
        try:
            while True:
                yield Wait(listener.fileno(), READABLE)
                try:
                    near, _ = listener.accept()
                except BlockingIOError:
                    continue
                if not admits(self.faults):
                    self.refused += 1
                    near.close()
                    continue
                near.setblocking(False)
                self.opened += 1
                self.loop.spawn(self._connection(near))
        finally:
            self.loop.close(listener)

    def _connection(self, near: socket.socket) -> TaskSteps:
        far = self.target.open(socket.SOCK_STREAM)
        try:
            far.connect(self.target)
        except BlockingIOError:
            yield Wait(far.fileno(), WRITABLE | HANGUP, self.loop.clock.now() + 3000.0)
            self.loop.unwatch(far.fileno())
        except OSError:
            pass
        if far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or not _connected(far):
            self.refused += 1  # nobody on the other side: the caller finds the door closed, as without us
            near.close()
            far.close()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = Pair()
        # Each direction has its own descriptors (dup), since the loop watches a descriptor for one task.
        self.loop.spawn(self._pump(near, far.dup(), pair))
        self.loop.spawn(self._pump(far, near.dup(), pair))

    def _pump(self, source: socket.socket, sink: socket.socket, pair: Pair) -> TaskSteps:
        """Read from ``source``, hold, write to ``sink``; a cut, a reset or both ends close all."""
        pace = Pace(self.faults.cuts)
        held: deque[tuple[float, bytes]] = deque()
        size, ended = 0, False
        try:
            while not (ended and not held):
                if cut(self.faults, pace) or pair.broken:
                    return
                now = self.loop.clock.now()
                if held and not self.faults.partitioned and held[0][0] <= now:
                    at, chunk = held.popleft()
                    size -= len(chunk)
                    try:
                        sent = sink.send(chunk)
                    except BlockingIOError:
                        sent = 0
                    self.bytes += sent
                    if sent < len(chunk):
                        held.appendleft((at, chunk[sent:]))
                        size += len(chunk) - sent
                        yield Wait(sink.fileno(), WRITABLE | HANGUP, now + CHECK_MS)
                    continue
                due = held[0][0] if held and not self.faults.partitioned else now + CHECK_MS
                if ended or size >= QUEUE_BYTES:
                    yield Wait(until=min(due, now + CHECK_MS))
                    continue
                mask = yield Wait(source.fileno(), READABLE, min(due, now + CHECK_MS))
                if not mask:
                    continue
                try:
                    data = source.recv(CHUNK)
                except BlockingIOError:
                    continue
                if not data:
                    ended = True
                    continue
                leaves = release_ms(self.faults, pace, self.loop.clock.now(), len(data), self.draw)
                held.append((leaves, data))
                size += len(data)
            sink.shutdown(socket.SHUT_WR)  # this side ended: so does what the other reads
            pair.ended += 1
            while pair.ended < 2 and not pair.broken and not cut(self.faults, pace):
                yield Wait(until=self.loop.clock.now() + CHECK_MS)  # the other direction still speaks
        except OSError:
            pair.broken = True
        finally:
            if cut(self.faults, pace):
                pair.broken = True
            if pair.broken:
                _reset(source)
            self.loop.close(source)
            self.loop.close(sink)


class Pair:
    """What the two directions of one connection know of each other."""

    __slots__ = ("broken", "ended")

    def __init__(self) -> None:
        self.broken, self.ended = False, 0


def _connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _reset(sock: socket.socket) -> None:
    """Close with a reset, as a cut link or a dead peer's kernel would."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    except OSError:
        pass


class DatagramRelay:
    """One node's link with the roster: reports and their answers, passed on as they come, or dropped
    while the link is partitioned."""

    def __init__(self, loop: EventLoop, target: Address, name: str = "") -> None:
        self.loop, self.target, self.name = loop, target, name
        self.faults = LinkFaults()
        self.passed = self.dropped = 0
        self._near = Address("127.0.0.1", 0).open(socket.SOCK_DGRAM)
        self._near.bind(("127.0.0.1", 0))
        self._far = target.open(socket.SOCK_DGRAM)
        self._far.connect(target)
        self._caller: tuple[str, int] | None = None
        self.address = Address(*self._near.getsockname()[:2])
        self._tasks = [loop.spawn(self._out()), loop.spawn(self._back())]

    def close(self) -> None:
        for task in self._tasks:
            self.loop.end_task(task)

    def _passes(self) -> bool:
        self.dropped += self.faults.partitioned
        self.passed += not self.faults.partitioned
        return not self.faults.partitioned

    def _out(self) -> TaskSteps:
        try:
            while True:
                yield Wait(self._near.fileno(), READABLE)
                try:
                    word, self._caller = self._near.recvfrom(65536)
                    if self._passes():
                        self._far.send(word)
                except OSError:
                    self.dropped += 1  # the roster is not there: a datagram is lost, as on a network
        finally:
            self.loop.close(self._near)

    def _back(self) -> TaskSteps:
        try:
            while True:
                yield Wait(self._far.fileno(), READABLE)
                try:
                    word = self._far.recv(65536)
                    if self._caller is not None and self._passes():
                        self._near.sendto(word, self._caller)
                except OSError:
                    self.dropped += 1
        finally:
            self.loop.close(self._far)
