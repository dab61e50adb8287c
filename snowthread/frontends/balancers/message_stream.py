"""Splits the bytes that arrive on one connection into decoded messages. Sans-I/O.

:mod:`.framing` finds the end of each message and limits what is buffered, and :mod:`.codec` decodes it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from snowthread.frontends.balancers.codec import decode, request_number_from_prefix
from snowthread.frontends.balancers.framing import FramingError, MessageScanner, unpack
from snowthread.frontends.balancers.messages import DecodedMessage, InvalidMessage, Violation
from snowthread.net.clock import Clock

MessageHandler = Callable[[DecodedMessage], bool]
"""A function that handles a message and returns whether the messages after it are to be handled, too."""


class MessageStream:
    """Splits the bytes of one connection into messages, in order, and buffers a partial message."""

    __slots__ = ("_awaiting_since_ms", "_clock", "_scanner", "messages_read", "partial_message")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._scanner = MessageScanner()
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
        had_partial_message = bool(self.partial_message)
        data = self.partial_message + data
        start = 0
        try:
            while (length := self._scanner.scan(data, start)) is not None:
                message = decode(unpack(data[start : start + length]))
                start += length
                self.messages_read += 1
                if not handle(message):
                    self.partial_message = b""
                    return None
        except FramingError as error:
            return InvalidMessage(request_number_from_prefix(data[start:]), Violation.UNREADABLE, str(error))
        if start or not had_partial_message:
            self._awaiting_since_ms = self._clock.now()
        self.partial_message = data[start:]
        return None
