"""MessagePack framing: unpackers with limits, and size checks of messages that are not complete yet.

Sans-I/O. The meaning of a message is decoded in :mod:`.codec`.
"""

from __future__ import annotations

import msgpack

READ_BYTES = 8 * 1024  # most bytes read from a connection per round, so that a flood delays no other peer
MAX_MESSAGE_BYTES = 16 * 1024  # size limit of a message; a valid request with body and fields is smaller
MAX_CONTAINER_ITEMS = 64  # limit of the entries of one list or map
MAX_MESSAGE_NUMBER = 2**32 - 1  # message numbers are unsigned 32-bit integers

# Format bytes of the MessagePack specification at the boundaries of ranges with a common encoding.
FIXSTR_FIRST = 0xA0  # a fixstr's length is its format byte minus this one
FIXSTR_LAST = 0xBF  # the format byte of the longest fixstr, which has 31 bytes
EXT8 = 0xC7  # ext 8 to ext 32 have a type byte between the length and the data
EXT32 = 0xC9  # the last of the formats ext 8, ext 16 and ext 32
ARRAY16 = 0xDC  # the length field of array 16 and higher formats counts items, of lower ones bytes

# Size in bytes of the big-endian length field that follows a format byte.
_LENGTH_FIELD_BYTES = {
    0xC4: 1,  # bin 8
    0xC5: 2,  # bin 16
    0xC6: 4,  # bin 32
    EXT8: 1,
    0xC8: 2,  # ext 16
    EXT32: 4,
    0xD9: 1,  # str 8
    0xDA: 2,  # str 16
    0xDB: 4,  # str 32
    ARRAY16: 2,
    0xDD: 4,  # array 32
    0xDE: 2,  # map 16
    0xDF: 4,  # map 32
}

# Size in bytes of the value that follows a format byte without a length field.
_FIXED_VALUE_BYTES = {
    0xCA: 4,  # float 32
    0xCB: 8,  # float 64
    0xCC: 1,  # uint 8
    0xCD: 2,  # uint 16
    0xCE: 4,  # uint 32
    0xCF: 8,  # uint 64
    0xD0: 1,  # int 8
    0xD1: 2,  # int 16
    0xD2: 4,  # int 32
    0xD3: 8,  # int 64
    0xD4: 2,  # fixext 1: a type byte and the data
    0xD5: 3,  # fixext 2
    0xD6: 5,  # fixext 4
    0xD7: 9,  # fixext 8
    0xD8: 17,  # fixext 16
}


def unpacker_for_read() -> msgpack.Unpacker:
    """Return an unpacker for the bytes of one read.

    Each read uses a new unpacker, and a partial message is buffered as plain bytes, so that hundreds of idle
    connections hold no unpackers. :func:`announces_oversized_value` checks announced lengths before the
    content is buffered. Strings that are not UTF-8, and map keys of any type, are accepted here: they must
    invalidate only their own message, not end the stream.
    """
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES + READ_BYTES,
        read_size=READ_BYTES,
        max_bin_len=MAX_MESSAGE_BYTES,
        max_str_len=MAX_MESSAGE_BYTES,
        max_ext_len=MAX_MESSAGE_BYTES,
        max_array_len=MAX_CONTAINER_ITEMS,
        max_map_len=MAX_CONTAINER_ITEMS,
        strict_map_key=False,
        unicode_errors="surrogateescape",
    )


def announces_oversized_value(partial_message: bytes) -> bool:
    """Return whether a partial message announces a value above the limits.

    This reads the format bytes itself, because msgpack checks a length only once the content has arrived.
    """
    position = 0
    while position < len(partial_message):
        head = partial_message[position]
        position += 1
        length_bytes = _LENGTH_FIELD_BYTES.get(head, 0)
        if not length_bytes:
            position += _inline_value_bytes(head)
            continue
        length_end = position + length_bytes
        announced = int.from_bytes(partial_message[position:length_end])
        is_container = head >= ARRAY16
        limit = MAX_CONTAINER_ITEMS if is_container else MAX_MESSAGE_BYTES
        if length_end <= len(partial_message) and announced > limit:
            return True
        position = length_end
        if not is_container:  # the items of a container start with format bytes of their own
            position += announced + (EXT8 <= head <= EXT32)
    return False


def _inline_value_bytes(head: int) -> int:
    """Return the size in bytes of the value that follows a format byte without a length field."""
    if FIXSTR_FIRST <= head <= FIXSTR_LAST:
        return head - FIXSTR_FIRST
    return _FIXED_VALUE_BYTES.get(head, 0)


def is_message_number(value: object) -> bool:
    """Return whether a value is a valid message number, which is an unsigned 32-bit integer."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_MESSAGE_NUMBER
