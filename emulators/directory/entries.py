"""The entries of the directory, and the filters that select them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from emulators.directory import ber
from emulators.directory.ber import Node
from emulators.directory.protocol import Operation


@dataclass(slots=True)
class Entry:
    """An entry of the directory, and the number of its last change."""

    dn: str
    uuid: bytes
    attributes: dict[str, list[str]]
    change_number: int
    encoded: bytes = b""

    def node(self) -> Node:
        """Return the entry as a search result with all attributes."""
        attributes = [
            ber.sequence(ber.octets(name), ber.set_of(*(ber.octets(value) for value in values)))
            for name, values in self.attributes.items()
        ]
        return ber.application(Operation.SEARCH_RESULT_ENTRY, ber.octets(self.dn), ber.sequence(*attributes))

    def name_node(self) -> Node:
        """Return the entry as a search result without its attributes."""
        return ber.application(Operation.SEARCH_RESULT_ENTRY, ber.octets(self.dn), ber.sequence())

    def encode(self) -> bytes:
        """Return the bytes of the search result, cached because clients read large trees repeatedly."""
        self.encoded = self.encoded or ber.encode(self.node())
        return self.encoded


class FilterKind(IntEnum):
    """Context tags of the kinds of filters that the emulator supports (RFC 4511, section 4.5.1)."""

    AND = 0
    OR = 1
    NOT = 2
    EQUALITY = 3
    SUBSTRINGS = 4
    PRESENT = 7


class SubstringKind(IntEnum):
    """Context tags of the parts of a substring filter (RFC 4511, section 4.5.1)."""

    INITIAL = 0
    ANY = 1
    FINAL = 2


def matches(filter_node: Node, entry: Entry) -> bool:
    """Return whether a filter matches an entry; a filter of an unsupported kind matches none."""
    _, kind, value = filter_node
    match kind:
        case FilterKind.AND | FilterKind.OR:
            quantifier = all if kind == FilterKind.AND else any
            return quantifier(matches(inner, entry) for inner in value)
        case FilterKind.NOT:
            return not matches(value[0], entry)
        case FilterKind.PRESENT:
            name = value.decode().lower()
            return name == "objectclass" or name in {key.lower() for key in entry.attributes}
        case FilterKind.EQUALITY:
            wanted = value[1].value.decode().lower()
            return wanted in _values(entry, value[0])
        case FilterKind.SUBSTRINGS:
            parts = [(part.number, part.value.decode().lower()) for part in value[1].value]
            return any(_has_substrings(text, parts) for text in _values(entry, value[0]))
    return False


def _values(entry: Entry, name: Node) -> list[str]:
    """Return the values of the named attribute in lower case; attribute names are case-insensitive."""
    wanted = name.value.decode().lower()
    return [
        value.lower() for key, values in entry.attributes.items() if key.lower() == wanted for value in values
    ]


def _has_substrings(text: str, parts: Iterable[tuple[int, str]]) -> bool:
    """Return whether a text contains the parts of a substring filter, in order and without overlap."""
    position = 0
    for kind, part in parts:
        if kind == SubstringKind.INITIAL and not text.startswith(part):
            return False
        if kind == SubstringKind.FINAL:
            return len(text) - position >= len(part) and text.endswith(part)
        found = text.find(part, position)
        if found < 0:
            return False
        position = found + len(part)
    return True
