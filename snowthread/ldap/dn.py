"""Distinguished names as text (RFC 4514), parsed by lark and compared the way directories do.

Two names are the same if their parts are, with types and values compared without regard to case and with runs
of spaces as one (what caseIgnoreMatch does, RFC 4517 section 4.2.11): for finding out whether an entry lies
below a base that is enough.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache, lru_cache

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

MAX_TEXT_LENGTH = 4096

_GRAMMAR = r"""
start: (rdn ("," rdn)*)?
rdn: part ("+" part)*
part: TYPE VALUE?
TYPE: / *(?:[A-Za-z][A-Za-z0-9\-]*|[0-9]+(?:\.[0-9]+)*) *= */
VALUE: /#(?:[0-9A-Fa-f]{2})+|(?:[^",+;<>\\\x00#]|\\[ "#+,;<=>\\]|\\[0-9A-Fa-f]{2})(?:[^",+;<>\\\x00]|\\[ "#+,;<=>\\]|\\[0-9A-Fa-f]{2})*/
"""  # noqa: E501
_ESCAPE = re.compile(rb"\\(?:([0-9A-Fa-f]{2})|(.))", re.DOTALL)
_SPACES = re.compile(r"\s+")


class DnError(ValueError):
    """A text that is no distinguished name."""


@dataclass(frozen=True, slots=True)
class DistinguishedName:
    """A name: its parts, the nearest first, each a set of (type, value) pairs, normalised."""

    parts: tuple[frozenset[tuple[str, str]], ...]

    def is_below(self, base: DistinguishedName) -> bool:
        """Is it the base or anything under it?"""
        size = len(base.parts)
        return len(self.parts) >= size and (size == 0 or self.parts[-size:] == base.parts)

    @property
    def key(self) -> str:
        """One text for all spellings of the name."""
        return ",".join("+".join(sorted(f"{t}={_escape(v)}" for t, v in part)) for part in self.parts)


def is_plainly_below(text: str, base: DistinguishedName) -> bool:
    """Does the text end in the base as it would be written plainly? True is certain; False: parse it. For
    entries by the thousand, of which a parser would take most of the time."""
    end, lower = base.key, text.lower()
    return (
        bool(end)
        and lower.endswith(end)
        and lower[-len(end) - 1 : -len(end)] == ","
        and (lower[-len(end) - 2 : -len(end) - 1] != "\\")
    )


@cache
def _parser() -> Lark:
    return Lark(_GRAMMAR, parser="lalr", lexer="contextual")


@lru_cache(maxsize=4096)
def parse(text: str) -> DistinguishedName:
    """The name that a text means; DnError where it is none."""
    if len(text) > MAX_TEXT_LENGTH:
        raise DnError(f"longer than {MAX_TEXT_LENGTH} characters")
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise DnError(f"can't be read at character {error.column}") from None
    return DistinguishedName(
        tuple(
            frozenset(_pair(part) for part in rdn.children if isinstance(part, Tree))
            for rdn in tree.children
            if isinstance(rdn, Tree)
        )
    )


def _pair(part: Tree[Token]) -> tuple[str, str]:
    kind, *values = (str(child) for child in part.children)
    return kind.strip(" =").lower(), _normal(values[0]) if values else ""


def _normal(text: str) -> str:
    if text.startswith("#"):
        return text.lower()
    if text.endswith(" ") and not text.endswith("\\ "):
        text = text.rstrip(" ")
    octets = _ESCAPE.sub(lambda m: bytes([int(m[1], 16)]) if m[1] else m[2], text.encode())
    return _SPACES.sub(" ", octets.decode(errors="surrogateescape")).strip().casefold()


def _escape(value: str) -> str:
    return re.sub(r'([",+;<>\\=#])', r"\\\1", value)
