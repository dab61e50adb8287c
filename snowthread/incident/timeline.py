"""From episodes to sentences, each with its records. Free of I/O; what no record says is not said.

Order: two episodes are said to be one before the other only where their starts lie further apart than both
bounds together. Cause: something turned away is put down to another episode only where that began before or
with it and goes on or ended just before; where two qualify, both are named and the records are said not to
tell which.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from snowthread.incident.clocks import Clocks
from snowthread.incident.episodes import (
    CAUSES,
    CRASH,
    DEPLOY,
    DIRECTORY,
    LINK,
    RESTART,
    SLOW_DATABASE,
    TRAFFIC,
    TURNED_AWAY,
    Episode,
    find,
)
from snowthread.incident.series import Key, Series

AFTER_MS = 5_000.0  # so long after its end a cause may still be felt
KNOWN_FOR = {SLOW_DATABASE, TRAFFIC, DEPLOY, RESTART, CRASH}  # what can turn requests away


@dataclass(frozen=True, slots=True)
class Sentence:
    """One thing to say. ``confidence``: high, medium or low."""

    at: float
    text: str
    cites: tuple[Key, ...]
    confidence: str
    kind: str
    episode: Episode


@dataclass(frozen=True, slots=True)
class Timeline:
    """All there is to say, in order, and what is not known."""

    sentences: tuple[Sentence, ...]
    unknown: tuple[str, ...]
    quiet: bool


def before(a: Episode, b: Episode) -> bool | None:
    """Did a begin before b? None: the clocks do not tell."""
    if abs(a.start - b.start) <= a.bound + b.bound:
        return None
    return a.start < b.start


def causes(effect: Episode, episodes: Sequence[Episode]) -> list[Episode]:
    """What may have brought it about."""
    return [
        e
        for e in episodes
        if e.kind in KNOWN_FOR
        and before(e, effect) is not False
        and (e.end is None or e.end + AFTER_MS + e.bound >= effect.start)
    ]


def build_timeline(series: Series, clocks: Clocks) -> Timeline:
    """The story of these records."""
    episodes = find(series)
    sentences = tuple(
        Sentence(e.start, _text(e, episodes), _cites(e, episodes), _confidence(e), e.kind, e)
        for e in episodes
    )
    return Timeline(
        sentences,
        tuple(_unknown(series, clocks)),
        not any(e.kind in CAUSES or e.kind == TURNED_AWAY for e in episodes),
    )


def _cites(e: Episode, episodes: Sequence[Episode]) -> tuple[Key, ...]:
    if e.kind != TURNED_AWAY:
        return e.cites
    return e.cites + tuple(key for cause in causes(e, episodes) for key in cause.cites[:2])


def _confidence(e: Episode) -> str:
    if e.kind in (DEPLOY, RESTART, CRASH, LINK, DIRECTORY):
        return "high" if len(e.cites) > 1 else "medium"
    return "high" if e.seconds >= 8 else "medium" if e.seconds >= 4 else "low"


def _names(nodes: Sequence[str]) -> str:
    return ", ".join(nodes[:6]) + (f" and {len(nodes) - 6} more" if len(nodes) > 6 else "")


def _lasted(e: Episode) -> str:
    return "; its end is not in the records" if e.end is None else f", for {(e.end - e.start) / 1000.0:.0f} s"


def _text(e: Episode, episodes: Sequence[Episode]) -> str:
    match e.kind:
        case "slow database":
            return f"Calls to the index took {e.size:.1f} times their usual length{_lasted(e)}."
        case "traffic jump":
            return f"{e.size:.1f} times the usual requests came{_lasted(e)}."
        case "rolling deploy":
            return (
                f"{len(e.nodes)} nodes were told to leave, one after the other ({_names(e.nodes)})"
                f"{_lasted(e)}."
            )
        case "restart":
            return f"{e.nodes[0]} was told to leave{_lasted(e)}."
        case "crash":
            back = (
                "it has not come back in the records"
                if e.end is None
                else (f"it came back after {(e.end - e.start) / 1000.0:.0f} s")
            )
            return f"{e.nodes[0]} ended without a word; {back}."
        case "directory outage":
            return f"{_names(e.nodes)} lost the directory of tenants{_lasted(e)}."
        case "bad clients":
            return f"{e.size:.0f} requests a second were of classes that nobody knows{_lasted(e)}."
        case "runtime link lost":
            return f"{e.nodes[0]} lost its link to the runtime{_lasted(e)}."
    text = f"{e.size:.0f} % of what was read was turned away, failed or late{_lasted(e)}."
    found = causes(e, episodes)
    if not found:
        return f"{text} The records show no cause."
    names = " and the ".join(dict.fromkeys(c.kind for c in found))
    if len({c.kind for c in found}) > 1:
        return f"{text} It came with the {names}; the records do not tell which of them brought it about."
    order = all(before(c, e) for c in found)
    return f"{text} It {'followed' if order else 'came with'} the {names}."


def _unknown(series: Series, clocks: Clocks) -> list[str]:
    out = []
    groups = {o.group for o in clocks.offsets.values()}
    if len(groups) > 1:
        out.append(
            f"The clocks of {len(groups)} groups of nodes are linked by nothing in the records; what "
            "happened in one is not ordered against another more finely than their own clocks say."
        )
    if series.lost:
        out.append(f"{series.lost} records are known to be missing.")
    if series.left_out:
        out.append(f"{series.left_out} events were left out here: too many to keep.")
    for (node, boot), (_, end) in sorted(series.boots.items()):
        if (node, boot) not in series.ends:
            out.append(f"How {node} (boot {boot}) ended is not in its records.")
            del end
    return out
