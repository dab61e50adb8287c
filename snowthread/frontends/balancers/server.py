"""The server for load balancers: owns the connections, sends answers on them and closes them gracefully.

:mod:`.acceptor` accepts the connections and :mod:`.sweeper` checks their timeouts.
"""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable, Iterable

from loguru import logger

from snowthread.address import Address
from snowthread.core import effects, events
from snowthread.frontends.balancers.acceptor import LISTEN_BACKLOG, ConnectionAcceptor
from snowthread.frontends.balancers.connection import BalancerConnection
from snowthread.frontends.balancers.eviction import eviction_candidates
from snowthread.frontends.balancers.sweeper import FAREWELL_TIMEOUT_MS, ConnectionSweeper
from snowthread.net.limits import MAX_IDLE_CONNECTIONS_RATIO, SWEEP_INTERVAL_MS
from snowthread.net.listening import adopt_listener, open_listener
from snowthread.net.loop import Coroutine, EventLoop, Wait

MIN_CONNECTION_LIMIT = 8  # the connection limit is at least this, whatever is configured

# Tuples, because a union of types in an isinstance() call would be built anew for each response.
_RESPONSES_THAT_REFUND = (effects.Served, effects.Rejected)
_RESPONSES_WITHOUT_RESULT = (effects.Rejected, effects.Failed)


class BalancerServer:
    """Owns all connections of load balancers."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        max_connections: int,
        max_unsent_bytes: int,
        post: Callable[[events.Event], None],
        listen_descriptor: int | None = None,
    ) -> None:
        """Listen at ``address``, or adopt ``listen_descriptor``, which listens there already.

        ``max_unsent_bytes`` limits the unsent answers of all connections together. ``post`` passes an event
        to the core.
        """
        self.loop = loop
        self.post = post
        self._connections: dict[int, BalancerConnection] = {}
        # Since when each idle connection is idle, by connection number, the longest idle first.
        self._idle_since_ms: OrderedDict[int, float] = OrderedDict()
        self._sweeper = ConnectionSweeper(self._connections, self._idle_since_ms, max_unsent_bytes)
        self.set_max_connections(max_connections)
        self._last_connection_number = 0
        self._releasing = False  # whether a new connection is sent a farewell once it is served
        listener = (
            open_listener(address, LISTEN_BACKLOG)
            if listen_descriptor is None
            else adopt_listener(listen_descriptor)
        )
        self.acceptor = ConnectionAcceptor(loop, listener, self)
        loop.spawn(self._sweep())

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which the server listens; ValueError once it has stopped."""
        return self.acceptor.address

    @property
    def accepting(self) -> bool:
        """Whether new connections are accepted and stay open after their requests are answered."""
        return not self.acceptor.stopped and not self._releasing and not self.acceptor.paused

    @property
    def busy(self) -> bool:
        """Whether any connection has an open request, an unsent answer or a partial message."""
        return any(
            not connection.idle or connection.has_unhandled_input for connection in self._connections.values()
        )

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def peer_address(self, connection_number: int) -> str:
        """Return the IP address of a connection's peer, or an empty string if the connection is closed."""
        connection = self._connections.get(connection_number)
        try:
            return "" if connection is None else str(connection.sock.getpeername()[0])
        except OSError:
            return ""

    def set_max_connections(self, max_connections: int) -> None:
        """Set the connection limit; excess connections are evicted only as new ones arrive."""
        self._max_connections = max(MIN_CONNECTION_LIMIT, max_connections)
        self._sweeper.max_idle_connections = int(self._max_connections * MAX_IDLE_CONNECTIONS_RATIO)

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Set the idle time in milliseconds after which a connection is sent a farewell."""
        self._sweeper.idle_timeout_ms = timeout_ms

    # Implementation of acceptor.ConnectionTable.

    def is_full(self) -> bool:
        """Return whether the connection limit is reached."""
        return len(self._connections) >= self._max_connections

    def add_connection(self, sock: socket.socket) -> None:
        """Add an accepted connection to the table and start to serve it."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_connection_number += 1
        connection = BalancerConnection(self, sock, self._last_connection_number)
        self._connections[connection.number] = connection
        self.mark_active(connection)

    def evict_idle_connection(self) -> bool:
        """Close the first eviction candidate that has no unread request; return False if there is none."""
        now_ms = self.loop.clock.now()
        for connection in eviction_candidates(self._connections, self._idle_since_ms, now_ms):
            had_unhandled_input = connection.has_unhandled_input
            connection.read_pending()
            if connection.idle and connection.has_unhandled_input == had_unhandled_input:
                connection.send_farewell()
                self._close_now(connection)
                return True
        return False

    def _close_now(self, connection: BalancerConnection) -> None:
        """Close a connection before this method returns, because its descriptor is needed."""
        connection.abort()
        self.loop.end_task(connection.task)
        # A task that was ended before its first step has not called connection_closed.
        if connection.number in self._connections:
            self.connection_closed(connection)

    # Implementation of connection.ConnectionOwner.

    def mark_active(self, connection: BalancerConnection) -> None:
        """Restart the connection's idle time if it is idle, else record that it is busy."""
        self._idle_since_ms.pop(connection.number, None)
        if connection.idle and not connection.is_closed:
            self._idle_since_ms[connection.number] = self.loop.clock.now()

    def connection_closed(self, connection: BalancerConnection) -> None:
        """Close the socket, remove the connection and cancel its open requests."""
        self._connections.pop(connection.number, None)
        self._idle_since_ms.pop(connection.number, None)
        self.loop.close(connection.sock)
        numbers = sorted(connection.open_request_numbers)
        connection.open_request_numbers.clear()
        self.cancel_requests(connection, numbers)

    def cancel_requests(self, connection: BalancerConnection, numbers: Iterable[int]) -> None:
        """Post a cancellation of each of these requests: their client no longer waits for the answers."""
        for number in numbers:
            self.post(events.RequestCancelled((connection.number, number)))

    # Sending answers to balancers.

    def send_response(self, effect: effects.SendResponse) -> None:
        """Send an answer, unless its connection is closed or the request is answered or cancelled already."""
        connection_number, number = effect.response_address
        connection = self._connections.get(connection_number)
        if connection is None or not connection.answer(number, effect.response, effect.load_report):
            return
        if isinstance(effect.response, _RESPONSES_THAT_REFUND):
            connection.abuse_budget.refund()
        if isinstance(effect.response, _RESPONSES_WITHOUT_RESULT):
            _log_response_without_result(effect.response)
        if self._releasing and not connection.open_request_numbers:
            connection.send_farewell()
        self.mark_active(connection)

    # Checking the timeouts of connections.

    def _sweep(self) -> Coroutine:
        while True:
            yield Wait(until_ms=self.loop.clock.now() + SWEEP_INTERVAL_MS)
            self._sweeper.sweep(
                self.loop.clock.now(), closes_after_farewell=self.acceptor.paused or not self._releasing
            )

    # Releasing clients, and pausing or stopping the server.

    def send_farewell_to_all(self) -> None:
        """Release the clients: send a farewell on every connection.

        From then on a new connection is sent one as soon as its requests are answered.
        """
        self._releasing = True
        for connection in list(self._connections.values()):
            connection.send_farewell()

    def pause_accepting(self) -> None:
        """Stop accepting until :meth:`resume_accepting`: another process accepts the pending connections."""
        self.acceptor.pause()

    def resume_accepting(self) -> None:
        """Accept connections again, and no longer release the clients."""
        self._releasing = False
        self.acceptor.resume()

    def stop_accepting(self) -> None:
        """Accept the pending connections, close the listening socket and release the clients.

        Later connection attempts are refused, which proves to the peers that no request of theirs ran.
        """
        self._max_connections = max(self._max_connections, len(self._connections) + LISTEN_BACKLOG)
        self.acceptor.accept_pending(LISTEN_BACKLOG)
        self.acceptor.stop()
        self.send_farewell_to_all()

    def has_pending_work(self) -> bool:
        """Return whether any connection has an unanswered request, or one that may still arrive.

        On a connection that is idle ``FAREWELL_TIMEOUT_MS`` after its farewell, no request arrives any more.
        """
        now_ms = self.loop.clock.now()
        return any(
            not connection.idle
            or connection.has_unhandled_input
            or now_ms - connection.farewell_at_ms < FAREWELL_TIMEOUT_MS
            for connection in self._connections.values()
        )

    def read_pending(self) -> None:
        """Read what has arrived on all connections: before the exit, as the event loop may have been late."""
        for connection in list(self._connections.values()):
            connection.read_pending()


def _log_response_without_result(response: effects.Rejected | effects.Failed) -> None:
    """Log at debug level which request was answered without a result, and why."""
    request = response.attempt_id or "without an id"
    if isinstance(response, effects.Failed):
        logger.debug("request {}: failed{}", request, f": {response.reason}" if response.reason else "")
    else:
        logger.debug("request {}: rejected: {}", request, response.reason or "no reason given")
