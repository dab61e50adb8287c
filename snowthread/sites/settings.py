"""Settings of the sites feature, read from the block ``site`` of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from snowthread.hcl import Block
from snowthread.sites.shedding import SiteBalancers

MAX_HOME_BLOCKS = 64


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """The site that this node belongs to, and the balancer numbers of every site."""

    site_balancers: SiteBalancers

    def summary(self) -> str:
        """Return one line that describes the settings to operators."""
        sites = ", ".join(self.site_balancers.ranges)
        return f"site {self.site_balancers.own_site}; sites with configured balancers: {sites}"


class _AssignedRange(NamedTuple):
    """An inclusive range of balancer numbers, and the site that it is assigned to."""

    first: int
    last: int
    site: str


def read_site_settings(block: Block) -> SiteSettings:
    """Read and check the ``site`` block; a :class:`BlockKeyError` names the key that is invalid."""
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
        raise block.error("name", f"no block 'home' is named {own_site!r}, the site of this node")
    return SiteSettings(SiteBalancers(own_site, ranges))


def _read_range(home: Block, text: str, site: str, assigned: list[_AssignedRange]) -> _AssignedRange:
    """Parse a number like ``"7"`` or a range like ``"3-5"``.

    A :class:`BlockKeyError` is raised if the text is not a range, or overlaps a range of another site.
    """
    low, dash, high = text.partition("-")
    first = _read_number(home, low)
    last = _read_number(home, high) if dash else first
    if last < first:
        raise home.error("balancers", f"range {text!r} ends before it begins")
    for other in assigned:
        if other.site != site and first <= other.last and other.first <= last:
            raise home.error("balancers", f"range {text!r} overlaps a range of site {other.site}")
    return _AssignedRange(first, last, site)


def _read_number(home: Block, text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise home.error("balancers", f"{text!r} is not a whole number")
    return int(text)
