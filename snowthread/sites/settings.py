"""The block ``site`` of the operator's file, checked."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.operator.hcl import Block
from snowthread.sites.shedding import SiteRanges

MAX_HOME_BLOCKS = 64


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Which site this node is of, and whose clients the balancers' numbers stand for."""

    site_ranges: SiteRanges

    def summary(self) -> str:
        """For people: what is on."""
        others = ", ".join(self.site_ranges.ranges)
        return f"site {self.site_ranges.own_site}: clients of {others} are told by their balancers"


def _number(block: Block, text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise block.wrong("balancers", f"{text!r} is no number")
    return int(text)


def read_site_settings(block: Block) -> SiteSettings:
    """Check the block; ConfigError names the key that can't be used."""
    me = block.text("name")
    ranges: dict[str, list[tuple[int, int]]] = {}
    taken: list[tuple[int, int, str]] = []
    for home in block.blocks("home", MAX_HOME_BLOCKS):
        name = home.text("name")
        for text in home.texts("balancers"):
            low, dash, high = text.partition("-")
            first = _number(home, low)
            last = _number(home, high) if dash else first
            if last < first:
                raise home.wrong("balancers", f"{text!r} ends before it begins")
            clash = next((other for a, b, other in taken if first <= b and a <= last and other != name), None)
            if clash is not None:
                raise home.wrong("balancers", f"{text!r} is another's too: {clash}")
            taken.append((first, last, name))
            ranges.setdefault(name, []).append((first, last))
        home.done()
    block.done()
    if me not in ranges:
        raise block.wrong("name", f"no block 'home' has the balancers of {me!r}")
    return SiteSettings(SiteRanges(me, ranges))
