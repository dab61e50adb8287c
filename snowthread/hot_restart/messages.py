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
MESSAGE_MAX_BYTES = 64 * 1024  # more than an idempotency record with its result takes
UNPACKER_MAX_BYTES = 2 * MESSAGE_MAX_BYTES  # a message cut in two by a read, and the read
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


class UnknownMessageError(PeerProtocolError):
    """It is no array with the name of a message first."""

    def __init__(self, message: object) -> None:
        super().__init__(f"not a message: {str(message)[:ERROR_EXCERPT_CHARACTERS]}")
        self.message = message


class MessageFieldsError(PeerProtocolError):
    """Its fields are not those of the message with this name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: not its fields")
        self.name = name


class VersionError(PeerProtocolError):
    """A signal of another version of the protocol."""

    def __init__(self, signal: HandoverSignal, version: object) -> None:
        super().__init__(f"{signal.value}: version {version}, not {VERSION}")
        self.signal = signal
        self.version = version


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
        self.name = name
        self.source = source
        self.event = event
        self.fields = fields
        self._read_fields = attrgetter(*fields)

    def values_of(self, message: object) -> tuple[WireValue, ...]:
        """Return the values of a message's fields, in wire order."""
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
        {"idempotency_key": str, "attempt_id": str, "arrived_at_ms": float, "body_digest": bytes},
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
SIGNAL_FIELDS = (int,)  # the version of the protocol
_FORMATS_BY_SOURCE = {message_format.source: message_format for message_format in MESSAGE_FORMATS}
_FORMATS_BY_NAME = {message_format.name: message_format for message_format in MESSAGE_FORMATS}
_SIGNALS_BY_NAME = {signal.value: signal for signal in HandoverSignal}


def encode(message: OutgoingMessage) -> bytes:
    """Return the bytes of one message.

    Raises:
        TypeError: The value is no message of this protocol.
    """
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
    """Return the signal or the event that an unpacked message stands for.

    Raises:
        UnknownMessageError: It is no message of this protocol.
        MessageFieldsError: It is one, but its fields are not the ones of its name.
        VersionError: It is a signal of another version of the protocol.
    """
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise UnknownMessageError(message)
    name = message[0]
    fields = message[1:]
    signal = _SIGNALS_BY_NAME.get(name)
    if signal is not None:
        if not _are_of_types(fields, SIGNAL_FIELDS):
            raise MessageFieldsError(name)
        if fields[0] != VERSION:
            raise VersionError(signal, fields[0])
        return signal
    message_format = _FORMATS_BY_NAME.get(name)
    if message_format is None:
        raise UnknownMessageError(message)
    if not _are_of_types(fields, message_format.fields.values()):
        raise MessageFieldsError(name)
    return message_format.event(*fields)


def _are_of_types(fields: list[object], types: Collection[type | UnionType]) -> bool:
    return len(fields) == len(types) and all(map(isinstance, fields, types))


def unpacker() -> msgpack.Unpacker:
    """Return an unpacker for the peer's bytes.

    Bytes of a balancer that are no UTF-8 text (in an idempotency key) come out as they went in.
    """
    return msgpack.Unpacker(max_buffer_size=UNPACKER_MAX_BYTES, unicode_errors="surrogateescape")
