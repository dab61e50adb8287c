"""BER frames: how long the next message is, judged from its head, and whether its inside is sound.

The typed decoding is asn1tools' (see ``schema``). What a library does not do stands here: a limit before
anything is buffered, definite lengths only (RFC 4511, section 5.1), every element inside its parent, and a
bound on depth and number of elements, so that a hostile server costs a bounded amount of work.
"""

from __future__ import annotations

from dataclasses import dataclass

SEQUENCE = 0x30


class MalformedError(ValueError):
    """Bytes that are no LDAP message; nothing after them can be read."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one message may be: bytes in all, levels of nesting, elements."""

    frame_bytes: int = 512 * 1024
    depth: int = 24
    elements: int = 20_000


def frame_length(data: bytes | bytearray | memoryview, bounds: Bounds) -> int | None:
    """The length of the first message with its head; None: the head is not whole yet.

    Raises MalformedError for what no message starts with, and for one longer than the bounds.
    """
    size = len(data)
    if size and data[0] != SEQUENCE:
        raise MalformedError(f"a message starts with 0x30, not 0x{data[0]:02x}")
    if size < 2:
        return None
    first = data[1]
    if first < 0x80:
        return 2 + first
    octets = first & 0x7F
    if octets == 0:
        raise MalformedError("an indefinite length")
    if octets > 4:
        raise MalformedError(f"a length of {octets} octets")
    if size < 2 + octets:
        return None
    length = int.from_bytes(data[2 : 2 + octets])
    if length > bounds.frame_bytes:
        raise MalformedError(f"a message of {length} bytes, at most {bounds.frame_bytes} are read")
    return 2 + octets + length


def check(frame: bytes, bounds: Bounds) -> None:
    """Walk the whole frame once: each length definite and within its parent, depth and count bounded."""
    at, end, size = 0, len(frame), len(frame)
    ends: list[int] = []
    elements, depth, most = 0, bounds.depth, bounds.elements
    while True:
        while at == end:
            if not ends:
                return
            end = ends.pop()
        if end - at < 2:
            raise MalformedError("an element cut short")
        tag, length = frame[at], frame[at + 1]
        at += 2
        if tag & 0x1F == 0x1F:
            raise MalformedError("a tag of several octets")
        if length >= 0x80:
            octets = length & 0x7F
            if not 1 <= octets <= 4 or end - at < octets:
                raise MalformedError("a length that can't be read")
            length = int.from_bytes(frame[at : at + octets])
            at += octets
        if length > end - at:
            raise MalformedError("an element reaches out of its parent")
        elements += 1
        if elements > most:
            raise MalformedError(f"more than {most} elements")
        if tag & 0x20:
            ends.append(end)
            end = at + length
            if len(ends) > depth:
                raise MalformedError(f"nested deeper than {depth}")
        else:
            at += length
        if at > size:
            raise MalformedError("an element reaches out of the message")
