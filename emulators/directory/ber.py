"""Encode and decode BER (ITU-T X.690) as generic nodes."""

from __future__ import annotations

from typing import Any, NamedTuple

import asn1

UNIVERSAL = asn1.Classes.Universal
APPLICATION = asn1.Classes.Application
CONTEXT = asn1.Classes.Context

# Universal tag numbers.
BOOLEAN = 1
INTEGER = 2
OCTET_STRING = 4
ENUMERATED = 10
SEQUENCE = 16
SET = 17
SEQUENCE_OCTET = 0x30  # Identifier octet of a constructed SEQUENCE.
# Bit that marks the long form of a length; the other bits count the length octets that follow.
LONG_FORM = 0x80


class Node(NamedTuple):
    """One element: its tag, and its value or the list of the elements that it contains."""

    tag_class: int
    number: int
    value: Any


def boolean(value: bool) -> Node:
    """Return a BOOLEAN element."""
    return Node(UNIVERSAL, BOOLEAN, value)


def integer(value: int) -> Node:
    """Return an INTEGER element."""
    return Node(UNIVERSAL, INTEGER, value)


def enumerated(value: int) -> Node:
    """Return an ENUMERATED element."""
    return Node(UNIVERSAL, ENUMERATED, int(value))


def octets(value: str | bytes) -> Node:
    """Return an OCTET STRING element."""
    return Node(UNIVERSAL, OCTET_STRING, value.encode() if isinstance(value, str) else value)


def sequence(*nodes: Node) -> Node:
    """Return a SEQUENCE of elements."""
    return Node(UNIVERSAL, SEQUENCE, list(nodes))


def set_of(*nodes: Node) -> Node:
    """Return a SET of elements."""
    return Node(UNIVERSAL, SET, list(nodes))


def application(number: int, *nodes: Node) -> Node:
    """Return a constructed element of the application class."""
    return Node(APPLICATION, number, list(nodes))


def context(number: int, *nodes: Node) -> Node:
    """Return a constructed element of the context class."""
    return Node(CONTEXT, number, list(nodes))


def context_octets(number: int, value: str | bytes) -> Node:
    """Return a primitive element of the context class."""
    return Node(CONTEXT, number, value.encode() if isinstance(value, str) else value)


def encode(node: Node) -> bytes:
    """Return the bytes of an element."""
    encoder = asn1.Encoder()
    encoder.start()
    _write(encoder, node)
    data: bytes = encoder.output()
    return data


def decode(data: bytes) -> Node:
    """Return the first element of the bytes."""
    decoder = asn1.Decoder()
    decoder.start(data)
    return _read_level(decoder)[0]


def wrap_sequence(content: bytes) -> bytes:
    """Return the bytes of a SEQUENCE whose elements are already encoded in ``content``."""
    if len(content) < LONG_FORM:
        return bytes((SEQUENCE_OCTET, len(content))) + content
    length = len(content).to_bytes((len(content).bit_length() + 7) // 8)
    return bytes((SEQUENCE_OCTET, LONG_FORM | len(length))) + length + content


def frame_length(data: bytes | bytearray) -> int | None:
    """Return the length in bytes of the first element and its header, None while the header is incomplete."""
    if len(data) < 2:
        return None
    if data[1] < LONG_FORM:
        return 2 + data[1]
    octet_count = data[1] & ~LONG_FORM
    if len(data) < 2 + octet_count:
        return None
    return 2 + octet_count + int.from_bytes(data[2 : 2 + octet_count])


def _read_level(decoder: asn1.Decoder) -> list[Node]:
    """Return all remaining elements at the decoder's current level, with the elements inside them."""
    nodes: list[Node] = []
    while (tag := decoder.peek()) is not None:
        if tag.typ == asn1.Types.Constructed:
            decoder.enter()
            nodes.append(Node(tag.cls, tag.nr, _read_level(decoder)))
            decoder.leave()
        else:
            nodes.append(Node(tag.cls, tag.nr, decoder.read()[1]))
    return nodes


def _write(encoder: asn1.Encoder, node: Node) -> None:
    tag_class, number, value = node
    if isinstance(value, list):
        encoder.enter(number, tag_class)
        for inner in value:
            _write(encoder, inner)
        encoder.leave()
    elif tag_class == UNIVERSAL:
        encoder.write(value, number)
    else:
        encoder.write(value, number, asn1.Types.Primitive, tag_class)
