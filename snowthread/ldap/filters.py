"""Search filters as text (RFC 4515), parsed by lark into the trees that the schema encodes."""

from __future__ import annotations

import re
from functools import cache
from itertools import pairwise
from typing import Any

from lark import Lark, Transformer
from lark.exceptions import LarkError, UnexpectedInput, VisitError

from snowthread.ldap.messages import FilterTree
from snowthread.ldap.text_errors import FilterError

MAX_TEXT_LENGTH = 16 * 1024
MAX_DEPTH = 16

_GRAMMAR = r"""
start: filter
?filter: "(" _inside ")"
_inside: all | any | negated | test | extensible
all: "&" filter*
any: "|" filter*
negated: "!" filter
test: HEAD (VALUE | STAR)*
extensible: MATCHING VALUE?
HEAD: /[A-Za-z0-9][A-Za-z0-9.\-;]*(?:~=|>=|<=|=)/
MATCHING: /(?:[A-Za-z0-9][A-Za-z0-9.\-;]*)?(?::[Dd][Nn])?(?::[A-Za-z0-9.\-]+)?:=/
STAR: "*"
VALUE: /(?:[^()*\\\x00]|\\[0-9A-Fa-f]{2})+/
"""
_ESCAPED = re.compile(rb"\\([0-9A-Fa-f]{2})")
_KIND = {"~=": "approxMatch", ">=": "greaterOrEqual", "<=": "lessOrEqual", "=": "equalityMatch"}


def parse(text: str) -> FilterTree:
    """Return the tree of a filter.

    Raises:
        FilterError: The text is no filter; the error says where.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise FilterError(f"longer than {MAX_TEXT_LENGTH} characters")
    if _nesting_depth(text) > MAX_DEPTH:
        raise FilterError(f"nested deeper than {MAX_DEPTH}")
    try:
        tree: FilterTree = _FilterBuilder().transform(_parser().parse(text))
    except UnexpectedInput as error:
        raise FilterError("can't be read", error.column) from None
    except VisitError as error:
        raise FilterError(str(error.orig_exc)) from None
    except LarkError as error:
        raise FilterError(str(error)) from None
    return tree


def _nesting_depth(text: str) -> int:
    depth = 0
    deepest = 0
    for character in text:
        depth += (character == "(") - (character == ")")
        deepest = max(deepest, depth)
    return deepest


def escape(value: bytes | str) -> str:
    """Return a value as it is written in a filter (RFC 4515, section 3)."""
    octets = value.encode() if isinstance(value, str) else value
    return "".join(
        chr(octet) if 0x20 < octet < 0x7F and octet not in b"*()\\" else f"\\{octet:02x}" for octet in octets
    )


def equality_filter(attribute: str, value: str) -> FilterTree:
    """Return the filter for entries with this value."""
    return "equalityMatch", {"attributeDesc": attribute.encode(), "assertionValue": value.encode()}


@cache
def _parser() -> Lark:
    return Lark(_GRAMMAR, parser="lalr", lexer="contextual")


def _unescape(text: str) -> bytes:
    return _ESCAPED.sub(lambda match: bytes([int(match[1], 16)]), text.encode())


class _FilterBuilder(Transformer[Any, FilterTree]):
    """Builds a filter's tree; each method is named for its rule of the grammar."""

    def start(self, parts: list[Any]) -> FilterTree:
        tree: FilterTree = parts[0]
        return tree

    def all(self, parts: list[Any]) -> FilterTree:
        return "and", parts

    def any(self, parts: list[Any]) -> FilterTree:
        return "or", parts

    def negated(self, parts: list[Any]) -> FilterTree:
        return "not", parts[0]

    def test(self, parts: list[Any]) -> FilterTree:
        head = str(parts[0])
        rest = parts[1:]
        sign = head[-2:] if head[-2:] in _KIND else "="
        attribute = head[: -len(sign)].encode()
        if not any(token.type == "STAR" for token in rest):
            value = _unescape("".join(rest))
            return _KIND[sign], {"attributeDesc": attribute, "assertionValue": value}
        if sign != "=":
            raise FilterError(f"a star behind {sign}")
        if len(rest) == 1:
            return "present", attribute
        return "substrings", {"type": attribute, "substrings": _substrings(rest)}

    def extensible(self, parts: list[Any]) -> FilterTree:
        words = str(parts[0])[:-2].split(":")
        matching: dict[str, Any] = {"matchValue": _unescape(str(parts[1])) if len(parts) > 1 else b""}
        if words[0]:
            matching["type"] = words[0].encode()
        rest = words[1:]
        if rest and rest[0].lower() == "dn":
            matching["dnAttributes"] = True
            rest = rest[1:]
        if rest:
            matching["matchingRule"] = rest[0].encode()
        if "type" not in matching and "matchingRule" not in matching:
            raise FilterError("neither an attribute nor a rule")
        return "extensibleMatch", matching


def _substrings(tokens: list[Any]) -> list[tuple[str, bytes]]:
    """Return the substrings of a value with stars: initial, those between stars (any), and final.

    Raises:
        FilterError: Two stars have nothing between them.
    """
    stars = [index for index, token in enumerate(tokens) if token.type == "STAR"]
    if any(second - first == 1 for first, second in pairwise(stars)):
        raise FilterError("two stars with nothing between them")
    substrings = []
    for index, token in enumerate(tokens):
        if token.type == "VALUE":
            kind = "initial" if index < stars[0] else "final" if index > stars[-1] else "any"
            substrings.append((kind, _unescape(token)))
    return substrings
