"""Computes settings while serving: after a reload, and while a peer process shares the limits.

Pure: the handlers are in :mod:`snowthread.core.settings_reload`.
"""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission.settings import RequestClass, Settings
from snowthread.core.events import PeerLoadReported
from snowthread.core.state import AdmissionClock

MIN_REMAINING_SHARE = 0.01  # of a limit: 0 would mean that there is no limit


def retention_ms(request_class: RequestClass) -> float:
    """Return how long after its removal attempts of a class may still arrive."""
    longest_s = max(request_class.deadline_s, request_class.idempotency_window_s)
    return AdmissionClock.duration_ms(longest_s)


def remaining_limits(settings: Settings, peer_load: PeerLoadReported) -> Settings:
    """Return the settings less what the peer process uses of the runtime's limits.

    The cores, the memory and the downstream calls are shared by both processes: either would fill them alone.
    """
    return replace(
        settings,
        memory_kb=max(settings.memory_kb * MIN_REMAINING_SHARE, settings.memory_kb - peer_load.memory_kb),
        collapse_multiple=max(1.0, settings.collapse_multiple - peer_load.runs / settings.cores),
        call_quota=max(settings.call_quota * MIN_REMAINING_SHARE, settings.call_quota - peer_load.calls),
    )


def merge_settings(
    old: Settings, new: Settings, retired_until_ms: dict[str, float], now_ms: float
) -> Settings:
    """Return the new settings with the classes in the places that they have in the old ones.

    A class that the new settings lack stays in its place, for balancers learn late and open requests keep
    their class. ``retired_until_ms`` says until when it is served, and is brought up to date. After that its
    place is free for another class, so that the list does not grow with each reload. Whether the runtime
    started cold is not for the configuration to say.
    """
    wanted = {c.name: c for c in new.classes}
    for name in [name for name in retired_until_ms if name in wanted]:
        del retired_until_ms[name]
    places = [wanted.get(c.name, c) for c in old.classes]
    for old_class in old.classes:
        if old_class.name not in wanted:
            retired_until_ms.setdefault(old_class.name, now_ms + retention_ms(old_class))
    known = {c.name for c in places}
    free = [index for index, c in enumerate(places) if retired_until_ms.get(c.name, now_ms) < now_ms]
    for new_class in new.classes:
        if new_class.name in known:
            continue
        if free:
            index = free.pop(0)
            del retired_until_ms[places[index].name]
            places[index] = new_class
        else:
            places.append(new_class)
    return replace(new, classes=tuple(places), starts_cold=old.starts_cold)
