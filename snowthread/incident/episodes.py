"""Stretches unlike the rest, and events that belong together. Free of I/O, and it knows no story.

A figure's usual level is its median over all seconds told, its spread the median distance from that: both
hold as long as trouble fills less than half of the records. An episode begins where the figure lies beyond
its upper mark for some seconds in a row and ends where it has been under the lower one for some; both marks
lie many spreads away, so that chance does not make one in hundreds of quiet days.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from snowthread.incident.series import Event, Key, Row, Series

CITES = 6  # records cited for one episode: the first of them and the last
BEGIN_S, END_S = 3, 4  # seconds in a row beyond a mark that begin an episode, and end it
DEPLOY_GAP_MS = 90_000.0  # between two nodes of one rolling deploy
GONE_MS = 5_000.0  # a node that says nothing for so long, while others do, is gone

SLOW_DATABASE, TRAFFIC, DEPLOY, RESTART, CRASH, DIRECTORY, BAD_CLIENTS, LINK, TURNED_AWAY = (
    "slow database",
    "traffic jump",
    "rolling deploy",
    "restart",
    "crash",
    "directory outage",
    "bad clients",
    "runtime link lost",
    "turned away",
)
CAUSES = (SLOW_DATABASE, TRAFFIC, DEPLOY, RESTART, CRASH, DIRECTORY, BAD_CLIENTS, LINK)


@dataclass(frozen=True, slots=True)
class Episode:
    """Something that went on, from ``start`` to ``end`` (ms; None: the records end first). ``bound``: how far
    off the start may be. ``size`` is in ``unit``; ``cites`` are the records it rests on."""

    kind: str
    start: float
    end: float | None
    bound: float
    nodes: tuple[str, ...]
    size: float
    unit: str
    cites: tuple[Key, ...]
    seconds: int = 0  # how many records show it


def find(series: Series) -> list[Episode]:
    """All episodes, by their start."""
    first, last = series.span
    out = [*_deploys(series), *_crashes(series, last), *_outages(series), *_links(series)]
    if last - first >= 2 * BEGIN_S:
        out += _figures(series, first, last)
    return sorted(out, key=lambda e: (e.start, e.kind))


# Figures by the second.


def _figures(series: Series, first: int, last: int) -> list[Episode]:
    seconds = range(first, last + 1)
    rows: dict[int, dict[str, Row]] = {s: {} for s in seconds}
    for node, by_second in series.rows.items():
        for s, row in by_second.items():
            rows[s][node] = row
    bound = max((e.bound for e in series.events if math.isfinite(e.bound)), default=0.0)

    def total(s: int, what: str) -> float:
        return float(sum(getattr(row, what) for row in rows[s].values()))

    read = {s: total(s, "read") for s in seconds if rows[s]}
    calls = {s: total(s, "calls") for s in read}
    length = {s: sum(r.call_ms * r.calls for r in rows[s].values()) / calls[s] for s in read if calls[s] >= 3}
    away = {s: total(s, "refused") + total(s, "failed") + total(s, "late") for s in read}
    nonsense = {s: total(s, "nonsense") for s in read}
    out = []
    if length:
        usual, spread = _usual(length.values())
        high = max(2.0 * usual, usual + 8.0 * spread, usual + 10.0)
        out += _stretches(
            SLOW_DATABASE,
            length,
            high,
            max(1.4 * usual, usual + 4.0 * spread),
            rows,
            bound,
            lambda v: v / max(usual, 1.0),
            "times the usual length of a call",
            "calls",
        )
    usual, spread = _usual(read.values())
    spread = max(spread, math.sqrt(max(usual, 1.0)))
    high, low = max(1.3 * usual, usual + 5.0 * spread), usual + 2.5 * spread
    out += _stretches(
        TRAFFIC,
        read,
        high,
        low,
        rows,
        bound,
        lambda v: v / max(usual, 1.0),
        "times the usual requests",
        "read",
    )
    part = {s: away[s] / read[s] for s in read if read[s] >= 5}
    if part:
        usual, spread = _usual(part.values())
        noise = 3.0 * math.sqrt(0.05 / max(median(read.values()), 1.0))
        high = usual + max(0.05 + noise, 6.0 * spread)
        out += _stretches(
            TURNED_AWAY,
            part,
            high,
            usual + (high - usual) / 2.0,
            rows,
            bound,
            lambda v: 100.0 * v,
            "% of what was read was not served in its aim",
            "refused",
        )
    out += _stretches(
        BAD_CLIENTS,
        nonsense,
        max(5.0, 0.05 * _usual(read.values())[0]),
        2.0,
        rows,
        bound,
        lambda v: v,
        "requests a second of classes that nobody knows",
        "nonsense",
    )
    return out


def _usual(values: Iterable[float]) -> tuple[float, float]:
    numbers = sorted(values)
    middle = median(numbers)
    return middle, 1.4826 * median(abs(v - middle) for v in numbers)


def _stretches(
    kind: str,
    figure: Mapping[int, float],
    high: float,
    low: float,
    rows: Mapping[int, Mapping[str, Row]],
    bound: float,
    size: Callable[[float], float],
    unit: str,
    shows: str,
) -> list[Episode]:
    out: list[Episode] = []
    begun: int | None = None
    over, under = 0, 0
    seconds = sorted(figure)
    for s in [*seconds, None]:
        if s is not None:
            over = over + 1 if figure[s] > high else 0
            under = under + 1 if figure[s] <= low else 0
        if begun is None and over >= BEGIN_S and s is not None:
            begun, under = s - BEGIN_S + 1, 0
        elif begun is not None and (s is None or under >= END_S):
            stop = seconds[-1] if s is None else s - END_S
            inside = [x for x in seconds if begun <= x <= stop]
            worst = sorted((figure[x] for x in inside), reverse=True)[: max(1, len(inside) // 4)]
            nodes = sorted({n for x in inside for n, r in rows[x].items() if getattr(r, shows)})
            cites = [
                r.key
                for x in (inside[:2] + inside[-1:])
                for _, r in sorted(rows[x].items())
                if getattr(r, shows)
            ][:CITES]
            lasts = s is None and under < END_S and figure[stop] > low
            out.append(
                Episode(
                    kind,
                    begun * 1000.0,
                    None if lasts else (stop + 1) * 1000.0,
                    1000.0 + bound,
                    tuple(nodes),
                    size(median(worst)),
                    unit,
                    tuple(cites),
                    len(inside),
                )
            )
            begun, over = None, 0
    return out


# Events.


def _deploys(series: Series) -> list[Episode]:
    """Nodes told to leave one after the other, each with a successor: a deploy; one alone: a restart."""
    drains = [e for e in series.events if e.record.kind == "drain"]
    out: list[Episode] = []
    chain: list[Event] = []
    for event in [*drains, None]:
        if event is not None and (not chain or event.at - chain[-1].at <= DEPLOY_GAP_MS):
            chain.append(event)
            continue
        if chain:
            out.append(_deploy(series, chain))
        chain = [event] if event is not None else []
    return out


def _deploy(series: Series, chain: Sequence[Event]) -> Episode:
    nodes = tuple(sorted({e.record.node for e in chain}))
    cites: list[Key] = [e.record.key for e in chain]
    ends = []
    for event in chain:
        node, boot = event.record.node, event.record.boot
        if (node, boot) in series.ends:
            cites.append(series.ends[node, boot])
            ends.append(series.boots[node, boot][1])
        after = sorted(
            (span[0], b)
            for (n, b), span in series.boots.items()
            if n == node and b != boot and span[0] > event.at
        )
        if after and (node, after[0][1]) in series.starts:
            cites.append(series.starts[node, after[0][1]])
            ends.append(after[0][0])
    kind = DEPLOY if len(nodes) > 1 else RESTART
    return Episode(
        kind,
        chain[0].at,
        max(ends) if ends else None,
        chain[0].bound,
        nodes,
        float(len(nodes)),
        "nodes were told to leave",
        tuple(cites[: CITES * 4]),
        len(chain),
    )


def _crashes(series: Series, last: int) -> list[Episode]:
    """Boots without an end whose node speaks again, or falls silent while others go on."""
    out = []
    for (node, boot), (_, end) in series.boots.items():
        if (node, boot) in series.ends or (node, boot) not in series.lasts:
            continue
        after = sorted(
            (span[0], b)
            for (n, b), span in series.boots.items()
            if n == node and b != boot and span[0] >= end - 1000.0
        )
        if not after and last * 1000.0 - end < GONE_MS:
            continue  # the records simply end here
        cites = [series.lasts[node, boot]]
        if after and (node, after[0][1]) in series.starts:
            cites.append(series.starts[node, after[0][1]])
        out.append(
            Episode(
                CRASH,
                end,
                after[0][0] if after else None,
                1000.0,
                (node,),
                1.0,
                "node ended without a word",
                tuple(cites),
                1,
            )
        )
    return out


def _outages(series: Series) -> list[Episode]:
    """From the first link to the directory that was lost to the next refresh, over all nodes."""
    opened: dict[str, Event] = {}
    spans: list[tuple[float, float | None, Event, Event | None]] = []
    for event in series.events:
        word = event.record.fields.get("event")
        node = event.record.node
        if word == "tenants.link_lost":
            opened.setdefault(node, event)
        elif word == "tenants.refreshed" and node in opened:
            began = opened.pop(node)
            spans.append((began.at, event.at, began, event))
    spans += [(e.at, None, e, None) for e in opened.values()]
    out: list[Episode] = []
    group: list[tuple[float, float | None, Event, Event | None]] = []
    for span in [*sorted(spans, key=lambda x: x[0]), None]:
        if span is not None and (
            not group or any(e is None or span[0] <= e + 5000.0 for _, e, _, _ in group)
        ):
            group.append(span)
            continue
        if group:
            ends = [e for _, e, _, _ in group]
            cites = [e.record.key for _, _, a, b in group for e in (a, b) if e is not None]
            out.append(
                Episode(
                    DIRECTORY,
                    group[0][0],
                    None if None in ends else max(e for e in ends if e),
                    group[0][2].bound,
                    tuple(sorted({a.record.node for _, _, a, _ in group})),
                    float(len(group)),
                    "links to the directory were lost",
                    tuple(cites[:CITES]),
                    len(group),
                )
            )
        group = [span] if span is not None else []
    return out


def _links(series: Series) -> list[Episode]:
    out, opened = [], dict[tuple[str, str], Event]()
    for event in series.events:
        r = event.record
        if r.kind != "link":
            continue
        boot = r.node, r.boot
        if not r.fields.get("up"):
            opened.setdefault(boot, event)
        elif boot in opened:
            began = opened.pop(boot)
            out.append(_link(began, event))
    return out + [_link(e, None) for e in opened.values()]


def _link(began: Event, ended: Event | None) -> Episode:
    cites = [e.record.key for e in (began, ended) if e is not None]
    end = None if ended is None else ended.at
    return Episode(
        LINK,
        began.at,
        end,
        began.bound,
        (began.record.node,),
        1.0,
        "link to the runtime was lost",
        tuple(cites),
        1,
    )
