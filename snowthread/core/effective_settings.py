"""The settings in effect while serving: after a reload, and while a peer process uses part of the limits.

Pure: the handlers are in :mod:`snowthread.core.settings_changes`.
"""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission.settings import RequestClass, Settings
from snowthread.core.events import PeerLoadReported
from snowthread.core.state import AdmissionClock

MIN_REMAINING_RATIO = 0.01  # of a limit: 0 would mean that there is no limit
MIN_COLLAPSE_MULTIPLE = 1.0


def retention_ms(request_class: RequestClass) -> float:
    """Return how long (ms) after its removal attempts of a class may still arrive."""
    longest_s = max(request_class.deadline_s, request_class.idempotency_window_s)
    return AdmissionClock.duration_ms(longest_s)


def remaining_limits(settings: Settings, peer_load: PeerLoadReported) -> Settings:
    """Return the settings less what the peer process uses of the runtime's limits.

    The cores, the memory and the downstream calls are shared by both processes: either would fill them alone.
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
    """Return the new settings with the classes at the positions that they have in the old ones.

    A class that the new settings lack stays at its position, for balancers learn of the change late and open
    requests are still of this class. ``retired_until_ms`` says until when (Unix ms) each such class is
    served; it is updated in place. After that the position is free for another class, so that the list does
    not grow with each reload. Whether the runtime started cold is not for the configuration to say.
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
    """Retire the classes that the new settings lack, and take those that they have out of retirement."""
    for name in [name for name in retired_until_ms if name in new_by_name]:
        del retired_until_ms[name]
    for old_class in old.classes:
        if old_class.name not in new_by_name:
            retired_until_ms.setdefault(old_class.name, now_ms + retention_ms(old_class))
