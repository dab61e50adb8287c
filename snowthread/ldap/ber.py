"""BER frames: the length of the next message, from its head, and a check of its structure.

The typed decoding is asn1tools' (see ``schema``). This module does what a library does not: a limit before
anything is buffered, definite lengths only (RFC 4511, section 5.1), every element inside its parent, and a
bound on the depth and the number of elements, so that a hostile server costs a bounded amount of work.
"""

from __future__ import annotations

from dataclasses import dataclass

SEQUENCE = 0x30
LONG_FORM = 0x80  # of a length: the low bits count the octets that follow
MAX_LENGTH_OCTETS = 4
CONSTRUCTED = 0x20
LONG_TAG = 0x1F  # the tag goes on in further octets


class MalformedError(ValueError):
    """Bytes are no LDAP message; nothing after them can be read."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits of one message: bytes, levels of nesting, elements."""

    frame_bytes: int = 512 * 1024
    depth: int = 24
    elements: int = 20_000


def frame_length(data: bytes | bytearray | memoryview, bounds: Bounds) -> int | None:
    """Return the length of the first message with its head, or None if the head is not complete yet.

    Raises MalformedError for bytes that no message starts with, and for a message longer than the bounds.
    """
    size = len(data)
    if size and data[0] != SEQUENCE:
        raise MalformedError(f"a message starts with 0x30, not 0x{data[0]:02x}")
    if size < 2:
        return None
    first = data[1]
    if first < LONG_FORM:
        return 2 + first
    octets = first & ~LONG_FORM
    if octets == 0:
        raise MalformedError("an indefinite length")
    if octets > MAX_LENGTH_OCTETS:
        raise MalformedError(f"a length of {octets} octets")
    if size < 2 + octets:
        return None
    length = int.from_bytes(data[2 : 2 + octets])
    if length > bounds.frame_bytes:
        raise MalformedError(f"a message of {length} bytes, at most {bounds.frame_bytes} are read")
    return 2 + octets + length


def check(frame: bytes, bounds: Bounds) -> None:
    """Check the structure of a frame in one pass; MalformedError says what is wrong with it.

    Each length has to be definite and each element within its parent, depth and number within the bounds.
    """
    position, end, size = 0, len(frame), len(frame)
    ends: list[int] = []
    elements, max_depth, max_elements = 0, bounds.depth, bounds.elements
    while True:
        while position == end:
            if not ends:
                return
            end = ends.pop()
        if end - position < 2:
            raise MalformedError("an element cut short")
        tag, length = frame[position], frame[position + 1]
        position += 2
        if tag & LONG_TAG == LONG_TAG:
            raise MalformedError("a tag of several octets")
        if length >= LONG_FORM:
            octets = length & ~LONG_FORM
            if not 1 <= octets <= MAX_LENGTH_OCTETS or end - position < octets:
                raise MalformedError("a length that can't be read")
            length = int.from_bytes(frame[position : position + octets])
            position += octets
        if length > end - position:
            raise MalformedError("an element reaches out of its parent")
        elements += 1
        if elements > max_elements:
            raise MalformedError(f"more than {max_elements} elements")
        if tag & CONSTRUCTED:
            ends.append(end)
            end = position + length
            if len(ends) > max_depth:
                raise MalformedError(f"nested deeper than {max_depth}")
        else:
            position += length
        if position > size:
            raise MalformedError("an element reaches out of the message")
