"""One balancer's connection: its socket, its task and the state that the server reads.

It has a :class:`~.connection_state.ConnectionState` and delegates to :mod:`.message_stream` (bytes to
messages), :mod:`.message_handler` (messages to events), :mod:`.socket_writer` (answers to the socket) and
:mod:`.lingering_close`. It knows its owner only through :class:`ConnectionOwner`, which the server
implements.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from loguru import logger

from snowthread.core import effects, events
from snowthread.frontends.balancers.codec import FAREWELL, encode
from snowthread.frontends.balancers.connection_state import ConnectionState
from snowthread.frontends.balancers.framing import READ_BYTES
from snowthread.frontends.balancers.lingering_close import lingering_close
from snowthread.frontends.balancers.message_handler import handle_message, reject_invalid
from snowthread.frontends.balancers.message_stream import MessageStream
from snowthread.frontends.balancers.messages import DecodedMessage
from snowthread.frontends.balancers.socket_writer import BufferedSocketWriter
from snowthread.net.limits import AbuseBudget
from snowthread.net.loop import HANGUP, PEER_CLOSED, READABLE, WRITABLE, Coroutine, EventLoop, Wait
from snowthread.net.peer_close import has_peer_closed

UNSENT_PAUSE_BYTES = 32 * 1024  # reading pauses while this many bytes of answers are unsent


class ConnectionOwner(Protocol):
    """The server that accepted a connection, as the connection uses it."""

    loop: EventLoop
    post: Callable[[events.Event], None]

    def mark_active(self, connection: BalancerConnection) -> None:
        """Restart the connection's idle time if it is idle, else record that it is busy."""

    def connection_closed(self, connection: BalancerConnection) -> None:
        """Close the socket, remove the connection and cancel its open requests."""

    def cancel_requests(self, connection: BalancerConnection, numbers: Iterable[int]) -> None:
        """Post a cancellation of each of these requests: their client no longer waits for the answers."""


class BalancerConnection:
    """One balancer's connection: its open requests and the answers that are not sent yet."""

    __slots__ = (
        "_has_ended_turn",
        "_owner",
        "abuse_budget",
        "clock",
        "farewell_at_ms",
        "message_stream",
        "number",
        "open_request_numbers",
        "post",
        "sock",
        "state",
        "task",
        "writer",
    )

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, number: int) -> None:
        self._owner = owner
        self._has_ended_turn = False  # whether this round has had a turn; a read would be a second one
        self.sock = sock
        self.number = number
        self.clock = owner.loop.clock
        self.post = owner.post
        self.open_request_numbers: set[int] = set()  # numbers of the requests that are not answered yet
        self.farewell_at_ms = math.inf  # when the farewell was sent; infinity until then
        self.state = ConnectionState.OPEN
        self.abuse_budget = AbuseBudget(self.clock.now())
        self.writer = BufferedSocketWriter(sock, self.clock)
        self.message_stream = MessageStream(self.clock)
        self.task = owner.loop.spawn(self._run())

    @property
    def idle(self) -> bool:
        """Whether no request is open and no answer is unsent."""
        return not self.open_request_numbers and not self.writer.unsent

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer writes no more, and waits for no answer."""
        return self.state >= ConnectionState.PEER_CLOSED

    @property
    def is_closing(self) -> bool:
        """Whether no more messages are read."""
        return self.state >= ConnectionState.CLOSING

    @property
    def is_closed(self) -> bool:
        """Whether nothing is read or written any more."""
        return self.state is ConnectionState.CLOSED

    @property
    def has_unhandled_input(self) -> bool:
        """Whether bytes have been read that are not handled yet, such as the first part of a message."""
        return bool(self.message_stream.buffered)

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes of answers that are buffered because the peer has not read them."""
        return len(self.writer.unsent)

    def mark_active(self) -> None:
        """Restart the idle time if the connection is idle, else record that it is busy."""
        self._owner.mark_active(self)

    # Writing answers, and closing the connection.

    def answer(self, number: int, response: effects.Response, load_report: float | None = None) -> bool:
        """Send the answer to an open request; return False and send nothing if it is not open.

        All answers are sent here. The request stops being open in the same step, so that it gets no second
        answer from whatever the first one sets off: a cancellation, for example, ends the retries that wait
        for the request, and they may be open on the same connection.
        """
        if number not in self.open_request_numbers:
            return False
        self.open_request_numbers.discard(number)
        self.write(encode(number, response, load_report))
        return True

    def write(self, data: bytes) -> None:
        """Send what the socket accepts and buffer the rest.

        The connection is aborted if more than the limit is buffered or the socket fails.
        """
        if self.is_closed:
            return
        try:
            self.writer.write(data)
        except OSError:
            self.abort()
            return
        if self.writer.unsent:
            self._owner.loop.wake(self.task)

    def send_farewell(self) -> None:
        """Ask the peer, at most once, to send no new request on this connection and to close it."""
        if self.farewell_at_ms == math.inf and not self.is_closing:
            self.farewell_at_ms = self.clock.now()
            self.write(FAREWELL)

    def abort(self) -> None:
        """Close without sending what is unsent, in the next round of the event loop."""
        self._advance_to(ConnectionState.CLOSED)
        self._owner.loop.wake(self.task)

    def close_gracefully(self) -> None:
        """Stop reading, answer the open requests as failed, send what is unsent, and close."""
        self._advance_to(ConnectionState.CLOSING)
        self._owner.loop.wake(self.task)

    def _advance_to(self, state: ConnectionState) -> None:
        """Enter a state unless the connection is further already; its task notices in its next step."""
        self.state = max(self.state, state)

    # Reading and handling messages.

    def read_pending(self) -> None:
        """Read the bytes that have arrived, before a decision whether to close the connection.

        If the event loop was late, a complete request may be unread in the socket. The node owes an answer to
        it since its last byte was written, and a close would lose it.
        """
        try:
            if not self.peer_has_closed and has_peer_closed(self.sock):
                self._handle_peer_close()
            if not self.is_closing and not self._read():
                self.close_gracefully()
            while self.message_stream.has_more and not self.is_closing:
                self._handle_messages(b"")
        except OSError:
            self.abort()

    def _read(self) -> bool:
        """Read once and handle messages for one turn; return False at the end of the stream."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        if not data:
            return False
        self._handle_messages(data)
        return True

    def _handle_messages(self, data: bytes) -> None:
        """Handle messages for one turn: those that are buffered, and then those in ``data``."""
        invalid = self.message_stream.feed(data, self._handle)
        if invalid is not None:
            reject_invalid(self, invalid)
            self.close_gracefully()
        elif self.message_stream.buffered and not self.open_request_numbers:
            # A request is arriving in parts: restart its idle time, so that silent ones are evicted first.
            self.mark_active()

    def _handle(self, message: DecodedMessage) -> bool:
        """Handle a message; return whether the messages after it are to be handled too."""
        handle_message(self, message)
        return not self.is_closing

    # The task that reads, writes and finally closes the connection.

    def _run(self) -> Coroutine:
        try:
            while not self.is_closing:
                ready = yield self._next_wait()
                if ready & (WRITABLE | HANGUP) and self.writer.unsent:
                    self.writer.flush()
                    if not self.writer.unsent:
                        self.mark_active()
                if ready & PEER_CLOSED:
                    self._handle_peer_close()
                if not self.is_closing:
                    self._take_turn(ready)
            logger.debug(
                "balancer connection {}: closing with {} open requests",
                self.number,
                len(self.open_request_numbers),
            )
            self._fail_open_requests()
            yield from lingering_close(self, self.clock)
        except OSError as error:
            logger.debug("balancer connection {}: socket error, closing: {}", self.number, error)
        finally:
            self.state = ConnectionState.CLOSED
            self._owner.connection_closed(self)

    def _next_wait(self) -> Wait:
        """Return what the next turn waits for: only for the other connections if messages are left.

        While too many answers are unsent, the next turn waits until the peer has read some of them.
        """
        mask = 0 if self.peer_has_closed else PEER_CLOSED
        if self.writer.unsent:
            mask |= WRITABLE
        if len(self.writer.unsent) < UNSENT_PAUSE_BYTES:
            if self.message_stream.has_more or self._has_ended_turn:
                self._has_ended_turn = False
                self._owner.loop.wake(self.task)
            else:
                mask |= READABLE
        return Wait(self.sock.fileno(), mask)

    def _take_turn(self, ready: int) -> None:
        """Handle messages for one turn; the socket is read only once all that was read before is handled."""
        if self.message_stream.has_more:
            if len(self.writer.unsent) < UNSENT_PAUSE_BYTES:
                self._handle_messages(b"")
                self._has_ended_turn = True
        elif ready & (READABLE | HANGUP) and not self._read():
            self._advance_to(ConnectionState.CLOSING)

    def _handle_peer_close(self) -> None:
        """Stop working for the peer: it waits for no answer any more.

        What it wrote before is still read, as every request gets an answer, but none of it is run.
        """
        self._advance_to(ConnectionState.PEER_CLOSED)
        self._fail_open_requests()

    def _fail_open_requests(self) -> None:
        """Answer the open requests as failed, as each must be answered before a close, and cancel them."""
        numbers = sorted(self.open_request_numbers)
        for number in numbers:
            self.answer(number, effects.Failed())
        self._owner.cancel_requests(self, numbers)
