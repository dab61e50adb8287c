"""The table of keys: which try holds a key, until when, and how its run ended."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

RESULTS_MAX = 24 * 2**20  # bytes of results kept; past it the oldest go first and their repeats fail
READ_LATE_MS = 8_000.0  # a repeat that came within the window may be read so much later


def key_digest(once: str) -> bytes:
    """A key in 16 bytes, for what outlives the process."""
    return blake2b(once.encode(), digest_size=16).digest()


@dataclass(slots=True)
class Key:
    """One entry. ``result`` is None until the run went through."""

    once: str
    number: int
    uid: str
    until: float
    content: bytes  # a digest of what was asked: another body under the same key is no repeat
    over: bool = False
    result: bytes | None = None
    away: bool = False  # held by the process beside this one, not by a request here
    class_name: str = ""  # empty where it is held elsewhere and not known
    followers: list[int] = field(default_factory=list)  # repeats here that wait for what becomes of it there


class Unknown:
    """Keys that an earlier life of this node may have run: what became of them nobody knows, so they are
    never run within their windows. Blind: which they are is not known either, so it is any."""

    def __init__(self, keys: dict[bytes, float], blind_until: float) -> None:
        self._keys, self.blind_until = keys, blind_until
        self.ends = max([blind_until, *keys.values()])

    def __len__(self) -> int:
        return len(self._keys)

    def holds(self, once: str, at: float) -> bool:
        """May a request with this key that came at this time be a repeat of one that ran?"""
        return at < self.blind_until or (at < self.ends and at < self._keys.get(key_digest(once), 0.0))


class KeyTable:
    """Entries by key, by try and by run. An entry leaves at its time or when it is forgotten, never because
    an answer went out or a caller left: a repeat must find what ran, whatever became of its first try."""

    def __init__(self, results_max: int = RESULTS_MAX) -> None:
        self._results_max = results_max
        self._by_once: dict[str, Key] = {}
        self._by_number: dict[int, Key] = {}
        self._by_uid: dict[str, Key] = {}
        self._ends: list[tuple[float, int]] = []
        self._results: OrderedDict[int, int] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._by_number)

    def keep(self, once: str, number: int, uid: str, until: float, now: float, content: bytes = b"",
             away: bool = False, class_name: str = "") -> Key:
        """Remember the key from now on; a newer try takes the entry over."""
        self._purge(now)
        old = self._by_once.get(once)
        if old is not None and old.number != number:
            self._remove(old)
        entry = self._by_number.get(number) or Key(once, number, uid, until, content, away=away,
                                                   class_name=class_name)
        entry.until = until
        self._by_once[once] = self._by_number[number] = self._by_uid[uid] = entry
        heapq.heappush(self._ends, (until + READ_LATE_MS, number))
        return entry

    def lengthen(self, class_name: str, more: float) -> None:
        """The window of a class is longer by so much from now on, for what is kept already too."""
        for entry in self._by_number.values():
            if entry.class_name in (class_name, ""):
                entry.until += more
                heapq.heappush(self._ends, (entry.until + READ_LATE_MS, entry.number))

    def contradicts(self, once: str, content: bytes) -> bool:
        """Is something else known under this key? Its result must not go to who asked for another thing."""
        entry = self._by_once.get(once)
        return entry is not None and entry.content != content

    def holder(self, once: str, at: float) -> int | None:
        """The try that holds the key for a repeat that came at this time, however late it is read."""
        entry = self._by_once.get(once)
        return entry.number if entry is not None and at < entry.until else None

    def forget(self, number: int) -> None:
        """Drop the entry of a try that never ran."""
        entry = self._by_number.get(number)
        if entry is not None:
            self._remove(entry)

    def finish(self, uid: str, result: bytes | None) -> None:
        """A run is over, with a result or without; a result stays, whatever is said later."""
        entry = self._by_uid.get(uid)
        if entry is None or entry.result is not None:
            return
        entry.over = True
        if result is not None:
            entry.result = result
            self._results[entry.number] = len(result)
            self._bytes += len(result)
            while self._bytes > self._results_max:
                number, size = self._results.popitem(last=False)
                self._bytes -= size
                self._by_number[number].result = None

    def of(self, uid: str) -> Key | None:
        """The entry that the try of this id holds."""
        return self._by_uid.get(uid)

    def all(self) -> list[Key]:
        """Every entry."""
        return list(self._by_number.values())

    def get(self, number: int) -> Key | None:
        """The entry that this try holds."""
        return self._by_number.get(number)

    def _purge(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            entry = self._by_number.get(heapq.heappop(self._ends)[1])
            if entry is not None and entry.until + READ_LATE_MS <= now:
                self._remove(entry)

    def _remove(self, entry: Key) -> None:
        self._bytes -= self._results.pop(entry.number, 0)
        del self._by_number[entry.number]
        self._by_uid.pop(entry.uid, None)
        if self._by_once.get(entry.once) is entry:
            del self._by_once[entry.once]
