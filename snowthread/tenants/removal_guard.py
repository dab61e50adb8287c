"""Which removals of tenants are applied at once, and which are held. Pure.

A directory that loses entries, by mistake or because a server with older content answers, must not remove
tenants on its word alone. A removal is applied at once only if it comes from the server whose content is
known here, and if all removals within a window stay under a share of the tenants. Any other removal is held:
the tenants stay until a second full refresh, some time later, misses them too, or until an operator accepts
the removal by the digest in its log line. A tenant that reappears is no longer part of a held removal.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

WINDOW_MS = 600_000.0  # removals within this time count together
DIGEST_BYTES = 6


@dataclass(frozen=True, slots=True)
class RemovalRules:
    """How much may be removed without confirmation, and what confirms the rest."""

    max_share: float = 0.1  # of the tenants, within the window
    min_allowance: int = 2  # as many may go in any case, within the window
    confirm_by_refresh: bool = True  # a second full refresh confirms; else only an operator does
    confirm_after_ms: float = 60_000.0
    accepted_digest: str = ""  # of the held removal that an operator accepts


@dataclass(frozen=True, slots=True)
class HeldRemoval:
    """A removal that waits for its confirmation."""

    tenant_ids: frozenset[str]
    since_ms: float
    reason: str

    @property
    def digest(self) -> str:
        """The text by which an operator accepts the removal."""
        return _digest(self.tenant_ids)


@dataclass(frozen=True, slots=True)
class RemovalVerdict:
    """What is removed now, what is held afterwards, and whether it was not held before."""

    removed_ids: frozenset[str]
    held: HeldRemoval | None
    newly_held: bool = False


NOTHING_REMOVED = RemovalVerdict(frozenset(), None)


class _AppliedRemoval(NamedTuple):
    """A removal that was applied: when, and of how many tenants."""

    at_ms: float
    tenant_count: int


class RemovalGuard:
    """Judges the removals that a directory reports."""

    def __init__(self, rules: RemovalRules) -> None:
        self.rules = rules
        self.held: HeldRemoval | None = None
        self.source_server = ""  # the server whose content is known here
        self._recent: deque[_AppliedRemoval] = deque()

    def judge_full_refresh(
        self, missing_ids: Collection[str], known_count: int, server: str, now: float
    ) -> RemovalVerdict:
        """Judge the known tenants that a full refresh did not contain."""
        missing = frozenset(missing_ids)
        if not missing:
            self.source_server, self.held = server, None
            return NOTHING_REMOVED
        if self._is_accepted(missing):
            return self._remove(missing, server, now)
        if self.held is not None and self.held.tenant_ids & missing:
            return self._judge_repeated_miss(self.held, missing, server, now)
        if self.source_server and server != self.source_server:
            reason = "reported by another server"
        else:
            reason = self._excess_reason(len(missing), known_count, now)
        if not reason:
            return self._remove(missing, server, now)
        self.held = HeldRemoval(missing, now, reason)
        return RemovalVerdict(frozenset(), self.held, newly_held=True)

    def judge_deletions(
        self, deleted_ids: Collection[str], known_count: int, server: str, now: float
    ) -> RemovalVerdict:
        """Judge tenants reported as deleted, by a refresh from a cookie or as a change."""
        held = self.held
        tenant_ids = frozenset(deleted_ids) | (held.tenant_ids if held is not None else frozenset())
        if not tenant_ids:
            return RemovalVerdict(tenant_ids, held)
        reason = self._excess_reason(len(tenant_ids), known_count, now)
        if self._is_accepted(tenant_ids):
            reason = ""
        if not reason and held is None:
            return self._remove(tenant_ids, server, now)
        since_ms = now if held is None else held.since_ms
        self.held = HeldRemoval(tenant_ids, since_ms, reason or "another removal is held already")
        return RemovalVerdict(frozenset(), self.held, held is None or held.tenant_ids != tenant_ids)

    def mark_present(self, tenant_ids: Collection[str]) -> None:
        """Take tenants that the directory contains out of the held removal."""
        if self.held is None or self.held.tenant_ids.isdisjoint(tenant_ids):
            return
        rest = self.held.tenant_ids - frozenset(tenant_ids)
        self.held = HeldRemoval(rest, self.held.since_ms, self.held.reason) if rest else None

    def confirmation_due_at(self) -> float | None:
        """Return when a full refresh could confirm the held removal, or None if none could."""
        if self.held is None or not self.rules.confirm_by_refresh:
            return None
        return self.held.since_ms + self.rules.confirm_after_ms

    def take_accepted(self, known_ids: Collection[str]) -> frozenset[str]:
        """Return the known tenants of the held removal if the rules accept it; it is no longer held then."""
        if self.held is None or self.held.digest != self.rules.accepted_digest:
            return frozenset()
        tenant_ids, self.held = self.held.tenant_ids & frozenset(known_ids), None
        return tenant_ids

    def _judge_repeated_miss(
        self, held: HeldRemoval, missing: frozenset[str], server: str, now: float
    ) -> RemovalVerdict:
        """Judge a full refresh that misses tenants of the held removal again."""
        missing_again = held.tenant_ids & missing
        is_due = now - held.since_ms >= self.rules.confirm_after_ms
        if not self.rules.confirm_by_refresh or not is_due:
            # The time of the newly missing tenants starts now.
            since_ms = held.since_ms if missing <= held.tenant_ids else now
            self.held = HeldRemoval(missing, since_ms, held.reason)
            return RemovalVerdict(frozenset(), self.held, missing != held.tenant_ids)
        verdict = self._remove(missing_again, server, now)
        newly_missing = missing - missing_again
        if not newly_missing:
            return verdict
        self.held = HeldRemoval(newly_missing, now, "it is missing for the first time")
        return RemovalVerdict(missing_again, self.held, newly_held=True)

    def _is_accepted(self, tenant_ids: frozenset[str]) -> bool:
        accepted = self.rules.accepted_digest
        return bool(accepted) and accepted == _digest(tenant_ids)

    def _excess_reason(self, count: int, known_count: int, now: float) -> str:
        """Return why so many removals are too many within the window, or an empty text."""
        while self._recent and self._recent[0].at_ms <= now - WINDOW_MS:
            self._recent.popleft()
        recent_count = sum(removal.tenant_count for removal in self._recent)
        removed_count = count + recent_count
        tenant_count = known_count + recent_count
        allowance = max(self.rules.min_allowance, int(self.rules.max_share * tenant_count))
        if removed_count <= allowance:
            return ""
        return f"{removed_count} of {tenant_count} tenants, at most {allowance} may go at once"

    def _remove(self, tenant_ids: frozenset[str], server: str, now: float) -> RemovalVerdict:
        self.source_server, self.held = server, None
        self._recent.append(_AppliedRemoval(now, len(tenant_ids)))
        return RemovalVerdict(tenant_ids, None)


def _digest(tenant_ids: frozenset[str]) -> str:
    return blake2b("\n".join(sorted(tenant_ids)).encode(), digest_size=DIGEST_BYTES).hexdigest()
