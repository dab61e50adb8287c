"""What the two processes say to each other: MessagePack arrays, a word's name first; no sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack

from snowthread.core import events
from snowthread.core.idempotency import IdempotencyRecord

VERSION = 1
MESSAGE_MAX = 64 * 1024  # a key with its result, and room to spare

HELLO, HANDOVER_COMPLETE, TAKING_CLIENTS, CLIENTS_RELEASED = "hello", "all", "takes", "yours"
PeerMessage = events.Event | str


def encode(word: IdempotencyRecord | events.Event | str) -> bytes:
    """One message: an array, its name first."""
    fields: list[Any]
    match word:
        case IdempotencyRecord():
            fields = [
                "key",
                word.idempotency_key,
                word.attempt_id,
                word.expires_at_ms,
                word.body_digest,
                word.completed,
                word.result,
            ]
        case events.KeyRunCompleted():
            fields = ["over", word.attempt_id, word.result]
        case events.KeyReleased():
            fields = ["freed", word.attempt_id]
        case events.KeyClaimRequested():
            fields = ["asked", word.idempotency_key, word.attempt_id, word.sent_at_ms, word.body_digest]
        case events.KeyClaimDecided():
            fields = ["judged", word.idempotency_key, word.attempt_id, word.granted]
        case events.PeerLoadReported():
            fields = ["load", word.runs, word.memory_kb, word.calls, word.descriptors]
        case events.DrainRequested():
            fields = ["drain", word.drain]
        case str():
            fields = [word, VERSION]
        case _:
            raise TypeError(type(word).__name__)
    packed: bytes = msgpack.packb(fields, unicode_errors="surrogateescape")
    return packed


_READ: dict[str, Callable[..., events.Event]] = {
    "key": events.KeyReplicated,
    "over": events.KeyRunCompleted,
    "freed": events.KeyReleased,
    "asked": events.KeyClaimRequested,
    "judged": events.KeyClaimDecided,
    "drain": events.DrainRequested,
    "load": events.PeerLoadReported,
}
_WANTED: dict[str, tuple[Any, ...]] = {
    "key": (str, str, float, bytes, bool, bytes | None),
    "over": (str, bytes | None),
    "freed": (str,),
    "asked": (str, str, float, bytes),
    "judged": (str, str, bool),
    "drain": (bool,),
    "load": (int, float, int, int),
    HELLO: (int,),
    HANDOVER_COMPLETE: (int,),
    TAKING_CLIENTS: (int,),
    CLIENTS_RELEASED: (int,),
}


def decode(message: object) -> PeerMessage:
    """What a message says; ValueError where it says nothing that is known."""
    if not isinstance(message, list) or not message or message[0] not in _WANTED:
        raise ValueError(f"not a message: {str(message)[:80]}")
    name, fields = message[0], message[1:]
    wanted = _WANTED[name]
    if len(fields) != len(wanted) or not all(map(isinstance, fields, wanted)):
        raise ValueError(f"{name}: not its fields")
    if name in _READ:
        return _READ[name](*fields)
    if fields[0] != VERSION:
        raise ValueError(f"{name}: version {fields[0]}, not {VERSION}")
    return str(name)


def unpacker() -> msgpack.Unpacker:
    """Takes the other's bytes; what a balancer sent as no text comes out as it went in."""
    return msgpack.Unpacker(max_buffer_size=2 * MESSAGE_MAX, unicode_errors="surrogateescape")
