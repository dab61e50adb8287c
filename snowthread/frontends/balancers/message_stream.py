"""Splits the bytes that arrive on one connection into decoded messages. Sans-I/O.

:mod:`.framing` limits how much is buffered, and :mod:`.codec` decodes each message.
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
"""A function that handles a message and returns whether the messages after it are to be handled, too."""


class MessageStream:
    """Splits the bytes of one connection into messages, in order, and buffers a partial message."""

    __slots__ = ("_awaiting_since_ms", "_clock", "messages_read", "partial_message")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The time since which the first message, or the rest of a partial one, is awaited.
        self._awaiting_since_ms = clock.now()
        self.messages_read = 0
        self.partial_message = b""  # the bytes of an incomplete message, or empty

    def incomplete_since_ms(self) -> float:
        """Return the time since which the first message or the rest of one is awaited, else infinity."""
        return self._awaiting_since_ms if self.partial_message or not self.messages_read else math.inf

    def feed(self, data: bytes, handle: MessageHandler) -> InvalidMessage | None:
        """Pass each complete message to ``handle`` and buffer the rest.

        Returns:
            None, or why the stream cannot be decoded any further. The start of the next message is then
            unknown, and no balancer sends such bytes.
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
            return _unreadable(data[parsed_bytes:], "the message exceeds the size limits")
        if parsed_bytes or not self.partial_message:
            self._awaiting_since_ms = self._clock.now()
        self.partial_message = data[parsed_bytes:] if parsed_bytes else data
        return None


def _unreadable(rest: bytes, reason: str) -> InvalidMessage:
    return InvalidMessage(request_number_from_prefix(rest), Violation.UNREADABLE, reason)
