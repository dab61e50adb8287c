"""The balancers' front: accepts connections, writes answers to them and parts with them."""

from __future__ import annotations

import errno
import math
import select
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterator

from loguru import logger

from snowthread.address import Address
from snowthread.core import effects, events
from snowthread.frontends.balancers.codec import encode
from snowthread.frontends.balancers.connection import BalancerConnection
from snowthread.net.limits import (
    FRESH_IDLE_MS,
    IDLE_SHARE,
    SINGLE_USE_IDLE_MS,
    SWEEP_INTERVAL_MS,
    is_timed_out,
)
from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait

BACKLOG = 1024
PLACES_LEAST = 8  # connections held at most, whatever else is said
ACCEPT_MAX = 64  # connections accepted in a turn of the loop
FULL_PAUSE_MS = 50.0  # how long accepting rests when no descriptor is left
PART_MS = 1000.0  # a peer that does not close so long after its farewell is closed


def listener(address: Address) -> socket.socket:
    """A socket of our own that listens."""
    made = address.open(socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind(address)
    made.listen(BACKLOG)
    return made


def inherited(door: int) -> socket.socket:
    """The socket that was passed on; OSError where the descriptor is none that listens. It is only ever
    closed, never shut down: others listen on it too."""
    passed = socket.socket(fileno=door)
    if not passed.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(errno.EINVAL, f"descriptor {door} does not listen")
    passed.setblocking(False)
    return passed


class BalancerServer:
    """Accepts connections, answers on them and parts with them."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        most: int,
        unsent_most: int,
        post: Callable[[events.Event], None],
        door: int | None = None,
    ) -> None:
        """``door``: a socket that listens at this address already and was passed on as a descriptor."""
        self.loop, self.post, self._unsent_most = loop, post, unsent_most
        self.set_max_connections(most)
        self._listener: socket.socket | None = listener(address) if door is None else inherited(door)
        self._connections: dict[int, BalancerConnection] = {}
        self._idle: OrderedDict[int, float] = OrderedDict()  # since when, the longest first
        self._idle_after = math.inf
        self._count = 0
        self._leaving = self._shut = False
        self._acceptor = loop.spawn(self._accept())
        loop.spawn(self._sweep())

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        if self._listener is None:
            raise ValueError("it listens no more")
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def accepting(self) -> bool:
        """Are new connections taken?"""
        return self._listener is not None and not self._leaving and not self._shut

    def count(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    def peer_address(self, place: int) -> str:
        """The address that a connection comes from; empty where it is gone."""
        connection = self._connections.get(place)
        try:
            return "" if connection is None else str(connection.sock.getpeername()[0])
        except OSError:
            return ""

    # Accepting.

    def _accept(self) -> TaskSteps:
        while self._listener is not None:
            got = yield Wait() if self._shut else Wait(self._listener.fileno(), READABLE)
            if got and self._listener is not None and not self.accept_all(ACCEPT_MAX):
                yield Wait(until=self.loop.clock.now() + FULL_PAUSE_MS)

    def accept_all(self, most: int) -> bool:
        """Accept what waits; False where nothing can be accepted now. Where the table is full, who has been
        idle longest makes room: connections that say nothing must not keep out those with a request."""
        for _ in range(most):
            if self._listener is None:
                break
            if len(self._connections) >= self._most:
                if not self._knocks():
                    return True  # nobody waits: nobody has to go
                if not self._make_room():
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
            connection = BalancerConnection(self, sock, self._count, self.loop.clock.now())
            self._connections[self._count] = connection
            self.mark_active(connection)
        return True

    def _knocks(self) -> bool:
        """Does a connection wait to be accepted?"""
        look = select.poll()
        if self._listener is not None:
            look.register(self._listener.fileno(), select.POLLIN)
        return bool(look.poll(0))

    def _make_room(self) -> bool:
        """End the longest idle connection, but none on which a request lies unread."""
        for connection in self._idlest():
            begun = connection.has_partial_message
            connection.read_pending()
            if connection.idle and connection.has_partial_message == begun:
                connection.say_farewell()
                self._drop(connection)
                return True
        return False

    def _idlest(self) -> Iterator[BalancerConnection]:
        """Whom nothing keeps, the longest idle first, but none so new that its request may be on the way;
        then who was told farewell; one on which a request comes in pieces only where there is no other."""
        now, begun = self.loop.clock.now(), list[BalancerConnection]()
        for number, since in list(self._idle.items()):
            if now - since < FRESH_IDLE_MS:
                break
            connection = self._connections.get(number)
            if connection is None:
                continue
            if connection.has_partial_message:
                begun.append(connection)
            else:
                yield connection
        parted = [
            c
            for c in self._connections.values()
            if c.idle and not c.has_partial_message and c.farewell_at_ms < math.inf
        ]
        yield from [c for c in parted if c.farewell_at_ms + FRESH_IDLE_MS <= now]
        if not parted:
            yield from begun

    def _drop(self, connection: BalancerConnection) -> None:
        """Close at once, within this turn: its descriptor is wanted."""
        connection.broken = True
        self.loop.end_task(connection.task)
        if connection.number in self._connections:  # its task had not begun: nothing of it ran on the way out
            self.connection_closed(connection)

    def connection_closed(self, connection: BalancerConnection) -> None:
        """A connection is over: nobody waits for what was open on it."""
        self._connections.pop(connection.number, None)
        self._idle.pop(connection.number, None)
        self.loop.close(connection.sock)
        self.cancel_open_requests(connection)

    def cancel_open_requests(self, connection: BalancerConnection) -> None:
        """Nobody waits any more for what is open there."""
        for number in sorted(connection.open_numbers):
            self.post(events.RequestCancelled((connection.number, number)))
        connection.open_numbers.clear()

    # Answers.

    def send_response(self, effect: effects.SendResponse) -> None:
        """Write an answer, if its connection is there and it is owed."""
        place, number = effect.response_address
        connection = self._connections.get(place)
        if connection is None or number not in connection.open_numbers:
            return
        connection.open_numbers.discard(number)
        if isinstance(effect.response, effects.Served | effects.Rejected):
            connection.abuse_budget.refund()
        connection.write(encode(number, effect.response, effect.load_report))
        if self._leaving and not connection.open_numbers:
            connection.say_farewell()
        self.mark_active(connection)

    # Connections that cost more than they bring.

    def set_idle_timeout(self, after: float) -> None:
        """From now on part with connections that carried nothing for so long."""
        self._idle_after = after

    def mark_active(self, connection: BalancerConnection) -> None:
        """Something went over this connection: its idle time begins anew, or it is busy."""
        self._idle.pop(connection.number, None)
        if connection.idle and not connection.broken:
            self._idle[connection.number] = self.loop.clock.now()

    def _sweep(self) -> TaskSteps:
        """Look over all connections now and then; a timer for each would cost more than the look."""
        while True:
            yield Wait(until=self.loop.clock.now() + SWEEP_INTERVAL_MS)
            now = self.loop.clock.now()
            for connection in list(self._connections.values()):
                if self._is_over(connection, now):
                    connection.read_pending()
                    if (
                        self._is_over(connection, now)
                        and connection.open_numbers
                        and not connection.unsent_bytes
                    ):
                        connection.close_gracefully()
                    elif self._is_over(connection, now):
                        connection.abort()
            self._shed_unsent()
            crowded = len(self._idle) - self._idle_most
            for number, since in list(self._idle.items()):
                connection, idle = self._connections[number], now - since
                if connection.has_partial_message:
                    continue  # what comes in pieces is a request on its way
                if (
                    idle >= self._idle_after
                    or (connection.messages_read == 1 and idle >= SINGLE_USE_IDLE_MS)
                    or (crowded > 0 and idle >= FRESH_IDLE_MS)
                ):
                    crowded -= 1
                    del self._idle[number]
                    connection.say_farewell()
                elif idle < FRESH_IDLE_MS:
                    break

    def _is_over(self, connection: BalancerConnection, now: float) -> bool:
        """Has it kept the node waiting too long, or carried nothing for a while since its farewell?"""
        if is_timed_out(
            now, connection.incomplete_since_ms(), connection.stalled_since_ms, connection.has_partial_message
        ):
            return True
        return (
            connection.farewell_at_ms + PART_MS <= now
            and connection.idle
            and not connection.has_partial_message
            and (self._shut or not self._leaving)
        )

    def _shed_unsent(self) -> None:
        """End those that have taken least, where too much waits in all: many peers that read nothing would
        fill the memory, though none of them has much waiting."""
        waiting = sorted(
            (c for c in self._connections.values() if c.unsent_bytes), key=lambda c: len(c.unsent_bytes)
        )
        unsent = sum(len(c.unsent_bytes) for c in waiting)
        while unsent > self._unsent_most:
            connection = waiting.pop()
            unsent -= len(connection.unsent_bytes)
            connection.abort()

    # Leaving.

    def say_farewell_to_all(self) -> None:
        """Farewell on all connections; those that come still are served, then parted with."""
        self._leaving = True
        for connection in list(self._connections.values()):
            connection.say_farewell()

    def set_max_connections(self, most: int) -> None:
        """The size of the table from now on. Where there are more, the idle ones go first, as a table that is
        full does it."""
        self._most = max(PLACES_LEAST, most)
        self._idle_most = int(self._most * IDLE_SHARE)

    def pause_accepting(self) -> None:
        """Accept nothing for now: what waits at the door is another process's."""
        self._shut = True
        self.loop.wake(self._acceptor)

    def resume_accepting(self) -> None:
        """Accept again, and keep connections again."""
        self._shut = self._leaving = False
        self.loop.wake(self._acceptor)

    def has_pending_work(self) -> bool:
        """May anything still come or be owed on a connection? After a farewell, one that is idle for a while
        carries nothing more."""
        now = self.loop.clock.now()
        return any(
            not c.idle or c.has_partial_message or now - c.farewell_at_ms < PART_MS
            for c in self._connections.values()
        )

    def stop_accepting(self) -> None:
        """Take what waits to be accepted, then refuse connections: those prove that nothing ran."""
        self._most = max(self._most, len(self._connections) + BACKLOG)
        self.accept_all(BACKLOG)
        if self._listener is not None:
            self.loop.close(self._listener)
            self._listener = None
        self.say_farewell_to_all()

    def read_pending(self) -> None:
        """Take in what lies unread on any connection: before the exit, where the loop may have been late."""
        for connection in list(self._connections.values()):
            connection.read_pending()

    @property
    def busy(self) -> bool:
        """Is anything open, unwritten or begun?"""
        return any(not c.idle or c.has_partial_message for c in self._connections.values())
