"""What the two processes say to each other: MessagePack arrays, a word's name first; no sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack

from snowthread.core import events as ev
from snowthread.core.idempotency import Key

VERSION = 1
MESSAGE_MAX = 64 * 1024  # a key with its result, and room to spare

HELLO, ALL, TAKES, YOURS = "hello", "all", "takes", "yours"
Word = ev.Message | str


def encode(word: Key | ev.Message | str) -> bytes:
    """One message: an array, its name first."""
    fields: list[Any]
    match word:
        case Key():
            fields = ["key", word.once, word.uid, word.until, word.content, word.over, word.result]
        case ev.KeyOver():
            fields = ["over", word.uid, word.result]
        case ev.KeyFreed():
            fields = ["freed", word.uid]
        case ev.KeyAsked():
            fields = ["asked", word.once, word.uid, word.at, word.content]
        case ev.KeyJudged():
            fields = ["judged", word.once, word.uid, word.granted]
        case ev.LoadTold():
            fields = ["load", word.runs, word.memory_kb, word.calls, word.descriptors]
        case ev.DrainAsked():
            fields = ["drain", word.drain]
        case str():
            fields = [word, VERSION]
        case _:
            raise TypeError(type(word).__name__)
    packed: bytes = msgpack.packb(fields, unicode_errors="surrogateescape")
    return packed


_READ: dict[str, Callable[..., ev.Message]] = {
    "key": ev.KeyTold, "over": ev.KeyOver, "freed": ev.KeyFreed, "asked": ev.KeyAsked,
    "judged": ev.KeyJudged, "drain": ev.DrainAsked,
    "load": ev.LoadTold}
_WANTED: dict[str, tuple[Any, ...]] = {
    "key": (str, str, float, bytes, bool, bytes | None), "over": (str, bytes | None), "freed": (str,),
    "asked": (str, str, float, bytes), "judged": (str, str, bool), "drain": (bool,),
    "load": (int, float, int, int),
    HELLO: (int,), ALL: (int,), TAKES: (int,), YOURS: (int,)}


def decode(message: object) -> Word:
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
