"""Search filters as typed values, under the names of RFC 4511 (section 4.5.1.7)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class And:
    """All of these match; an empty one always does (RFC 4526)."""

    filters: tuple[Filter, ...]


@dataclass(frozen=True, slots=True)
class Or:
    """At least one of these matches; an empty one never does (RFC 4526)."""

    filters: tuple[Filter, ...]


@dataclass(frozen=True, slots=True)
class Not:
    """This does not match."""

    filter: Filter


class ComparisonKind(Enum):
    """How a value is compared; the values are the names of the filter's choices."""

    EQUALITY = "equalityMatch"
    GREATER_OR_EQUAL = "greaterOrEqual"
    LESS_OR_EQUAL = "lessOrEqual"
    APPROX = "approxMatch"


@dataclass(frozen=True, slots=True)
class Comparison:
    """A value of the attribute compares so with the assertion value."""

    kind: ComparisonKind
    attribute_desc: bytes
    assertion_value: bytes


class SubstringKind(Enum):
    """Where a substring stands in the value; the values are the names of the choices."""

    INITIAL = "initial"
    ANY = "any"
    FINAL = "final"


@dataclass(frozen=True, slots=True)
class Substring:
    """One substring and where it stands."""

    kind: SubstringKind
    value: bytes


@dataclass(frozen=True, slots=True)
class Substrings:
    """A value of the attribute has these substrings, in this order."""

    attribute_desc: bytes
    substrings: tuple[Substring, ...]


@dataclass(frozen=True, slots=True)
class Present:
    """The entry has the attribute."""

    attribute_desc: bytes


@dataclass(frozen=True, slots=True)
class ExtensibleMatch:
    """A value matches by a matching rule, of one attribute or of all that the rule applies to."""

    match_value: bytes
    matching_rule: bytes | None = None
    attribute_desc: bytes | None = None
    dn_attributes: bool = False  # the attributes of the entry's name count too


Filter = And | Or | Not | Comparison | Substrings | Present | ExtensibleMatch
