"""Other settings while serving: which classes there are from now on, and where each has its place."""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission.settings import RequestClass, Settings
from snowthread.core.events import PeerLoadReported

S_MS = 1000.0
LEAST = 0.01  # of a limit that is left at least: none at all would pass for no limit


def retention_ms(kind: RequestClass) -> float:
    """How long after a class is dropped a try of what was begun under it may still come."""
    return max(kind.deadline_s, kind.idempotency_window_s) * S_MS


def remaining_limits(settings: Settings, peer_load: PeerLoadReported) -> Settings:
    """Return the settings less what the peer process uses of the runtime's limits.

    The cores, the memory and the downstream calls are shared by both processes: either would fill them alone.
    """
    return replace(
        settings,
        memory_kb=max(settings.memory_kb * LEAST, settings.memory_kb - peer_load.memory_kb),
        collapse_multiple=max(1.0, settings.collapse_multiple - peer_load.runs / settings.cores),
        call_quota=max(settings.call_quota * LEAST, settings.call_quota - peer_load.calls),
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
