"""Splits the bytes that arrive on one connection into decoded messages. Sans-I/O.

:mod:`.framing` finds the end of each message and limits what is buffered, and :mod:`.codec` decodes it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from snowthread.frontends.balancers.codec import decode, request_number_from_prefix
from snowthread.frontends.balancers.framing import FramingError, MessageScanner, unpack, unpack_if_short
from snowthread.frontends.balancers.messages import DecodedMessage, InvalidMessage, Violation
from snowthread.net.clock import Clock

MessageHandler = Callable[[DecodedMessage], bool]
"""A function that handles a message and returns whether the messages after it are to be handled, too."""


MAX_MESSAGES_PER_TURN = 32  # as many as a connection may have open requests


class MessageStream:
    """Splits the bytes of one connection into messages, in order, and buffers what is not handled yet.

    One call handles at most ``MAX_MESSAGES_PER_TURN`` messages, so that a peer that sends many small ones
    delays no other. ``has_more`` says whether complete messages may be left in the buffer.
    """

    __slots__ = ("_awaiting_since_ms", "_clock", "_scanner", "buffered", "has_more", "messages_read")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._scanner = MessageScanner()
        # The time since which the first message, or the rest of a partial one, is awaited.
        self._awaiting_since_ms = clock.now()
        self.messages_read = 0
        self.buffered = b""  # the bytes of messages that are not complete, or not handled yet
        self.has_more = False

    def incomplete_since_ms(self) -> float:
        """Return the time since which the first message or the rest of one is awaited, else infinity."""
        is_awaiting = not self.has_more and (self.buffered or not self.messages_read)
        return self._awaiting_since_ms if is_awaiting else math.inf

    def feed(self, data: bytes, handle: MessageHandler) -> InvalidMessage | None:
        """Pass the complete messages of this turn to ``handle`` and buffer the rest.

        If ``has_more`` is set, the next call is a further turn, and ``data`` may be empty.

        Returns:
            None, or why the stream cannot be decoded any further. The start of the next message is then
            unknown, and no balancer sends such bytes.
        """
        if not self.buffered:
            value = unpack_if_short(data)
            if value is not None:
                self.messages_read += 1
                handle(decode(value))
                return None
        return self._feed_in_turn(data, handle)

    def _feed_in_turn(self, data: bytes, handle: MessageHandler) -> InvalidMessage | None:
        had_partial_message = bool(self.buffered)
        data = self.buffered + data
        start = 0
        try:
            for _ in range(MAX_MESSAGES_PER_TURN):
                length = self._scanner.scan(data, start)
                if length is None:
                    self.has_more = False
                    break
                message = decode(unpack(data[start : start + length]))
                start += length
                self.messages_read += 1
                if not handle(message):
                    self._discard()
                    return None
            else:
                self.has_more = start < len(data)
        except FramingError as error:
            self._discard()
            return InvalidMessage(request_number_from_prefix(data[start:]), Violation.UNREADABLE, str(error))
        if start or not had_partial_message:
            self._awaiting_since_ms = self._clock.now()
        self.buffered = data[start:]
        return None

    def _discard(self) -> None:
        self.buffered = b""
        self.has_more = False
