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
class IdempotencyRecord:
    """One entry. ``result`` is None until the run went through."""

    idempotency_key: str
    request_number: int
    attempt_id: str
    expires_at_ms: float
    body_digest: bytes  # a digest of what was asked: another body under the same key is no repeat
    completed: bool = False
    result: bytes | None = None
    remote: bool = False  # held by the process beside this one, not by a request here
    class_name: str = ""  # empty where it is held elsewhere and not known
    followers: list[int] = field(default_factory=list)  # repeats here that wait for what becomes of it there


class IndeterminateKeys:
    """Keys that an earlier life of this node may have run: what became of them nobody knows, so they are
    never run within their windows. Blind: which they are is not known either, so it is any."""

    def __init__(self, keys: dict[bytes, float], blind_until: float) -> None:
        self._keys, self.any_until_ms = keys, blind_until
        self.last_expiry_ms = max([blind_until, *keys.values()])

    def __len__(self) -> int:
        return len(self._keys)

    def may_have_run(self, once: str, at: float) -> bool:
        """May a request with this key that came at this time be a repeat of one that ran?"""
        return at < self.any_until_ms or (
            at < self.last_expiry_ms and at < self._keys.get(key_digest(once), 0.0)
        )


class IdempotencyTable:
    """Entries by key, by try and by run. An entry leaves at its time or when it is forgotten, never because
    an answer went out or a caller left: a repeat must find what ran, whatever became of its first try."""

    def __init__(self, results_max: int = RESULTS_MAX) -> None:
        self._results_max = results_max
        self._by_once: dict[str, IdempotencyRecord] = {}
        self._by_number: dict[int, IdempotencyRecord] = {}
        self._by_uid: dict[str, IdempotencyRecord] = {}
        self._ends: list[tuple[float, int]] = []
        self._results: OrderedDict[int, int] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._by_number)

    def put(
        self,
        once: str,
        number: int,
        uid: str,
        until: float,
        now: float,
        content: bytes = b"",
        remote: bool = False,
        class_name: str = "",
    ) -> IdempotencyRecord:
        """Remember the key from now on; a newer try takes the entry over."""
        self._purge(now)
        old = self._by_once.get(once)
        if old is not None and old.request_number != number:
            self._remove(old)
        entry = self._by_number.get(number) or IdempotencyRecord(
            once, number, uid, until, content, remote=remote, class_name=class_name
        )
        entry.expires_at_ms = until
        self._by_once[once] = self._by_number[number] = self._by_uid[uid] = entry
        heapq.heappush(self._ends, (until + READ_LATE_MS, number))
        return entry

    def extend_window(self, class_name: str, more: float) -> None:
        """The window of a class is longer by so much from now on, for what is kept already too."""
        for entry in self._by_number.values():
            if entry.class_name in (class_name, ""):
                entry.expires_at_ms += more
                heapq.heappush(self._ends, (entry.expires_at_ms + READ_LATE_MS, entry.request_number))

    def conflicts_with(self, once: str, content: bytes) -> bool:
        """Is something else known under this key? Its result must not go to who asked for another thing."""
        entry = self._by_once.get(once)
        return entry is not None and entry.body_digest != content

    def owner_at(self, once: str, at: float) -> int | None:
        """The try that holds the key for a repeat that came at this time, however late it is read."""
        entry = self._by_once.get(once)
        return entry.request_number if entry is not None and at < entry.expires_at_ms else None

    def remove(self, number: int) -> None:
        """Drop the entry of a try that never ran."""
        entry = self._by_number.get(number)
        if entry is not None:
            self._remove(entry)

    def complete(self, uid: str, result: bytes | None) -> None:
        """A run is over, with a result or without; a result stays, whatever is said later."""
        entry = self._by_uid.get(uid)
        if entry is None or entry.result is not None:
            return
        entry.completed = True
        if result is not None:
            entry.result = result
            self._results[entry.request_number] = len(result)
            self._bytes += len(result)
            while self._bytes > self._results_max:
                number, size = self._results.popitem(last=False)
                self._bytes -= size
                self._by_number[number].result = None

    def find_by_attempt(self, uid: str) -> IdempotencyRecord | None:
        """The entry that the try of this id holds."""
        return self._by_uid.get(uid)

    def records(self) -> list[IdempotencyRecord]:
        """Every entry."""
        return list(self._by_number.values())

    def find_by_number(self, number: int) -> IdempotencyRecord | None:
        """The entry that this try holds."""
        return self._by_number.get(number)

    def _purge(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            entry = self._by_number.get(heapq.heappop(self._ends)[1])
            if entry is not None and entry.expires_at_ms + READ_LATE_MS <= now:
                self._remove(entry)

    def _remove(self, entry: IdempotencyRecord) -> None:
        self._bytes -= self._results.pop(entry.request_number, 0)
        del self._by_number[entry.request_number]
        self._by_uid.pop(entry.attempt_id, None)
        if self._by_once.get(entry.idempotency_key) is entry:
            del self._by_once[entry.idempotency_key]
