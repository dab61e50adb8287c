"""Codec of the messages between the two processes of a hot restart.

Sans-I/O: values in, bytes out, and back. A message is a MessagePack array, its name first. Each kind of
message has one :class:`MessageFormat` in :data:`MESSAGE_FORMATS`; a :class:`HandoverSignal` carries the
version of the protocol and nothing else. Names and fields are fixed: a process has to understand the one of
an earlier release that it replaces.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import Enum
from operator import attrgetter
from types import UnionType
from typing import Any

import msgpack

from snowthread.core import events
from snowthread.core.idempotency import IdempotencyRecord

VERSION = 1
MESSAGE_MAX_BYTES = 64 * 1024  # an idempotency record with its result, and room to spare
ERROR_EXCERPT_CHARACTERS = 80  # of an unknown message, in the error's text


class HandoverSignal(Enum):
    """A step of the hot restart that one process signals to the other; the value is its name on the wire."""

    HELLO = "hello"  # successor: connected, send all keys
    HANDOVER_COMPLETE = "all"  # predecessor: all keys were sent
    TAKING_CLIENTS = "takes"  # successor: accepts connections now
    CLIENTS_RELEASED = "yours"  # predecessor: accepts no more connections


SharedEvent = (
    events.KeyRunCompleted
    | events.KeyReleased
    | events.KeyClaimRequested
    | events.KeyClaimDecided
    | events.DrainRequested
    | events.PeerLoadReported
)
"""What either process may send, and receives as it was sent."""

OutgoingMessage = HandoverSignal | IdempotencyRecord | SharedEvent
"""What a process sends. A record is encoded as it stands when it is written, not when it is queued."""

IncomingEvent = events.KeyReplicated | SharedEvent
"""What a process receives for the reducer: the peer's records arrive as :class:`events.KeyReplicated`."""

IncomingMessage = HandoverSignal | IncomingEvent
"""What a process receives."""

WireValue = str | int | float | bytes | bool | None


class PeerProtocolError(ValueError):
    """The peer process sent something that is no message of this protocol."""


class MessageFormat:
    """The wire format of one kind of message.

    ``fields`` maps each attribute of ``source`` to the type of its value on the wire, in wire order, which is
    also the order of the arguments of ``event``.
    """

    __slots__ = ("_read_fields", "event", "fields", "name", "source")

    def __init__(
        self,
        name: str,
        source: type,
        event: Callable[..., IncomingEvent],
        fields: dict[str, type | UnionType],
    ) -> None:
        self.name, self.source, self.event, self.fields = name, source, event, fields
        self._read_fields = attrgetter(*fields)

    def values_of(self, message: object) -> tuple[WireValue, ...]:
        """Return the fields of a message to send."""
        values: Any = self._read_fields(message)  # one attribute alone is not read as a tuple
        return values if len(self.fields) > 1 else (values,)


MESSAGE_FORMATS = (
    MessageFormat(
        "key",
        IdempotencyRecord,
        events.KeyReplicated,
        {
            "idempotency_key": str,
            "attempt_id": str,
            "expires_at_ms": float,
            "body_digest": bytes,
            "completed": bool,
            "result": bytes | None,
        },
    ),
    MessageFormat(
        "over",
        events.KeyRunCompleted,
        events.KeyRunCompleted,
        {"attempt_id": str, "result": bytes | None},
    ),
    MessageFormat("freed", events.KeyReleased, events.KeyReleased, {"attempt_id": str}),
    MessageFormat(
        "asked",
        events.KeyClaimRequested,
        events.KeyClaimRequested,
        {"idempotency_key": str, "attempt_id": str, "sent_at_ms": float, "body_digest": bytes},
    ),
    MessageFormat(
        "judged",
        events.KeyClaimDecided,
        events.KeyClaimDecided,
        {"idempotency_key": str, "attempt_id": str, "granted": bool},
    ),
    MessageFormat("drain", events.DrainRequested, events.DrainRequested, {"drain": bool}),
    MessageFormat(
        "load",
        events.PeerLoadReported,
        events.PeerLoadReported,
        {"runs": int, "memory_kb": float, "calls": int, "descriptors": int},
    ),
)
_FORMATS_BY_SOURCE = {message_format.source: message_format for message_format in MESSAGE_FORMATS}
_FORMATS_BY_NAME = {message_format.name: message_format for message_format in MESSAGE_FORMATS}
_SIGNALS_BY_NAME = {signal.value: signal for signal in HandoverSignal}


def encode(message: OutgoingMessage) -> bytes:
    """Return the bytes of one message. Raise TypeError for what is no message."""
    message_format = _FORMATS_BY_SOURCE.get(type(message))
    fields: tuple[WireValue, ...]
    if message_format is not None:
        fields = (message_format.name, *message_format.values_of(message))
    elif isinstance(message, HandoverSignal):
        fields = (message.value, VERSION)
    else:
        raise TypeError(type(message).__name__)
    packed: bytes = msgpack.packb(fields, unicode_errors="surrogateescape")
    return packed


def decode(message: object) -> IncomingMessage:
    """Return what an unpacked message says. Raise PeerProtocolError where it is none."""
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise _unknown_message(message)
    name, fields = message[0], message[1:]
    signal = _SIGNALS_BY_NAME.get(name)
    if signal is not None:
        return _decode_signal(signal, fields)
    message_format = _FORMATS_BY_NAME.get(name)
    if message_format is None:
        raise _unknown_message(message)
    _check_fields(name, fields, message_format.fields.values())
    return message_format.event(*fields)


def _decode_signal(signal: HandoverSignal, fields: list[object]) -> HandoverSignal:
    _check_fields(signal.value, fields, (int,))
    if fields[0] != VERSION:
        raise PeerProtocolError(f"{signal.value}: version {fields[0]}, not {VERSION}")
    return signal


def _check_fields(name: str, fields: list[object], types: Collection[type | UnionType]) -> None:
    if len(fields) != len(types) or not all(map(isinstance, fields, types)):
        raise PeerProtocolError(f"{name}: not its fields")


def _unknown_message(message: object) -> PeerProtocolError:
    return PeerProtocolError(f"not a message: {str(message)[:ERROR_EXCERPT_CHARACTERS]}")


def unpacker() -> msgpack.Unpacker:
    """Return an unpacker for the peer's bytes.

    Bytes of a balancer that are no UTF-8 text (in an idempotency key) come out as they went in.
    """
    return msgpack.Unpacker(max_buffer_size=2 * MESSAGE_MAX_BYTES, unicode_errors="surrogateescape")
