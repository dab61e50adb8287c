"""The ``site`` block of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from snowthread.hcl import Block
from snowthread.sites.shedding import SiteRanges

MAX_HOME_BLOCKS = 64


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """The site this node belongs to, and the ranges of balancers' numbers of every site."""

    site_ranges: SiteRanges

    def summary(self) -> str:
        """Return one line for operators that says what is on."""
        sites = ", ".join(self.site_ranges.ranges)
        return f"site {self.site_ranges.own_site}: clients of {sites} are identified by their balancers"


class _AssignedRange(NamedTuple):
    """A range of balancers' numbers, both ends included, and the site that it was assigned to."""

    first: int
    last: int
    site: str


def read_site_settings(block: Block) -> SiteSettings:
    """Check the block and return its settings; ConfigError names the key that cannot be used."""
    own_site = block.text("name")
    assigned: list[_AssignedRange] = []
    for home in block.blocks("home", MAX_HOME_BLOCKS):
        site = home.text("name")
        for text in home.text_list("balancers"):
            assigned.append(_read_range(home, text, site, assigned))
        home.reject_unknown_keys()
    block.reject_unknown_keys()
    ranges: dict[str, list[tuple[int, int]]] = {}
    for first, last, site in assigned:
        ranges.setdefault(site, []).append((first, last))
    if own_site not in ranges:
        raise block.error("name", f"no block 'home' has the balancers of {own_site!r}")
    return SiteSettings(SiteRanges(own_site, ranges))


def _read_range(home: Block, text: str, site: str, assigned: list[_AssignedRange]) -> _AssignedRange:
    """Read ``"7"`` or ``"3-5"``; ConfigError where it is no range, or overlaps one of another site."""
    low, dash, high = text.partition("-")
    first = _read_number(home, low)
    last = _read_number(home, high) if dash else first
    if last < first:
        raise home.error("balancers", f"{text!r} ends before it begins")
    for other in assigned:
        if other.site != site and first <= other.last and other.first <= last:
            raise home.error("balancers", f"{text!r} is another's too: {other.site}")
    return _AssignedRange(first, last, site)


def _read_number(home: Block, text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise home.error("balancers", f"{text!r} is no number")
    return int(text)
