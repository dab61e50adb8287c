"""The balancers' server: owns the connections, sends answers on them and closes them in good order.

:mod:`.acceptor` accepts the connections and :mod:`.sweeper` checks their timeouts.
"""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger

from snowthread.address import Address
from snowthread.core import effects, events
from snowthread.frontends.balancers.acceptor import LISTEN_BACKLOG, ConnectionAcceptor
from snowthread.frontends.balancers.codec import encode
from snowthread.frontends.balancers.connection import BalancerConnection
from snowthread.frontends.balancers.eviction import eviction_candidates
from snowthread.frontends.balancers.sweeper import FAREWELL_TIMEOUT_MS, ConnectionSweeper
from snowthread.net.limits import MAX_IDLE_CONNECTIONS_RATIO, SWEEP_INTERVAL_MS
from snowthread.net.listening import adopt_listener, open_listener
from snowthread.net.loop import Coroutine, EventLoop, Wait

MIN_CONNECTION_LIMIT = 8  # connections that are allowed however low the limit is set

# Types of responses, in tuples: a union written where it is used is made anew for each response.
_RESPONSES_THAT_REFUND = (effects.Served, effects.Rejected)
_RESPONSES_WITHOUT_RESULT = (effects.Rejected, effects.Failed)


class BalancerServer:
    """Owns all balancers' connections."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        max_connections: int,
        max_unsent_bytes: int,
        post: Callable[[events.Event], None],
        listen_descriptor: int | None = None,
    ) -> None:
        """Listen at ``address``, or on an inherited descriptor that listens there already.

        ``max_unsent_bytes`` limits the unsent answers of all connections together.
        """
        self.loop = loop
        self.post = post
        self._connections: dict[int, BalancerConnection] = {}
        self._idle_since_ms: OrderedDict[int, float] = OrderedDict()  # the longest idle first
        self._sweeper = ConnectionSweeper(self._connections, self._idle_since_ms, max_unsent_bytes)
        self.set_max_connections(max_connections)
        self._last_connection_number = 0
        self._releasing = False  # each connection is sent a farewell, new ones once they were served
        listener = (
            open_listener(address, LISTEN_BACKLOG)
            if listen_descriptor is None
            else adopt_listener(listen_descriptor)
        )
        self.acceptor = ConnectionAcceptor(loop, listener, self)
        loop.spawn(self._sweep())

    @property
    def address(self) -> tuple[str, int]:
        """Where the server listens; ValueError after it stopped."""
        return self.acceptor.address

    @property
    def accepting(self) -> bool:
        """Whether new connections are accepted and stay open."""
        return not self.acceptor.stopped and not self._releasing and not self.acceptor.paused

    @property
    def busy(self) -> bool:
        """Whether any connection has an open request, an unsent answer or a partial message."""
        return any(
            not connection.idle or connection.has_partial_message for connection in self._connections.values()
        )

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def peer_address(self, connection_number: int) -> str:
        """Return the peer's host, or an empty string where the connection is closed."""
        connection = self._connections.get(connection_number)
        try:
            return "" if connection is None else str(connection.sock.getpeername()[0])
        except OSError:
            return ""

    def set_max_connections(self, max_connections: int) -> None:
        """Limit the connections from now on; what is above the limit is evicted as new ones come."""
        self._max_connections = max(MIN_CONNECTION_LIMIT, max_connections)
        self._sweeper.max_idle_connections = int(self._max_connections * MAX_IDLE_CONNECTIONS_RATIO)

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Send a farewell to connections that are idle for this long, from now on."""
        self._sweeper.idle_timeout_ms = timeout_ms

    # What the acceptor calls (ConnectionTable).

    def is_full(self) -> bool:
        """Return whether a new connection is above the limit."""
        return len(self._connections) >= self._max_connections

    def add_connection(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_connection_number += 1
        connection = BalancerConnection(self, sock, self._last_connection_number)
        self._connections[connection.number] = connection
        self.mark_active(connection)

    def evict_idle_connection(self) -> bool:
        """Close the best candidate on which no request lies unread; return False where there is none."""
        now_ms = self.loop.clock.now()
        for connection in eviction_candidates(self._connections, self._idle_since_ms, now_ms):
            had_partial_message = connection.has_partial_message
            connection.read_pending()
            if connection.idle and connection.has_partial_message == had_partial_message:
                connection.send_farewell()
                self._close_now(connection)
                return True
        return False

    def _close_now(self, connection: BalancerConnection) -> None:
        """Close within this round of the loop, because the descriptor is needed."""
        connection.closing_immediately = True
        self.loop.end_task(connection.task)
        if connection.number in self._connections:  # a task that never ran does not call connection_closed
            self.connection_closed(connection)

    # What connections call (ConnectionOwner).

    def mark_active(self, connection: BalancerConnection) -> None:
        """Restart the connection's idle time, or note that it is busy."""
        self._idle_since_ms.pop(connection.number, None)
        if connection.idle and not connection.closing_immediately:
            self._idle_since_ms[connection.number] = self.loop.clock.now()

    def connection_closed(self, connection: BalancerConnection) -> None:
        """Close the socket, forget the connection and cancel its open requests."""
        self._connections.pop(connection.number, None)
        self._idle_since_ms.pop(connection.number, None)
        self.loop.close(connection.sock)
        self.cancel_open_requests(connection)

    def cancel_open_requests(self, connection: BalancerConnection) -> None:
        """Post that nobody waits for the connection's open requests any more."""
        for number in sorted(connection.open_request_numbers):
            self.post(events.RequestCancelled((connection.number, number)))
        connection.open_request_numbers.clear()

    # Answers.

    def send_response(self, effect: effects.SendResponse) -> None:
        """Send an answer, if its connection is open and the request unanswered."""
        connection_number, number = effect.response_address
        connection = self._connections.get(connection_number)
        if connection is None or number not in connection.open_request_numbers:
            return
        connection.open_request_numbers.discard(number)
        if isinstance(effect.response, _RESPONSES_THAT_REFUND):
            connection.abuse_budget.refund()
        if isinstance(effect.response, _RESPONSES_WITHOUT_RESULT):
            _log_response_without_result(effect.response)
        connection.write(encode(number, effect.response, effect.load_report))
        if self._releasing and not connection.open_request_numbers:
            connection.send_farewell()
        self.mark_active(connection)

    # Timeouts.

    def _sweep(self) -> Coroutine:
        while True:
            yield Wait(until_ms=self.loop.clock.now() + SWEEP_INTERVAL_MS)
            self._sweeper.sweep(
                self.loop.clock.now(), closes_after_farewell=self.acceptor.paused or not self._releasing
            )

    # Releasing clients and stopping.

    def send_farewell_to_all(self) -> None:
        """Release the clients: send a farewell on all connections, and on new ones once they were served."""
        self._releasing = True
        for connection in list(self._connections.values()):
            connection.send_farewell()

    def pause_accepting(self) -> None:
        """Accept nothing for now: pending connections belong to another process."""
        self.acceptor.pause()

    def resume_accepting(self) -> None:
        """Accept connections again, and retain them."""
        self._releasing = False
        self.acceptor.resume()

    def stop_accepting(self) -> None:
        """Accept what is pending and stop listening.

        Connections are refused from then on, which proves to their peers that nothing ran.
        """
        self._max_connections = max(self._max_connections, len(self._connections) + LISTEN_BACKLOG)
        self.acceptor.accept_pending(LISTEN_BACKLOG)
        self.acceptor.stop()
        self.send_farewell_to_all()

    def has_pending_work(self) -> bool:
        """Return whether a request may still arrive or be unanswered on any connection.

        A connection that stays idle for a while after its farewell carries nothing more.
        """
        now_ms = self.loop.clock.now()
        return any(
            not connection.idle
            or connection.has_partial_message
            or now_ms - connection.farewell_at_ms < FAREWELL_TIMEOUT_MS
            for connection in self._connections.values()
        )

    def read_pending(self) -> None:
        """Read what has arrived on any connection: before the exit, where the loop may have been late."""
        for connection in list(self._connections.values()):
            connection.read_pending()


def _log_response_without_result(response: effects.Rejected | effects.Failed) -> None:
    """Log, as a detail, which request gets no result, and why."""
    request = response.attempt_id or "without an id"
    if isinstance(response, effects.Failed):
        logger.debug("request {}: failed{}", request, f": {response.reason}" if response.reason else "")
    else:
        logger.debug("request {}: rejected: {}", request, response.reason or "no reason given")
