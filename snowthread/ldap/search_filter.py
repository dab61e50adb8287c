"""Search filters as typed values, with the names of RFC 4511 (section 4.5.1.7)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class And:
    """Matches if all filters match; without filters it always matches (RFC 4526)."""

    filters: tuple[Filter, ...]


@dataclass(frozen=True, slots=True)
class Or:
    """Matches if at least one filter matches; without filters it never matches (RFC 4526)."""

    filters: tuple[Filter, ...]


@dataclass(frozen=True, slots=True)
class Not:
    """Matches if the filter does not match."""

    filter: Filter


class ComparisonKind(Enum):
    """The kind of a comparison; the enum values are the ASN.1 names of the choices in ``Filter``."""

    EQUALITY = "equalityMatch"
    GREATER_OR_EQUAL = "greaterOrEqual"
    LESS_OR_EQUAL = "lessOrEqual"
    APPROX = "approxMatch"


@dataclass(frozen=True, slots=True)
class Comparison:
    """Matches if a value of the attribute compares with the assertion value as ``kind`` says."""

    kind: ComparisonKind
    attribute_desc: bytes
    assertion_value: bytes


class SubstringKind(Enum):
    """The position of a substring in a value; the enum values are the ASN.1 names of the choices."""

    INITIAL = "initial"
    ANY = "any"
    FINAL = "final"


@dataclass(frozen=True, slots=True)
class Substring:
    """One substring and its position."""

    kind: SubstringKind
    value: bytes


@dataclass(frozen=True, slots=True)
class Substrings:
    """Matches if a value of the attribute contains these substrings in this order."""

    attribute_desc: bytes
    substrings: tuple[Substring, ...]


@dataclass(frozen=True, slots=True)
class Present:
    """Matches if the entry has the attribute."""

    attribute_desc: bytes


@dataclass(frozen=True, slots=True)
class ExtensibleMatch:
    """Matches if a value matches by a matching rule; without an attribute, any that the rule applies to."""

    match_value: bytes
    matching_rule: bytes | None = None
    attribute_desc: bytes | None = None
    dn_attributes: bool = False  # whether the attributes in the entry's distinguished name are tested too


Filter = And | Or | Not | Comparison | Substrings | Present | ExtensibleMatch
