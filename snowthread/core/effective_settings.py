"""Computes the settings in effect after a reload, and while a peer process uses part of the limits.

These functions have no side effects, except that they update the times of retired classes that are passed in.
The event handlers are in :mod:`snowthread.core.settings_changes`.
"""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission.settings import RequestClass, Settings
from snowthread.core.events import PeerLoadReported
from snowthread.core.state import AdmissionClock

# Least remaining share of a limit. A process would reject every request with a memory limit of 0, and make no
# calls with a call quota of 0.
MIN_REMAINING_RATIO = 0.01
MIN_COLLAPSE_MULTIPLE = 1.0


def retention_ms(request_class: RequestClass) -> float:
    """Return for how many ms after the removal of a class its attempts may still arrive."""
    longest_s = max(request_class.deadline_s, request_class.idempotency_window_s)
    return AdmissionClock.duration_ms(longest_s)


def remaining_limits(settings: Settings, peer_load: PeerLoadReported) -> Settings:
    """Return the settings with the limits reduced by what the peer process uses of them.

    Both processes share the cores, the memory and the downstream calls of the runtime. Without the reduction
    each process would use the limits in full.
    """
    return replace(
        settings,
        memory_kb=max(settings.memory_kb * MIN_REMAINING_RATIO, settings.memory_kb - peer_load.memory_kb),
        collapse_multiple=max(
            MIN_COLLAPSE_MULTIPLE, settings.collapse_multiple - peer_load.runs / settings.cores
        ),
        call_quota=max(settings.call_quota * MIN_REMAINING_RATIO, settings.call_quota - peer_load.calls),
    )


def merge_settings(
    old: Settings, new: Settings, retired_until_ms: dict[str, float], now_ms: float
) -> Settings:
    """Return the new settings, with the classes at the positions that they have in the old settings.

    A class that the new settings lack is retired: it stays at its position for some time, because balancers
    learn of the change late and open requests still belong to the class. After that its position can be
    reused for another class, so that the list does not grow with each reload. ``starts_cold`` is kept from
    the old settings because the runtime reports it and the configuration can't.

    Args:
        old: the settings in effect.
        new: the reloaded settings.
        retired_until_ms: the Unix time in ms until which each retired class is served; updated in place.
        now_ms: the current Unix time in ms.
    """
    new_by_name = {c.name: c for c in new.classes}
    _update_retired_classes(old, new_by_name, retired_until_ms, now_ms)
    merged = [new_by_name.get(c.name, c) for c in old.classes]
    merged_names = {c.name for c in merged}
    free = [index for index, c in enumerate(merged) if retired_until_ms.get(c.name, now_ms) < now_ms]
    for new_class in new.classes:
        if new_class.name in merged_names:
            continue
        if free:
            index = free.pop(0)
            del retired_until_ms[merged[index].name]
            merged[index] = new_class
        else:
            merged.append(new_class)
    return replace(new, classes=tuple(merged), starts_cold=old.starts_cold)


def _update_retired_classes(
    old: Settings, new_by_name: dict[str, RequestClass], retired_until_ms: dict[str, float], now_ms: float
) -> None:
    """Retire the classes that the new settings lack, and reinstate the retired classes that they contain."""
    for name in [name for name in retired_until_ms if name in new_by_name]:
        del retired_until_ms[name]
    for old_class in old.classes:
        if old_class.name not in new_by_name:
            retired_until_ms.setdefault(old_class.name, now_ms + retention_ms(old_class))
