"""BER frames: the length of the next message, from its head, and a check of its structure.

The typed decoding is asn1tools' (see ``schema``). This module does what a library does not: a limit before
anything is buffered, definite lengths only (RFC 4511, section 5.1), every element inside its parent, and a
bound on the depth and the number of elements, so that a hostile server costs a bounded amount of work.
"""

from __future__ import annotations

from dataclasses import dataclass

SEQUENCE = 0x30
CONSTRUCTED = 0x20  # the bit of a tag: the element consists of others
LONG_TAG = 0x1F  # the tag continues in further octets
LONG_FORM = 0x80  # of a length: the low bits count the octets that follow
MAX_LENGTH_OCTETS = 4
MIN_HEAD_BYTES = 2  # a tag and a length


class MalformedMessageError(ValueError):
    """Bytes are no LDAP message; nothing after them can be read."""


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """The limits of one message: bytes, levels of nesting, elements."""

    max_frame_bytes: int = 512 * 1024
    max_depth: int = 24
    max_elements: int = 20_000


def frame_length(data: bytes | bytearray | memoryview, limits: MessageLimits) -> int | None:
    """Return the length of the first message with its head, or None if the head is not complete yet.

    Raises:
        MalformedMessageError: No message starts with these bytes, or it is longer than the bounds.
    """
    size = len(data)
    if size and data[0] != SEQUENCE:
        raise MalformedMessageError(f"a message starts with 0x30, not 0x{data[0]:02x}")
    if size < MIN_HEAD_BYTES:
        return None
    first = data[1]
    if first < LONG_FORM:
        return MIN_HEAD_BYTES + first
    octets = first & ~LONG_FORM
    if octets == 0:
        raise MalformedMessageError("an indefinite length")
    if octets > MAX_LENGTH_OCTETS:
        raise MalformedMessageError(f"a length of {octets} octets")
    head_bytes = MIN_HEAD_BYTES + octets
    if size < head_bytes:
        return None
    length = int.from_bytes(data[MIN_HEAD_BYTES:head_bytes])
    if length > limits.max_frame_bytes:
        raise MalformedMessageError(f"a message of {length} bytes, at most {limits.max_frame_bytes} are read")
    return head_bytes + length


def check(frame: bytes, limits: MessageLimits) -> None:
    """Check the structure of a frame in one pass.

    Raises:
        MalformedMessageError: A length is indefinite, an element extends beyond its parent, or the nesting
            depth or the number of elements exceeds the limits.
    """
    size = len(frame)
    position = 0
    end = size  # of the element that contains the position
    outer_ends: list[int] = []  # of the elements around it, the innermost last
    elements = 0
    max_depth = limits.max_depth
    max_elements = limits.max_elements
    while position < size:
        while position == end:
            end = outer_ends.pop()
        if end - position < MIN_HEAD_BYTES:
            raise MalformedMessageError("an element cut short")
        tag = frame[position]
        length = frame[position + 1]
        position += MIN_HEAD_BYTES
        if tag & LONG_TAG == LONG_TAG:
            raise MalformedMessageError("a tag of several octets")
        if length >= LONG_FORM:
            octets = _length_octets(length, end - position)
            length = int.from_bytes(frame[position : position + octets])
            position += octets
        if length > end - position:
            raise MalformedMessageError("an element reaches out of its parent")
        elements += 1
        if elements > max_elements:
            raise MalformedMessageError(f"more than {max_elements} elements")
        if tag & CONSTRUCTED:
            outer_ends.append(end)
            end = position + length
            if len(outer_ends) > max_depth:
                raise MalformedMessageError(f"nested deeper than {max_depth}")
        else:
            position += length


def _length_octets(first: int, available: int) -> int:
    """Return how many octets of a long form follow its first one.

    Raises:
        MalformedMessageError: There are none, too many, or fewer than that are left.
    """
    octets = first & ~LONG_FORM
    if not 1 <= octets <= MAX_LENGTH_OCTETS or available < octets:
        raise MalformedMessageError("a length that can't be read")
    return octets
