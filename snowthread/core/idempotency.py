"""Idempotency records: which attempt owns a key, until when, and how its run ended.

Pure: times are float Unix milliseconds passed in; nothing here reads a clock or a socket.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

DIGEST_BYTES = 16
MAX_RESULT_BYTES = 24 * 2**20  # of all results retained; the oldest are dropped, and their retries fail
LATE_READ_ALLOWANCE_MS = 8_000.0  # a retry that arrived within the window may be read so much later


def key_digest(idempotency_key: str) -> bytes:
    """Return a digest of a key of :data:`DIGEST_BYTES` bytes, for what outlives the process."""
    return blake2b(idempotency_key.encode(), digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class IdempotencyRecord:
    """One idempotency key and the attempt that owns it; ``result`` is None until the run succeeded."""

    idempotency_key: str
    request_number: int
    attempt_id: str
    expires_at_ms: float
    body_digest: bytes  # another body under the same key is a conflict, not a retry
    completed: bool = False
    result: bytes | None = None
    owned_by_peer: bool = False  # owned by the peer process, not by a request here
    class_name: str = ""  # empty where it is owned by the peer process and not known
    followers: list[int] = field(default_factory=list)  # retries here that wait for a run in the peer process


class IndeterminateKeys:
    """Keys that an earlier incarnation of this node may have run, with unknown end.

    They are never run within their windows. Until ``all_keys_until_ms`` it is not known which keys they are
    either, so every key counts as one of them.
    """

    def __init__(self, expires_at_ms_by_digest: dict[bytes, float], all_keys_until_ms: float) -> None:
        self._expires_at_ms_by_digest = expires_at_ms_by_digest
        self.all_keys_until_ms = all_keys_until_ms
        self.last_expiry_ms = max([all_keys_until_ms, *expires_at_ms_by_digest.values()])

    def __len__(self) -> int:
        return len(self._expires_at_ms_by_digest)

    def may_have_run(self, idempotency_key: str, arrived_at_ms: float) -> bool:
        """Return whether a request with this key may be a retry of one that ran."""
        return arrived_at_ms < self.all_keys_until_ms or (
            arrived_at_ms < self.last_expiry_ms
            and arrived_at_ms < self._expires_at_ms_by_digest.get(key_digest(idempotency_key), 0.0)
        )


class IdempotencyTable:
    """Idempotency records by key, by attempt and by request number.

    A record leaves when it expires or is removed, never because a response went out or a request was
    cancelled: a retry has to find what ran, whatever became of its original.
    """

    def __init__(self, max_result_bytes: int = MAX_RESULT_BYTES) -> None:
        self._max_result_bytes = max_result_bytes
        self._by_key: dict[str, IdempotencyRecord] = {}
        self._by_number: dict[int, IdempotencyRecord] = {}
        self._by_attempt_id: dict[str, IdempotencyRecord] = {}
        self._purges: list[tuple[float, int]] = []  # a heap of (time in ms, request number)
        self._result_sizes: OrderedDict[int, int] = OrderedDict()  # bytes by request number, oldest first
        self._result_bytes = 0

    def __len__(self) -> int:
        return len(self._by_number)

    def put(self, entry: IdempotencyRecord, now_ms: float) -> IdempotencyRecord:
        """Enter a record, or renew the one of the same request until the new expiry; return the one in use.

        The record of an older request with the same key is removed.
        """
        self._purge(now_ms)
        number = entry.request_number
        old = self._by_key.get(entry.idempotency_key)
        if old is not None and old.request_number != number:
            self._remove(old)
        record = self._by_number.get(number) or entry
        record.expires_at_ms = entry.expires_at_ms
        self._by_key[entry.idempotency_key] = record
        self._by_number[number] = record
        self._by_attempt_id[entry.attempt_id] = record
        self._schedule_purge(record)
        return record

    def extend_window(self, class_name: str, longer_ms: float) -> None:
        """Let the records of a class expire later, as its window is longer now."""
        for record in self._by_number.values():
            if record.class_name in (class_name, ""):
                record.expires_at_ms += longer_ms
                self._schedule_purge(record)

    def conflicts_with(self, idempotency_key: str, body_digest: bytes) -> bool:
        """Return whether the key stands for another body, whose result must not answer this one."""
        record = self._by_key.get(idempotency_key)
        return record is not None and record.body_digest != body_digest

    def owner_at(self, idempotency_key: str, arrived_at_ms: float) -> int | None:
        """Return the request that owns the key for a retry that arrived then, however late it is read."""
        record = self._by_key.get(idempotency_key)
        return record.request_number if record is not None and arrived_at_ms < record.expires_at_ms else None

    def remove(self, request_number: int) -> None:
        """Remove the record of a request that never ran."""
        record = self._by_number.get(request_number)
        if record is not None:
            self._remove(record)

    def complete(self, attempt_id: str, result: bytes | None) -> None:
        """Record the end of a run, with a result or without; a result stays, whatever is reported later."""
        record = self._by_attempt_id.get(attempt_id)
        if record is None or record.result is not None:
            return
        record.completed = True
        if result is not None:
            record.result = result
            self._result_sizes[record.request_number] = len(result)
            self._result_bytes += len(result)
            while self._result_bytes > self._max_result_bytes:
                number, size = self._result_sizes.popitem(last=False)
                self._result_bytes -= size
                self._by_number[number].result = None

    def find_by_attempt(self, attempt_id: str) -> IdempotencyRecord | None:
        """Return the record that the attempt owns."""
        return self._by_attempt_id.get(attempt_id)

    def records(self) -> list[IdempotencyRecord]:
        """Return all records."""
        return list(self._by_number.values())

    def find_by_number(self, request_number: int) -> IdempotencyRecord | None:
        """Return the record that the request owns."""
        return self._by_number.get(request_number)

    def _schedule_purge(self, record: IdempotencyRecord) -> None:
        purge_at_ms = record.expires_at_ms + LATE_READ_ALLOWANCE_MS
        heapq.heappush(self._purges, (purge_at_ms, record.request_number))

    def _purge(self, now_ms: float) -> None:
        while self._purges and self._purges[0][0] <= now_ms:
            record = self._by_number.get(heapq.heappop(self._purges)[1])
            if record is not None and record.expires_at_ms + LATE_READ_ALLOWANCE_MS <= now_ms:
                self._remove(record)

    def _remove(self, record: IdempotencyRecord) -> None:
        self._result_bytes -= self._result_sizes.pop(record.request_number, 0)
        del self._by_number[record.request_number]
        self._by_attempt_id.pop(record.attempt_id, None)
        if self._by_key.get(record.idempotency_key) is record:
            del self._by_key[record.idempotency_key]
