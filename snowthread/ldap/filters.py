"""Parse the text of search filters (RFC 4515) with lark into typed values."""

from __future__ import annotations

import re
from functools import cache
from itertools import pairwise
from typing import Any

from lark import Lark, Transformer
from lark.exceptions import LarkError, UnexpectedInput, VisitError

from snowthread.ldap.search_filter import (
    And,
    Comparison,
    ComparisonKind,
    ExtensibleMatch,
    Filter,
    Not,
    Or,
    Present,
    Substring,
    SubstringKind,
    Substrings,
)
from snowthread.ldap.text_errors import FilterError

MAX_TEXT_LENGTH = 16 * 1024
MAX_DEPTH = 16

_GRAMMAR = r"""
start: filter
?filter: "(" _inside ")"
_inside: all | any | negated | item | extensible
all: "&" filter*
any: "|" filter*
negated: "!" filter
item: HEAD (VALUE | STAR)*
extensible: MATCHING VALUE?
HEAD: /[A-Za-z0-9][A-Za-z0-9.\-;]*(?:~=|>=|<=|=)/
MATCHING: /(?:[A-Za-z0-9][A-Za-z0-9.\-;]*)?(?::[Dd][Nn])?(?::[A-Za-z0-9.\-]+)?:=/
STAR: "*"
VALUE: /(?:[^()*\\\x00]|\\[0-9A-Fa-f]{2})+/
"""
_ESCAPED = re.compile(rb"\\([0-9A-Fa-f]{2})")
_COMPARISON_KINDS = {
    "~=": ComparisonKind.APPROX,
    ">=": ComparisonKind.GREATER_OR_EQUAL,
    "<=": ComparisonKind.LESS_OR_EQUAL,
    "=": ComparisonKind.EQUALITY,
}


def parse(text: str) -> Filter:
    """Parse the text of a search filter.

    Raises:
        FilterError: The text is not a search filter; the error says at which character if that is known.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise FilterError(f"longer than {MAX_TEXT_LENGTH} characters")
    if _nesting_depth(text) > MAX_DEPTH:
        raise FilterError(f"nested deeper than {MAX_DEPTH} levels")
    try:
        parsed: Filter = _FilterBuilder().transform(_parser().parse(text))
    except UnexpectedInput as error:
        raise FilterError("not a valid search filter", error.column) from None
    except VisitError as error:
        raise FilterError(str(error.orig_exc)) from None
    except LarkError as error:
        raise FilterError(str(error)) from None
    return parsed


def _nesting_depth(text: str) -> int:
    depth = 0
    deepest = 0
    for character in text:
        depth += (character == "(") - (character == ")")
        deepest = max(deepest, depth)
    return deepest


def escape(value: bytes | str) -> str:
    """Return a value escaped for use in the text of a filter (RFC 4515, section 3)."""
    octets = value.encode() if isinstance(value, str) else value
    return "".join(
        chr(octet) if 0x20 < octet < 0x7F and octet not in b"*()\\" else f"\\{octet:02x}" for octet in octets
    )


def equality_filter(attribute: str, value: str) -> Filter:
    """Return the filter for entries in which the attribute has this value."""
    return Comparison(ComparisonKind.EQUALITY, attribute.encode(), value.encode())


@cache
def _parser() -> Lark:
    return Lark(_GRAMMAR, parser="lalr", lexer="contextual")


def _unescape(text: str) -> bytes:
    return _ESCAPED.sub(lambda match: bytes([int(match[1], 16)]), text.encode())


class _FilterBuilder(Transformer[Any, Filter]):
    """Builds the filter from the parse tree; each method handles the grammar rule of the same name."""

    def start(self, parts: list[Any]) -> Filter:
        outermost: Filter = parts[0]
        return outermost

    def all(self, parts: list[Any]) -> Filter:
        return And(tuple(parts))

    def any(self, parts: list[Any]) -> Filter:
        return Or(tuple(parts))

    def negated(self, parts: list[Any]) -> Filter:
        return Not(parts[0])

    def item(self, parts: list[Any]) -> Filter:
        head = str(parts[0])
        rest = parts[1:]
        operator = head[-2:] if head[-2:] in _COMPARISON_KINDS else "="
        attribute = head[: -len(operator)].encode()
        if not any(token.type == "STAR" for token in rest):
            value = _unescape("".join(rest))
            return Comparison(_COMPARISON_KINDS[operator], attribute, value)
        if operator != "=":
            raise FilterError(f"* is not allowed after {operator}")
        if len(rest) == 1:
            return Present(attribute)
        return Substrings(attribute, _substrings(rest))

    def extensible(self, parts: list[Any]) -> Filter:
        attribute, *rest = str(parts[0]).removesuffix(":=").split(":")
        value = _unescape(str(parts[1])) if len(parts) > 1 else b""
        dn_attributes = bool(rest) and rest[0].lower() == "dn"
        rules = rest[1:] if dn_attributes else rest
        if not attribute and not rules:
            raise FilterError("extensible match without attribute and matching rule")
        return ExtensibleMatch(
            match_value=value,
            matching_rule=rules[0].encode() if rules else None,
            attribute_desc=attribute.encode() if attribute else None,
            dn_attributes=dn_attributes,
        )


def _substrings(tokens: list[Any]) -> tuple[Substring, ...]:
    """Return the initial, inner and final substrings of a value that contains stars.

    Raises:
        FilterError: Two stars are adjacent.
    """
    stars = [index for index, token in enumerate(tokens) if token.type == "STAR"]
    if any(second - first == 1 for first, second in pairwise(stars)):
        raise FilterError("two adjacent stars are not allowed")
    substrings = []
    for index, token in enumerate(tokens):
        if token.type == "VALUE":
            if index < stars[0]:
                kind = SubstringKind.INITIAL
            elif index > stars[-1]:
                kind = SubstringKind.FINAL
            else:
                kind = SubstringKind.ANY
            substrings.append(Substring(kind, _unescape(token)))
    return tuple(substrings)
