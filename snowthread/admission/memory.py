"""Accounting of the memory that open requests and idempotency keys take up, in kilobytes. Arithmetic only."""

from __future__ import annotations

from collections.abc import Iterable

from snowthread.admission.actions import Action, ForgetKey, RememberKey
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class MemoryAccount:
    """Memory in use. A request takes more from its start on."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.used_kb = 0.0
        self._key_expires_at: dict[int, float] = {}  # by request id

    def apply_settings(self, settings: Settings, requests: Iterable[RequestRecord]) -> None:
        """Account for what is open by the new settings."""
        self.settings = settings
        keys_kb = settings.key_memory_kb * len(self._key_expires_at)
        self.used_kb = sum(map(self._used_by, requests)) + keys_kb

    def _used_by(self, request: RequestRecord) -> float:
        is_waiting = request.state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        return request.memory_kb * (1.0 if is_waiting else self.settings.running_memory_factor)

    def start_extra_kb(self, request: RequestRecord) -> float:
        """Return what a start takes in addition; a paused run still has its memory."""
        if request.state is not RequestState.QUEUED:
            return 0.0
        return request.memory_kb * (self.settings.running_memory_factor - 1.0)

    def exceeds(self, ratio: float, extra_kb: float = 0.0) -> bool:
        """Return whether with ``extra_kb`` more a ratio of the memory (0 to 1) would be exceeded."""
        return self.used_kb + extra_kb > ratio * self.settings.memory_kb

    def release(self, request: RequestRecord) -> None:
        """Free the memory of a request that is over."""
        self.used_kb -= self._used_by(request)

    def release_run(self, request: RequestRecord) -> None:
        """Free the memory of a run whose request goes back to the queue without its progress."""
        self.used_kb -= request.memory_kb * (self.settings.running_memory_factor - 1.0)

    def remember_key(self, now: float, request: RequestRecord, lifetime_s: float) -> RememberKey:
        """Remember the key of a request for ``lifetime_s``."""
        self._key_expires_at[request.id] = now + lifetime_s
        self.used_kb += self.settings.key_memory_kb
        return RememberKey(request.id, lifetime_s)

    def forget_key(self, request: RequestRecord) -> list[Action]:
        """Forget the key of a request, if it has one of its own."""
        if request.original_id is not None or self._key_expires_at.pop(request.id, None) is None:
            return []
        self.used_kb -= self.settings.key_memory_kb
        return [ForgetKey(request.id)]

    def expire_keys(self, now: float) -> None:
        """Free keys that have expired."""
        for request_id in [key for key, expires_at in self._key_expires_at.items() if expires_at <= now]:
            del self._key_expires_at[request_id]
            self.used_kb -= self.settings.key_memory_kb
