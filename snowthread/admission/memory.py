"""Accounting of the memory that open requests and idempotency keys use, in kilobytes. Arithmetic only."""

from __future__ import annotations

from collections.abc import Iterable

from snowthread.admission.actions import Action, ForgetKey, RememberKey
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class MemoryAccount:
    """The memory in use. A request uses more of it from the start of its run on."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.used_kb = 0.0
        self._key_expires_at: dict[int, float] = {}  # expiry of each remembered key, by request id

    def apply_settings(self, settings: Settings, requests: Iterable[RequestRecord]) -> None:
        """Account for open requests and keys by the new settings."""
        self.settings = settings
        keys_kb = settings.key_memory_kb * len(self._key_expires_at)
        self.used_kb = sum(map(self._used_by, requests)) + keys_kb

    def _used_by(self, request: RequestRecord) -> float:
        is_waiting = request.state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        return request.memory_kb * (1.0 if is_waiting else self.settings.running_memory_factor)

    def start_extra_kb(self, request: RequestRecord) -> float:
        """Return the additional memory of a start; a paused run still has its memory."""
        if request.state is not RequestState.QUEUED:
            return 0.0
        return request.memory_kb * (self.settings.running_memory_factor - 1.0)

    def exceeds(self, ratio: float, extra_kb: float = 0.0) -> bool:
        """Return whether the memory in use and ``extra_kb`` exceed this part (0 to 1) of all memory."""
        return self.used_kb + extra_kb > ratio * self.settings.memory_kb

    def release(self, request: RequestRecord) -> None:
        """Free the memory of a request that is over."""
        self.used_kb -= self._used_by(request)

    def release_run(self, request: RequestRecord) -> None:
        """Free the memory of a run whose request returns to the queue without its progress."""
        self.used_kb -= request.memory_kb * (self.settings.running_memory_factor - 1.0)

    def remember_key(self, now: float, request: RequestRecord, lifetime_s: float) -> RememberKey:
        """Account for the key of a request, and return the action that remembers it."""
        self._key_expires_at[request.id] = now + lifetime_s
        self.used_kb += self.settings.key_memory_kb
        return RememberKey(request.id, lifetime_s)

    def forget_key(self, request: RequestRecord) -> list[Action]:
        """Free the key of a request, and return the action that forgets it.

        A retry has no key of its own, and then there is no action.
        """
        if request.original_id is not None or self._key_expires_at.pop(request.id, None) is None:
            return []
        self.used_kb -= self.settings.key_memory_kb
        return [ForgetKey(request.id)]

    def expire_keys(self, now: float) -> None:
        """Free the keys that have expired."""
        for request_id in [key for key, expires_at in self._key_expires_at.items() if expires_at <= now]:
            del self._key_expires_at[request_id]
            self.used_kb -= self.settings.key_memory_kb
