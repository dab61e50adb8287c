"""Distinguished names as text (RFC 4514), parsed by lark and compared as directories do.

Two names are equal if their parts are, with types and values compared without regard to case and with runs
of spaces as one (caseIgnoreMatch, RFC 4517, section 4.2.11). That is enough to decide whether an entry lies
below a base.
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
rdn: part ("+" part)*
part: TYPE VALUE?
TYPE: / *(?:[A-Za-z][A-Za-z0-9\-]*|[0-9]+(?:\.[0-9]+)*) *= */
VALUE: /#(?:[0-9A-Fa-f]{2})+|(?:[^",+;<>\\\x00#]|\\[ "#+,;<=>\\]|\\[0-9A-Fa-f]{2})(?:[^",+;<>\\\x00]|\\[ "#+,;<=>\\]|\\[0-9A-Fa-f]{2})*/
"""  # noqa: E501
_ESCAPE = re.compile(rb"\\(?:([0-9A-Fa-f]{2})|(.))", re.DOTALL)
_WHITESPACE = re.compile(r"\s+")


class _AttributeValue(NamedTuple):
    """One attribute of a part of a name."""

    type: str
    value: str


@dataclass(frozen=True, slots=True)
class DistinguishedName:
    """A name, normalised: its parts, the nearest first, each a set of attributes."""

    parts: tuple[frozenset[_AttributeValue], ...]

    def is_below(self, base: DistinguishedName) -> bool:
        """Return whether this is the base or lies below it."""
        size = len(base.parts)
        return len(self.parts) >= size and (size == 0 or self.parts[-size:] == base.parts)

    @property
    def key(self) -> str:
        """The same text for all spellings of the name."""
        return ",".join(
            "+".join(sorted(f"{each.type}={_escape(each.value)}" for each in part)) for part in self.parts
        )


def ends_with_base(text: str, base: DistinguishedName) -> bool:
    """Return whether the text ends in the base as it is usually written.

    True is certain; after False the name has to be parsed. For thousands of entries the parser would
    otherwise take most of the time.
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
    """Return the name that a text stands for.

    Raises:
        DnError: The text is no distinguished name.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise DnError(f"longer than {MAX_TEXT_LENGTH} characters")
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise DnError("can't be read", error.column) from None
    return DistinguishedName(
        tuple(
            frozenset(_read_attribute(part) for part in rdn.children if isinstance(part, Tree))
            for rdn in tree.children
            if isinstance(rdn, Tree)
        )
    )


def _read_attribute(part: Tree[Token]) -> _AttributeValue:
    attribute_type, *values = (str(child) for child in part.children)
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
