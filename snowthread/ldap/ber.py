"""Frame BER messages by their header and validate their structure.

asn1tools decodes the content (see ``schema``). This module adds checks that the library does not make: a size
limit before a message is buffered, definite lengths only (RFC 4511, section 5.1), every element within its
parent, and limits on the nesting depth and the number of elements. The work that a hostile server can cause
is thus limited.
"""

from __future__ import annotations

from dataclasses import dataclass

SEQUENCE = 0x30
CONSTRUCTED = 0x20  # bit of a tag: the element consists of other elements
LONG_TAG = 0x1F  # bits of a tag that continues in further octets
LONG_FORM = 0x80  # bit of a length octet: the other bits are the number of length octets that follow
MAX_LENGTH_OCTETS = 4
MIN_HEAD_BYTES = 2  # one tag octet and one length octet


class MalformedMessageError(ValueError):
    """Received bytes are not a valid LDAP message; the bytes after them can't be read either."""


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Limits on one received message."""

    max_frame_bytes: int = 512 * 1024
    max_depth: int = 24  # levels of nested elements
    max_elements: int = 20_000


def frame_length(data: bytes | bytearray | memoryview, limits: MessageLimits) -> int | None:
    """Return the length of the first message including its header, or None if the header is incomplete.

    Raises:
        MalformedMessageError: The bytes are not the start of a message, or the message exceeds the limits.
    """
    size = len(data)
    if size and data[0] != SEQUENCE:
        raise MalformedMessageError(f"expected a message to start with 0x30, received 0x{data[0]:02x}")
    if size < MIN_HEAD_BYTES:
        return None
    first = data[1]
    if first < LONG_FORM:
        return MIN_HEAD_BYTES + first
    octets = first & ~LONG_FORM
    if octets == 0:
        raise MalformedMessageError("message length has the indefinite form, which LDAP does not allow")
    if octets > MAX_LENGTH_OCTETS:
        raise MalformedMessageError(f"message length field of {octets} octets is too long")
    head_bytes = MIN_HEAD_BYTES + octets
    if size < head_bytes:
        return None
    length = int.from_bytes(data[MIN_HEAD_BYTES:head_bytes])
    if length > limits.max_frame_bytes:
        raise MalformedMessageError(
            f"message of {length} bytes, at most {limits.max_frame_bytes} are allowed"
        )
    return head_bytes + length


def check_structure(frame: bytes, limits: MessageLimits) -> None:
    """Validate the structure of a complete message in one pass.

    Raises:
        MalformedMessageError: A length is indefinite, an element extends beyond its parent, or the nesting
            depth or the number of elements exceeds the limits.
    """
    size = len(frame)
    position = 0
    end = size  # end of the innermost element that contains the position
    outer_ends: list[int] = []  # ends of the elements around that one, the outermost first
    elements = 0
    max_depth = limits.max_depth
    max_elements = limits.max_elements
    while position < size:
        while position == end:
            end = outer_ends.pop()
        if end - position < MIN_HEAD_BYTES:
            raise MalformedMessageError("BER element is truncated")
        tag = frame[position]
        length = frame[position + 1]
        position += MIN_HEAD_BYTES
        if tag & LONG_TAG == LONG_TAG:
            raise MalformedMessageError("BER tag has several octets, which LDAP does not use")
        if length >= LONG_FORM:
            octets = _length_octets(length, end - position)
            length = int.from_bytes(frame[position : position + octets])
            position += octets
        if length > end - position:
            raise MalformedMessageError("BER element extends beyond its parent")
        elements += 1
        if elements > max_elements:
            raise MalformedMessageError(f"message has more than {max_elements} BER elements")
        if tag & CONSTRUCTED:
            outer_ends.append(end)
            end = position + length
            if len(outer_ends) > max_depth:
                raise MalformedMessageError(f"BER elements are nested deeper than {max_depth} levels")
        else:
            position += length


def _length_octets(first: int, available: int) -> int:
    """Return the number of octets that follow the first octet of a length in long form.

    Raises:
        MalformedMessageError: The number is 0, too large or larger than the ``available`` octets.
    """
    octets = first & ~LONG_FORM
    if not 1 <= octets <= MAX_LENGTH_OCTETS or available < octets:
        raise MalformedMessageError("BER element has an invalid length")
    return octets
