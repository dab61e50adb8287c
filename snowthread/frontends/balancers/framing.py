"""MessagePack framing: where a message ends, and limits on what is buffered and unpacked.

Sans-I/O. The meaning of a message is decoded in :mod:`.codec`. The format bytes are those of the MessagePack
specification.
"""

from __future__ import annotations

from typing import NamedTuple

import msgpack

READ_BYTES = 8 * 1024  # most bytes read from a connection per round, so that a flood delays no other peer
MAX_MESSAGE_BYTES = 16 * 1024  # size limit of a message; a valid request with body and fields is smaller
MAX_CONTAINER_ITEMS = 64  # limit of the entries of one list or map
# Limit of the values in a message, those in its lists and maps included; a valid request has fewer than 150.
MAX_MESSAGE_VALUES = 512
MAX_MESSAGE_NUMBER = 2**32 - 1  # message numbers are unsigned 32-bit integers

UNUSED_FORMAT = 0xC1  # the only byte that is no format byte
_FIXMAP_FORMATS = range(0x80, 0x90)  # the format byte includes the number of entries
_FIXARRAY_FORMATS = range(0x90, 0xA0)  # the format byte includes the number of items
_FIXSTR_FORMATS = range(0xA0, 0xC0)  # the format byte includes the length in bytes
_EXT_TYPE_BYTES = 1  # extension values have a type byte between the length and the data


class _Format(NamedTuple):
    """What follows a format byte."""

    content_bytes: int = 0  # size of the content, without what the length field announces
    items: int = 0  # number of values that a list or map of fixed length contains
    length_bytes: int = 0  # size of the big-endian length field; 0 if there is none
    items_per_length: int = 0  # values per entry that the length field counts; 0 if it counts bytes


_FORMATS_WITH_LENGTH = {
    0xC4: _Format(length_bytes=1),  # bin 8
    0xC5: _Format(length_bytes=2),  # bin 16
    0xC6: _Format(length_bytes=4),  # bin 32
    0xC7: _Format(_EXT_TYPE_BYTES, length_bytes=1),  # ext 8
    0xC8: _Format(_EXT_TYPE_BYTES, length_bytes=2),  # ext 16
    0xC9: _Format(_EXT_TYPE_BYTES, length_bytes=4),  # ext 32
    0xD9: _Format(length_bytes=1),  # str 8
    0xDA: _Format(length_bytes=2),  # str 16
    0xDB: _Format(length_bytes=4),  # str 32
    0xDC: _Format(length_bytes=2, items_per_length=1),  # array 16
    0xDD: _Format(length_bytes=4, items_per_length=1),  # array 32
    0xDE: _Format(length_bytes=2, items_per_length=2),  # map 16
    0xDF: _Format(length_bytes=4, items_per_length=2),  # map 32
}
_FORMATS_OF_FIXED_SIZE = {
    0xCA: _Format(4),  # float 32
    0xCB: _Format(8),  # float 64
    0xCC: _Format(1),  # uint 8
    0xCD: _Format(2),  # uint 16
    0xCE: _Format(4),  # uint 32
    0xCF: _Format(8),  # uint 64
    0xD0: _Format(1),  # int 8
    0xD1: _Format(2),  # int 16
    0xD2: _Format(4),  # int 32
    0xD3: _Format(8),  # int 64
    0xD4: _Format(_EXT_TYPE_BYTES + 1),  # fixext 1
    0xD5: _Format(_EXT_TYPE_BYTES + 2),  # fixext 2
    0xD6: _Format(_EXT_TYPE_BYTES + 4),  # fixext 4
    0xD7: _Format(_EXT_TYPE_BYTES + 8),  # fixext 8
    0xD8: _Format(_EXT_TYPE_BYTES + 16),  # fixext 16
}


def _format(byte: int) -> _Format:
    if byte in _FIXSTR_FORMATS:
        return _Format(byte - _FIXSTR_FORMATS.start)
    if byte in _FIXARRAY_FORMATS:
        return _Format(items=byte - _FIXARRAY_FORMATS.start)
    if byte in _FIXMAP_FORMATS:
        return _Format(items=2 * (byte - _FIXMAP_FORMATS.start))
    # The other formats consist of the format byte alone.
    return _FORMATS_WITH_LENGTH.get(byte) or _FORMATS_OF_FIXED_SIZE.get(byte) or _Format()


_FORMATS = tuple(_format(byte) for byte in range(256))

# For each format byte, the number of its items, and the size of its value with the byte but not the items.
# The size is 0 if a length field follows, and for the byte that is no format byte.
_ITEMS = tuple(found.items for found in _FORMATS)
_VALUE_SIZES = tuple(
    0 if found.length_bytes or byte == UNUSED_FORMAT else 1 + found.content_bytes
    for byte, found in enumerate(_FORMATS)
)


class FramingError(ValueError):
    """The bytes of a message are not MessagePack or exceed a limit."""


class MessageScanner:
    """Finds the end of a message whose bytes arrive in pieces.

    Each value is looked at once, however small the pieces are: a peer that sends byte by byte costs no more
    than one that sends all at once. Announced lengths are checked before their content is buffered.
    """

    __slots__ = ("_position", "_values", "_values_left")

    def __init__(self) -> None:
        self._begin_message()

    def _begin_message(self) -> None:
        self._position = 0  # of the next format byte, from the start of the message; it may be yet to arrive
        self._values = 1  # values of the message that are known of: read, or announced by a list or map
        self._values_left = 1  # of these, those whose format byte was not read yet

    def scan(self, data: bytes, start: int) -> int | None:
        """Continue with a message and return its length, or None if its end has not arrived yet.

        Bytes that are not MessagePack or exceed a limit raise FramingError.

        Args:
            data: the bytes that have arrived; until the end was found, ``data[start:]`` has to begin with the
                bytes of the call before.
            start: where the message begins.
        """
        position = start + self._position
        values = self._values
        values_left = self._values_left
        available = len(data)
        while values_left and position < available and values <= MAX_MESSAGE_VALUES:
            byte = data[position]
            size = _VALUE_SIZES[byte]
            items = _ITEMS[byte]
            if not size:
                size, items = _read_length_field(data, position)
                if not size:
                    break
            position += size
            values += items
            values_left += items - 1
        _check_limit(values, MAX_MESSAGE_VALUES, "values in a message")
        self._position = position - start
        self._values = values
        self._values_left = values_left
        if values_left or position > available:
            _check_limit(available - start, MAX_MESSAGE_BYTES, "bytes in a message")
            return None
        length = self._position
        _check_limit(length, MAX_MESSAGE_BYTES, "bytes in a message")
        self._begin_message()
        return length


def _read_length_field(data: bytes, position: int) -> tuple[int, int]:
    """Return the size of a value with a length field, without its items, and the number of its items.

    The size is 0 if the length field has not arrived yet.

    Raises:
        FramingError: the byte at ``position`` is no format byte, or the length exceeds a limit.
    """
    if data[position] == UNUSED_FORMAT:
        raise FramingError(f"{UNUSED_FORMAT:#x} is not a format byte")
    content_bytes, _, length_bytes, items_per_length = _FORMATS[data[position]]
    content_at = position + 1 + length_bytes
    if content_at > len(data):
        return 0, 0
    length = int.from_bytes(data[position + 1 : content_at])
    if items_per_length:
        _check_limit(length, MAX_CONTAINER_ITEMS, "entries in a list or map")
        return 1 + length_bytes, length * items_per_length
    _check_limit(length, MAX_MESSAGE_BYTES, "bytes in a value")
    return 1 + length_bytes + content_bytes + length, 0


def _check_limit(count: int, limit: int, what: str) -> None:
    if count > limit:
        raise FramingError(f"{count} {what}, the limit is {limit}")


def unpack(message: bytes) -> object:
    """Return the value of one complete message.

    Strings that are not UTF-8, and map keys of any type, are accepted here: they must invalidate only their
    own message, not end the stream.

    Raises:
        FramingError: the bytes have no value, such as a map with a list as a key.
    """
    try:
        value: object = msgpack.unpackb(message, strict_map_key=False, unicode_errors="surrogateescape")
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
        raise FramingError(str(error)) from None
    return value


def unpack_if_short(data: bytes) -> object | None:
    """Return the value of ``data`` if it is one complete message of at most ``MAX_MESSAGE_VALUES`` bytes.

    So short a message is within all limits but that of its lists and maps, and need not be scanned. Most
    messages are short and arrive alone. For all else, also for an invalid message, the result is None.
    """
    if len(data) > MAX_MESSAGE_VALUES:
        return None
    try:
        value: object = msgpack.unpackb(
            data,
            strict_map_key=False,
            unicode_errors="surrogateescape",
            max_array_len=MAX_CONTAINER_ITEMS,
            max_map_len=MAX_CONTAINER_ITEMS,
        )
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException):
        return None
    return value


def is_message_number(value: object) -> bool:
    """Return whether a value is a valid message number, which is an unsigned 32-bit integer."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_MESSAGE_NUMBER
