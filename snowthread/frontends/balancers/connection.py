"""One balancer's connection: reads requests from a socket and writes answers, at a bounded cost.

It knows its owner only as :class:`ConnectionOwner`; the server implements that.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from typing import Protocol

import msgpack
from loguru import logger

from snowthread.core import effects, events
from snowthread.frontends.balancers.codec import FAREWELL, decode, encode, number_of_unreadable
from snowthread.frontends.balancers.framing import (
    MAX_MESSAGE_BYTES,
    READ_BYTES,
    announces_oversized_value,
    unpacker_for_read,
)
from snowthread.frontends.balancers.messages import (
    CancelMessage,
    DecodedMessage,
    HealthCheckMessage,
    InvalidMessage,
    RequestMessage,
    Violation,
)
from snowthread.frontends.balancers.request_fields import parse_request
from snowthread.net.limits import AbuseBudget
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, TaskSteps, Wait

MAX_OPEN_REQUESTS = 32  # on one connection
UNSENT_PAUSE_BYTES = 32 * 1024  # nothing is read while the peer has left this much of its answers
UNSENT_ABORT_BYTES = 256 * 1024  # a peer that has left more than this is disconnected
LINGERING_CLOSE_TIMEOUT_MS = 500.0
LINGERING_CLOSE_READ_BYTES = 128 * 1024  # read and discarded at most during a lingering close


class ConnectionOwner(Protocol):
    """What a connection needs of the server that accepted it."""

    loop: EventLoop
    post: Callable[[events.Event], None]

    def mark_active(self, connection: BalancerConnection) -> None:
        """Restart the connection's idle time, or note that it is busy."""

    def connection_closed(self, connection: BalancerConnection) -> None:
        """Close the socket and forget the connection."""

    def cancel_open_requests(self, connection: BalancerConnection) -> None:
        """Post that nobody waits for the connection's open requests."""


class BalancerConnection:
    """One balancer's connection: its open requests and the answers that the peer has not taken yet."""

    __slots__ = (
        "_owner",
        "_partial_message",
        "abuse_budget",
        "awaiting_message_since_ms",
        "broken",
        "ending",
        "farewell_at_ms",
        "messages_read",
        "number",
        "open_numbers",
        "sock",
        "stalled_since_ms",
        "task",
        "unsent_bytes",
    )

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, number: int, now_ms: float) -> None:
        self._owner, self.sock, self.number = owner, sock, number
        self.open_numbers: set[int] = set()  # messages that are still to be answered
        self.unsent_bytes = bytearray()
        self.farewell_at_ms = math.inf
        self.broken = False  # to be closed at once
        self.ending = False  # nothing more is read
        self.messages_read = 0
        self.awaiting_message_since_ms = now_ms  # the first message, or the rest of a partial one
        self.stalled_since_ms = math.inf  # since when the peer takes none of its unsent bytes
        self.abuse_budget = AbuseBudget(now_ms)
        self._partial_message = b""
        self.task = owner.loop.spawn(self._steps())

    @property
    def idle(self) -> bool:
        """Whether no request is open and no answer unsent."""
        return not self.open_numbers and not self.unsent_bytes

    @property
    def has_partial_message(self) -> bool:
        """Whether the beginning of a message was read but not its end."""
        return bool(self._partial_message)

    def incomplete_since_ms(self) -> float:
        """Return since when the rest of a message, or the first message, is missing."""
        return self.awaiting_message_since_ms if self._partial_message or not self.messages_read else math.inf

    # Writing and closing.

    def write(self, data: bytes) -> None:
        """Send what the socket takes and keep the rest."""
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
                self.stalled_since_ms = self._owner.loop.clock.now()
            self.unsent_bytes += data
            if len(self.unsent_bytes) > UNSENT_ABORT_BYTES:
                self.abort()
            else:
                self._owner.loop.wake(self.task)

    def send_farewell(self) -> None:
        """Ask the peer, once, to send nothing new here and to close."""
        if self.farewell_at_ms == math.inf and not self.ending:
            self.farewell_at_ms = self._owner.loop.clock.now()
            self.write(FAREWELL)

    def abort(self) -> None:
        """Close at once, in the loop's next round."""
        self.broken = True
        self._owner.loop.wake(self.task)

    def close_gracefully(self) -> None:
        """Read nothing more; fail the open requests, send what is unsent and close."""
        self.ending = True
        self._owner.loop.wake(self.task)

    def read_pending(self) -> None:
        """Read what has arrived, before it is decided whether to close the connection.

        Where the loop was late a whole request may lie unread. It belongs to the node since its last byte was
        written, and a close would lose it.
        """
        try:
            if not self.broken and not self.ending and not self._read():
                self.ending = True
        except OSError:
            self.broken = True
        if self.broken or self.ending:
            self._owner.loop.wake(self.task)

    # The connection's task.

    def _steps(self) -> TaskSteps:
        try:
            while not self.broken and not self.ending:
                reads = len(self.unsent_bytes) < UNSENT_PAUSE_BYTES
                mask = (READABLE if reads else 0) | (WRITABLE if self.unsent_bytes else 0)
                ready = yield Wait(self.sock.fileno(), mask)
                if ready & (WRITABLE | HANGUP) and self.unsent_bytes:
                    self._flush()
                    if not self.unsent_bytes:
                        self._owner.mark_active(self)
                if ready & (READABLE | HANGUP) and not self.broken and not self.ending and not self._read():
                    self.ending = True
            logger.debug(
                "balancer connection {}: closes, {} requests open", self.number, len(self.open_numbers)
            )
            yield from self._lingering_close()
        except OSError as error:
            logger.debug("balancer connection {}: {}", self.number, error)
        finally:
            self.broken = True
            self._owner.connection_closed(self)

    def _lingering_close(self) -> TaskSteps:
        """Answer, send and shut down, then read until the peer closes, within limits.

        Open requests are failed, for the connection's end must not leave them without an answer. What lies
        unread is read, because it would reset the connection and lose the answers with it.
        """
        self._fail_open_requests()
        clock = self._owner.loop.clock
        deadline_ms = clock.now() + LINGERING_CLOSE_TIMEOUT_MS
        read_budget = LINGERING_CLOSE_READ_BYTES
        is_shut_down = False
        while not self.broken and (self.unsent_bytes or read_budget > 0):
            if not self.unsent_bytes and not is_shut_down:
                is_shut_down = True
                self.sock.shutdown(socket.SHUT_WR)
            mask = (READABLE if read_budget > 0 else 0) | (WRITABLE if self.unsent_bytes else 0)
            ready = yield Wait(self.sock.fileno(), mask, deadline_ms)
            if not ready and clock.now() >= deadline_ms:
                return
            if ready & (WRITABLE | HANGUP) and self.unsent_bytes:
                self._flush()
            if ready & (READABLE | HANGUP) and read_budget > 0:
                read_budget = self._discard_unread(read_budget)

    def _fail_open_requests(self) -> None:
        for number in sorted(self.open_numbers):
            self.write(encode(number, effects.Failed(), None))
        self._owner.cancel_open_requests(self)

    def _discard_unread(self, read_budget: int) -> int:
        """Read once and return what is left of the budget: 0 when the peer has closed."""
        try:
            size = len(self.sock.recv(READ_BYTES))
        except BlockingIOError:
            return read_budget
        return read_budget - size if size else 0

    def _flush(self) -> None:
        try:
            del self.unsent_bytes[: self.sock.send(self.unsent_bytes)]
            self.stalled_since_ms = self._owner.loop.clock.now() if self.unsent_bytes else math.inf
        except BlockingIOError:
            pass

    def _read(self) -> bool:
        """Read once; return False at the end of the stream."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        if not data:
            return False
        self.feed(data)
        return True

    # Messages.

    def feed(self, data: bytes) -> None:
        """Handle the whole messages in the bytes read so far, in order, and keep the rest."""
        if self._partial_message:
            data = self._partial_message + data
        unpacker = unpacker_for_read()
        parsed_bytes = 0
        try:
            unpacker.feed(data)
            for message in unpacker:
                parsed_bytes = unpacker.tell()
                self.messages_read += 1
                self._handle(decode(message))
                if self.broken or self.ending:
                    self._partial_message = b""
                    return
            if len(data) - parsed_bytes > MAX_MESSAGE_BYTES or (
                parsed_bytes < len(data) and announces_oversized_value(data[parsed_bytes:])
            ):
                raise ValueError("a message above the limits")
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            # It is unknown where the next message starts: a peer that sends this is no balancer.
            number = number_of_unreadable(data[parsed_bytes:])
            self._reject_invalid(InvalidMessage(number, Violation.UNREADABLE, str(error)))
            self.ending = True
            return
        if parsed_bytes or not self._partial_message:
            self.awaiting_message_since_ms = self._owner.loop.clock.now()
        self._partial_message = data[parsed_bytes:] if parsed_bytes else data
        if self._partial_message and not self.open_numbers:
            # A request is arriving in pieces: silent connections are evicted before this one.
            self._owner.mark_active(self)

    def _handle(self, message: DecodedMessage) -> None:
        """Post a valid message as an event, or answer an invalid one."""
        if isinstance(message, RequestMessage):
            if message.number in self.open_numbers:
                self._reject_reused_number(message.number)
            elif len(self.open_numbers) >= MAX_OPEN_REQUESTS:
                self._reject_invalid(InvalidMessage(message.number, Violation.TOO_MANY_OPEN_REQUESTS))
                self.ending = True
            else:
                request = parse_request(message, (self.number, message.number), self._owner.loop.clock.now())
                if isinstance(request, InvalidMessage):
                    self._reject_invalid(request)
                    return
                self.open_numbers.add(message.number)
                self._owner.mark_active(self)
                self._owner.post(request)
        elif isinstance(message, CancelMessage):
            self._cancel(message.number)
        elif isinstance(message, HealthCheckMessage):
            if message.number in self.open_numbers:
                self._reject_reused_number(message.number)
            else:
                self.open_numbers.add(message.number)
                self._owner.post(events.HealthCheckReceived((self.number, message.number)))
        else:
            self._reject_invalid(message)

    def _reject_reused_number(self, number: int) -> None:
        """Cancel the open request and close: an answer would be taken for either, so none is given."""
        self.open_numbers.discard(number)
        self._owner.post(events.RequestCancelled((self.number, number)))
        self._reject_invalid(InvalidMessage(None, Violation.NUMBER_IN_USE))

    def _cancel(self, number: int) -> None:
        """Cancel an open request and answer it as failed.

        Without an answer a client that cancels all its requests would never receive anything. Cancellations
        are charged to the abuse budget, so a client that does nothing else is disconnected.
        """
        if number in self.open_numbers:
            self.open_numbers.discard(number)
            self.write(encode(number, effects.Failed(), None))
            self._owner.post(events.RequestCancelled((self.number, number)))
            self._owner.mark_active(self)
        self._charge_abuse()

    def _reject_invalid(self, message: InvalidMessage) -> None:
        """Answer an invalid message as failed where its number is known, else close.

        Without a number the stream's requests cannot be told apart, and what is open on it is failed too.
        """
        logger.debug("balancer connection {}: {} {}", self.number, message.violation.value, message.detail)
        if message.number is None:
            self.ending = True
        else:
            self.write(encode(message.number, effects.Failed(), None))
            self._charge_abuse()

    def _charge_abuse(self) -> None:
        if not self.abuse_budget.spend(self._owner.loop.clock.now()):
            self.ending = True
