"""Codec of the messages between the two processes of a hot restart.

Sans-I/O. A message is a MessagePack array whose first element is its name. Each kind of message has one
:class:`MessageFormat` in :data:`MESSAGE_FORMATS`; the only field of a :class:`HandoverSignal` is the protocol
version. Names and fields must not change: a process has to understand the process of an earlier release that
it replaces. ``drain_state`` and ``drain_known`` are sent only to a process that understands them
(:func:`snowthread.hot_restart.socket_file.connect`); others get and send ``drain``.
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

VERSION = 1  # version of the protocol between the two processes
MESSAGE_MAX_BYTES = 64 * 1024  # size limit of a message; an idempotency record with its result is smaller
UNPACKER_MAX_BYTES = 2 * MESSAGE_MAX_BYTES  # buffer for a partial message plus the bytes of one read
ERROR_EXCERPT_CHARACTERS = 80  # length of an unknown message's excerpt in the error text


class HandoverSignal(Enum):
    """A step of the hot restart that one process signals to the other; the value is the name on the wire."""

    HELLO = "hello"  # from the successor: it has connected and asks for all keys
    HANDOVER_COMPLETE = "all"  # from the predecessor: all keys have been sent
    TAKING_CLIENTS = "takes"  # from the successor: it accepts connections now
    CLIENTS_RELEASED = "yours"  # from the predecessor: it accepts no more connections


SharedEvent = (
    events.KeyRunCompleted
    | events.KeyReleased
    | events.KeyClaimRequested
    | events.KeyClaimDecided
    | events.DrainStateReported
    | events.DrainStateAcknowledged
    | events.DrainRequested
    | events.PeerLoadReported
)
"""Events that either process may send; the peer receives the same event."""

OutgoingMessage = HandoverSignal | IdempotencyRecord | SharedEvent
"""What a process sends. A record is encoded in its state when it is written, not when it is queued."""

IncomingEvent = events.KeyReplicated | SharedEvent
"""Events that a process receives; records of the peer arrive as :class:`events.KeyReplicated`."""

IncomingMessage = HandoverSignal | IncomingEvent
"""Everything that a process can receive."""

WireValue = str | int | float | bytes | bool | None


class PeerProtocolError(ValueError):
    """The peer process sent a message that is not valid in this protocol."""


class UnknownMessageError(PeerProtocolError):
    """A message is not an array that starts with the name of a known message."""

    def __init__(self, message: object) -> None:
        super().__init__(f"unknown message: {str(message)[:ERROR_EXCERPT_CHARACTERS]}")
        self.message = message


class MessageFieldsError(PeerProtocolError):
    """The number or types of a message's fields do not match its name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"message {name}: wrong number or types of fields")
        self.name = name


class VersionError(PeerProtocolError):
    """A signal has another protocol version than this process."""

    def __init__(self, signal: HandoverSignal, version: object) -> None:
        super().__init__(f"signal {signal.value}: protocol version {version}, expected {VERSION}")
        self.signal = signal
        self.version = version


class MessageFormat:
    """The wire format of one kind of message.

    ``name`` is the name on the wire, ``source`` the type that is encoded, and ``event`` the event that it is
    decoded to. ``fields`` maps the attributes of ``source`` to the types of their values on the wire, in wire
    order, which is also the order of the arguments of ``event``.
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
        values: Any = self._read_fields(message)  # attrgetter returns a single attribute without a tuple
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
    MessageFormat(
        "drain_state",
        events.DrainStateReported,
        events.DrainStateReported,
        {"called_at_ns": int, "drained": bool},
    ),
    MessageFormat(
        "drain_known",
        events.DrainStateAcknowledged,
        events.DrainStateAcknowledged,
        {"called_at_ns": int},
    ),
    MessageFormat("drain", events.DrainRequested, events.DrainRequested, {"drain": bool}),
    MessageFormat(
        "load",
        events.PeerLoadReported,
        events.PeerLoadReported,
        {"runs": int, "memory_kb": float, "calls": int, "descriptors": int},
    ),
)
SIGNAL_FIELDS = (int,)  # types of a signal's fields: only the protocol version
_FORMATS_BY_SOURCE = {message_format.source: message_format for message_format in MESSAGE_FORMATS}
_FORMATS_BY_NAME = {message_format.name: message_format for message_format in MESSAGE_FORMATS}
_SIGNALS_BY_NAME = {signal.value: signal for signal in HandoverSignal}


def encode(message: OutgoingMessage) -> bytes:
    """Return the bytes of one message.

    Raises:
        TypeError: the value is not a message of this protocol.
    """
    message_format = _FORMATS_BY_SOURCE.get(type(message))
    fields: tuple[WireValue, ...]
    if message_format is not None:
        fields = (message_format.name, *message_format.values_of(message))
    elif isinstance(message, HandoverSignal):
        fields = (message.value, VERSION)
    else:
        raise TypeError(f"not a hot restart message: {type(message).__name__}")
    packed: bytes = msgpack.packb(fields, unicode_errors="surrogateescape")
    return packed


def decode(message: object) -> IncomingMessage:
    """Return the signal or the event of an unpacked message.

    Raises:
        UnknownMessageError: the name is not that of a message of this protocol.
        MessageFieldsError: the number or types of the fields do not match the name.
        VersionError: the message is a signal of another protocol version.
    """
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise UnknownMessageError(message)
    name = message[0]
    fields = message[1:]
    signal = _SIGNALS_BY_NAME.get(name)
    if signal is not None:
        if not _match_types(fields, SIGNAL_FIELDS):
            raise MessageFieldsError(name)
        if fields[0] != VERSION:
            raise VersionError(signal, fields[0])
        return signal
    message_format = _FORMATS_BY_NAME.get(name)
    if message_format is None:
        raise UnknownMessageError(message)
    if not _match_types(fields, message_format.fields.values()):
        raise MessageFieldsError(name)
    return message_format.event(*fields)


def _match_types(fields: list[object], types: Collection[type | UnionType]) -> bool:
    return len(fields) == len(types) and all(map(isinstance, fields, types))


def unpacker() -> msgpack.Unpacker:
    """Return an unpacker for the bytes that the peer process sends.

    Bytes in an idempotency key that are not valid UTF-8 are preserved.
    """
    return msgpack.Unpacker(max_buffer_size=UNPACKER_MAX_BYTES, unicode_errors="surrogateescape")
