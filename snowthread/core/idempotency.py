"""Idempotency records: which attempt owns a key, until when, and how its run ended.

This module reads neither a clock nor a socket: all times are passed in, as Unix times in milliseconds.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

DIGEST_BYTES = 16
# Total size of the retained results. Beyond it the oldest results are dropped, and their retries fail.
MAX_RESULT_BYTES = 24 * 2**20
# Records are kept this long past their expiry: a busy node may read a retry that much after its arrival.
LATE_READ_ALLOWANCE_MS = 8_000.0


def key_digest(idempotency_key: str) -> bytes:
    """Return a digest of an idempotency key, :data:`DIGEST_BYTES` long, to be stored beyond this process."""
    return blake2b(idempotency_key.encode(), digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class IdempotencyRecord:
    """An idempotency key and the attempt that owns it.

    ``result`` is None until the run has succeeded, and again once the result was dropped to save memory.
    """

    idempotency_key: str
    request_id: int
    attempt_id: str
    expires_at_ms: float
    body_digest: bytes  # another body under the same key is a conflict, not a retry
    completed: bool = False
    result: bytes | None = None
    owned_by_peer: bool = False  # whether the peer process of a hot restart owns the key
    class_name: str = ""  # class of the request; empty for a key that the peer process reported
    # Ids of the requests in this process that are retries and wait for a run of the peer process.
    followers: list[int] = field(default_factory=list)
    has_called: bool = False  # whether its run has requested a downstream call, and so has begun
    # The earlier record of the key, which is in effect again if this one is released.
    replaced: IdempotencyRecord | None = None

    @property
    def may_be_released(self) -> bool:
        """Whether nothing yet shows that a run of the attempt has begun."""
        return not self.has_called and not self.completed


class IndeterminateKeys:
    """Keys of requests that an earlier incarnation of this node may have run, with an unknown outcome.

    No request with such a key is run before the key expires. Until ``all_indeterminate_until_ms`` it is not
    known either which keys these are, so every key is treated as one of them.
    """

    def __init__(
        self, expires_at_ms_by_digest: dict[bytes, float], all_indeterminate_until_ms: float
    ) -> None:
        self._expires_at_ms_by_digest = expires_at_ms_by_digest
        self.all_indeterminate_until_ms = all_indeterminate_until_ms
        self.last_expiry_ms = max([all_indeterminate_until_ms, *expires_at_ms_by_digest.values()])

    def __len__(self) -> int:
        return len(self._expires_at_ms_by_digest)

    def may_have_run(self, idempotency_key: str, arrived_at_ms: float) -> bool:
        """Return whether a request that arrived at this time may be a retry of one that has run."""
        return arrived_at_ms < self.all_indeterminate_until_ms or (
            arrived_at_ms < self.last_expiry_ms
            and arrived_at_ms < self._expires_at_ms_by_digest.get(key_digest(idempotency_key), 0.0)
        )


class IdempotencyTable:
    """Idempotency records by key, by attempt and by request id.

    A record outlives the response to its request and the cancellation of its request: a retry has to find the
    result of the run in any case. Once anything shows that a run of its attempt has begun, it can't be
    released, whatever is reported later: without it a retry would run the request again.
    """

    def __init__(self, max_result_bytes: int = MAX_RESULT_BYTES) -> None:
        self._max_result_bytes = max_result_bytes
        self._by_key: dict[str, IdempotencyRecord] = {}
        self._by_request_id: dict[int, IdempotencyRecord] = {}
        self._by_attempt_id: dict[str, IdempotencyRecord] = {}
        self._purges: list[tuple[float, int]] = []  # heap of (Unix time in ms, request id)
        self._result_sizes: OrderedDict[int, int] = OrderedDict()  # request id -> bytes, oldest first
        self._result_bytes = 0

    def __len__(self) -> int:
        return len(self._by_request_id)

    def put(self, entry: IdempotencyRecord, now_ms: float) -> IdempotencyRecord:
        """Add a record and return the one that is in effect.

        If the request already has a record, that record is kept and only takes over the new expiry. The
        record of another request with the same key is replaced, without its result.
        """
        self._purge(now_ms)
        request_id = entry.request_id
        record = self._by_request_id.get(request_id) or entry
        old = self._by_key.get(record.idempotency_key)
        if old is not None and old.request_id != request_id:
            self._remove(old)
            old.result = None
            record.replaced = old
            _drop_purgeable(old, now_ms)
        record.expires_at_ms = entry.expires_at_ms
        self._insert(record)
        return record

    def _insert(self, record: IdempotencyRecord) -> None:
        self._by_key[record.idempotency_key] = record
        self._by_request_id[record.request_id] = record
        self._by_attempt_id[record.attempt_id] = record
        self._schedule_purge(record)

    def extend_window(self, class_name: str, longer_ms: float) -> None:
        """Let the records of a class expire ``longer_ms`` later, after its idempotency window was extended.

        Records without a known class are extended too.
        """
        for record in self._by_request_id.values():
            if record.class_name in (class_name, ""):
                record.expires_at_ms += longer_ms
                self._schedule_purge(record)

    def conflicts_with(self, idempotency_key: str, body_digest: bytes) -> bool:
        """Return whether the key is recorded with another body, whose result must not answer this one."""
        record = self._by_key.get(idempotency_key)
        return record is not None and record.body_digest != body_digest

    def owner_at(self, idempotency_key: str, arrived_at_ms: float) -> int | None:
        """Return the id of the request that owned the key at this time, or None.

        A retry is matched by its time of arrival, however late the node reads it.
        """
        record = self._by_key.get(idempotency_key)
        return record.request_id if record is not None and arrived_at_ms < record.expires_at_ms else None

    def release(self, record: IdempotencyRecord) -> bool:
        """Free the key of an attempt that never ran, and return whether it was freed.

        The key stays taken if a run of the attempt has begun. If an earlier attempt has run, the key stays
        taken for retries that arrived within the window of that attempt and are read late.
        """
        if not record.may_be_released:
            return False
        self._remove(record)
        if record.replaced is not None:
            self._insert(record.replaced)
        return True

    def record_call(self, attempt_id: str) -> None:
        """Record that the run of an attempt has requested a downstream call."""
        record = self._by_attempt_id.get(attempt_id)
        if record is not None:
            record.has_called = True

    def complete(self, attempt_id: str, result: bytes | None) -> None:
        """Record the end of a run; ``result`` is None if it failed.

        A result that was recorded stays, whatever is reported later. If the results exceed their total size
        limit, the oldest ones are dropped.
        """
        record = self._by_attempt_id.get(attempt_id)
        if record is None or record.result is not None:
            return
        record.completed = True
        if result is not None:
            record.result = result
            self._result_sizes[record.request_id] = len(result)
            self._result_bytes += len(result)
            while self._result_bytes > self._max_result_bytes:
                request_id, size = self._result_sizes.popitem(last=False)
                self._result_bytes -= size
                self._by_request_id[request_id].result = None

    def find_by_attempt(self, attempt_id: str) -> IdempotencyRecord | None:
        """Return the record of the key that the attempt owns, or None."""
        return self._by_attempt_id.get(attempt_id)

    def records(self) -> list[IdempotencyRecord]:
        """Return all records."""
        return list(self._by_request_id.values())

    def find_by_request_id(self, request_id: int) -> IdempotencyRecord | None:
        """Return the record of the key that the request owns, or None."""
        return self._by_request_id.get(request_id)

    def _schedule_purge(self, record: IdempotencyRecord) -> None:
        purge_at_ms = record.expires_at_ms + LATE_READ_ALLOWANCE_MS
        heapq.heappush(self._purges, (purge_at_ms, record.request_id))

    def _purge(self, now_ms: float) -> None:
        while self._purges and self._purges[0][0] <= now_ms:
            record = self._by_request_id.get(heapq.heappop(self._purges)[1])
            if record is not None and _is_purgeable(record, now_ms):
                self._remove(record)

    def _remove(self, record: IdempotencyRecord) -> None:
        self._result_bytes -= self._result_sizes.pop(record.request_id, 0)
        del self._by_request_id[record.request_id]
        self._by_attempt_id.pop(record.attempt_id, None)
        if self._by_key.get(record.idempotency_key) is record:
            del self._by_key[record.idempotency_key]


def _is_purgeable(record: IdempotencyRecord, now_ms: float) -> bool:
    """Return whether a retry from the window of the record can't be read any more."""
    return record.expires_at_ms + LATE_READ_ALLOWANCE_MS <= now_ms


def _drop_purgeable(record: IdempotencyRecord, now_ms: float) -> None:
    """Drop the records before this one, the latest first, from which no retry can be read any more."""
    while record.replaced is not None:
        if _is_purgeable(record.replaced, now_ms):
            record.replaced = None
            return
        record = record.replaced
