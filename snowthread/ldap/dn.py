"""Parse distinguished names (RFC 4514) with lark, and compare them as directories do.

Two names are equal if their relative distinguished names (RDNs) are equal. Attribute types and values compare
without regard to case, and a run of spaces counts as one space (caseIgnoreMatch, RFC 4517, section 4.2.11).
This is sufficient to decide whether an entry is below a search base.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache, lru_cache
from typing import NamedTuple

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

from snowthread.ldap.text_errors import DnError

MAX_TEXT_LENGTH = 4096

_GRAMMAR = r"""
start: (rdn ("," rdn)*)?
rdn: attribute ("+" attribute)*
attribute: TYPE VALUE?
TYPE: / *(?:[A-Za-z][A-Za-z0-9\-]*|[0-9]+(?:\.[0-9]+)*) *= */
VALUE: /#(?:[0-9A-Fa-f]{2})+|(?:[^",+;<>\\\x00#]|\\[ "#+,;<=>\\]|\\[0-9A-Fa-f]{2})(?:[^",+;<>\\\x00]|\\[ "#+,;<=>\\]|\\[0-9A-Fa-f]{2})*/
"""  # noqa: E501
_ESCAPE = re.compile(rb"\\(?:([0-9A-Fa-f]{2})|(.))", re.DOTALL)
_WHITESPACE = re.compile(r"\s+")


class _AttributeValue(NamedTuple):
    """One attribute type and its value, in an RDN."""

    type: str
    value: str


@dataclass(frozen=True, slots=True)
class DistinguishedName:
    """A normalised distinguished name: its RDNs from the entry to the root, each a set of attributes."""

    rdns: tuple[frozenset[_AttributeValue], ...]

    def is_below(self, base: DistinguishedName) -> bool:
        """Return whether this name equals the base or is below it."""
        size = len(base.rdns)
        return len(self.rdns) >= size and (size == 0 or self.rdns[-size:] == base.rdns)

    @property
    def key(self) -> str:
        """The canonical text of the name, which is the same for all its spellings."""
        return ",".join(
            "+".join(sorted(f"{each.type}={_escape(each.value)}" for each in rdn)) for rdn in self.rdns
        )


def ends_with_base(text: str, base: DistinguishedName) -> bool:
    """Return whether the text ends with the canonical text of the base.

    If so, the name is below the base. If not, it may still be below it in another spelling and has to be
    parsed. This check avoids the parser, which would take most of the time for thousands of entries.
    """
    suffix = base.key
    lower = text.lower()
    if not suffix or not lower.endswith(suffix):
        return False
    prefix = lower[: -len(suffix)]
    return prefix.endswith(",") and not prefix.endswith("\\,")


@cache
def _parser() -> Lark:
    return Lark(_GRAMMAR, parser="lalr", lexer="contextual")


@lru_cache(maxsize=4096)
def parse(text: str) -> DistinguishedName:
    """Parse the text of a distinguished name.

    Raises:
        DnError: The text is not a distinguished name.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise DnError(f"longer than {MAX_TEXT_LENGTH} characters")
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise DnError("not a valid distinguished name", error.column) from None
    return DistinguishedName(
        tuple(
            frozenset(_read_attribute(attribute) for attribute in rdn.children if isinstance(attribute, Tree))
            for rdn in tree.children
            if isinstance(rdn, Tree)
        )
    )


def _read_attribute(attribute: Tree[Token]) -> _AttributeValue:
    attribute_type, *values = (str(child) for child in attribute.children)
    return _AttributeValue(attribute_type.strip(" =").lower(), _normalise(values[0]) if values else "")


def _normalise(text: str) -> str:
    if text.startswith("#"):
        return text.lower()
    if text.endswith(" ") and not text.endswith("\\ "):
        text = text.rstrip(" ")
    octets = _ESCAPE.sub(_unescape_octet, text.encode())
    return _WHITESPACE.sub(" ", octets.decode(errors="surrogateescape")).strip().casefold()


def _unescape_octet(match: re.Match[bytes]) -> bytes:
    return bytes([int(match[1], 16)]) if match[1] else match[2]


def _escape(value: str) -> str:
    return re.sub(r'([",+;<>\\=#])', r"\\\1", value)
