"""Other settings while serving: which classes there are from now on, and where each has its place."""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission.settings import RequestClass, Settings

S_MS = 1000.0
LEAST = 0.01  # of a limit that is left at least: none at all would pass for no limit


def retention_ms(kind: RequestClass) -> float:
    """How long after a class is dropped a try of what was begun under it may still come."""
    return max(kind.deadline_s, kind.idempotency_window_s) * S_MS


def remaining_limits(settings: Settings, runs: int, memory_kb: float, calls: int) -> Settings:
    """What is left of the runtime's limits while another process has so much of it: the crowd on the cores,
    the memory and the calls below are one for both, and either would else fill them alone."""
    return replace(
        settings,
        memory_kb=max(settings.memory_kb * LEAST, settings.memory_kb - memory_kb),
        collapse_multiple=max(1.0, settings.collapse_multiple - runs / settings.cores),
        call_quota=max(settings.call_quota * LEAST, settings.call_quota - calls),
    )


def merge_settings(old: Settings, new: Settings, gone: dict[str, float], now: float) -> Settings:
    """The new settings with the classes in the places that they have in the old ones. A class that the new
    ones lack stays where it is, for balancers learn late and what is open keeps its class; ``gone`` says
    until when (ms) it is taken, and is brought up to date. Its place is another's once that is over, so that
    the list does not grow with each file. Whether the runtime started cold is no matter of the file."""
    wanted = {c.name: c for c in new.classes}
    for name in [name for name in gone if name in wanted]:
        del gone[name]
    places = [wanted.get(c.name, c) for c in old.classes]
    for kind in old.classes:
        if kind.name not in wanted:
            gone.setdefault(kind.name, now + retention_ms(kind))
    known = {c.name for c in places}
    free = [n for n, c in enumerate(places) if gone.get(c.name, now) < now]
    for kind in new.classes:
        if kind.name in known:
            continue
        if free:
            n = free.pop(0)
            del gone[places[n].name]
            places[n] = kind
        else:
            places.append(kind)
    return replace(new, classes=tuple(places), starts_cold=old.starts_cold)
