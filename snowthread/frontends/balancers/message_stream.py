"""The stream of messages on one connection: bytes in, decoded messages out. Sans-I/O.

:mod:`.framing` limits what is buffered and :mod:`.codec` says what a message means.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgpack

from snowthread.frontends.balancers.codec import decode, request_number_from_prefix
from snowthread.frontends.balancers.framing import (
    MAX_MESSAGE_BYTES,
    announces_oversized_value,
    unpacker_for_read,
)
from snowthread.frontends.balancers.messages import DecodedMessage, InvalidMessage, Violation
from snowthread.net.clock import Clock

MessageHandler = Callable[[DecodedMessage], bool]
"""Handles a message; returns whether the messages after it are to be read, too."""


class MessageStream:
    """Splits what is read into messages, in order, and buffers a partial one."""

    __slots__ = ("_awaiting_since_ms", "_clock", "messages_read", "partial_message")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._awaiting_since_ms = clock.now()  # the first message, or the rest of a partial one
        self.messages_read = 0
        self.partial_message = b""

    def incomplete_since_ms(self) -> float:
        """Return since when the rest of a message, or the first message, is missing; infinity: neither is."""
        return self._awaiting_since_ms if self.partial_message or not self.messages_read else math.inf

    def feed(self, data: bytes, handle: MessageHandler) -> InvalidMessage | None:
        """Hand each complete message on and buffer the rest.

        Returns:
            Why the stream is unreadable from here on, else None. It is unknown then where the next message
            starts: a peer that sends this is no balancer.
        """
        if self.partial_message:
            data = self.partial_message + data
        unpacker = unpacker_for_read()
        parsed_bytes = 0
        try:
            unpacker.feed(data)
            for message in unpacker:
                parsed_bytes = unpacker.tell()
                self.messages_read += 1
                if not handle(decode(message)):
                    self.partial_message = b""
                    return None
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            return _unreadable(data[parsed_bytes:], str(error))
        if len(data) - parsed_bytes > MAX_MESSAGE_BYTES or (
            parsed_bytes < len(data) and announces_oversized_value(data[parsed_bytes:])
        ):
            return _unreadable(data[parsed_bytes:], "a message above the limits")
        if parsed_bytes or not self.partial_message:
            self._awaiting_since_ms = self._clock.now()
        self.partial_message = data[parsed_bytes:] if parsed_bytes else data
        return None


def _unreadable(rest: bytes, reason: str) -> InvalidMessage:
    return InvalidMessage(request_number_from_prefix(rest), Violation.UNREADABLE, reason)
