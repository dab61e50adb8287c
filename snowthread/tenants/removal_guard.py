"""Which removals of tenants are applied at once, and which wait for a confirmation. Pure.

A directory that loses entries, by mistake or because a server with older content answers, must not remove
tenants by its report alone. A removal is applied at once only if it comes from the server whose content is
known here, and if all removals within a window stay under a share of the tenants. Any other removal is
pending: the tenants stay until a second full refresh, some time later, misses them too, or until an operator
accepts the removal by the digest in its log line. A tenant that reappears is no longer part of a pending
removal.
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
    accepted_digest: str = ""  # of the pending removal that an operator accepts


@dataclass(frozen=True, slots=True)
class PendingRemoval:
    """A removal that waits for its confirmation."""

    tenant_ids: frozenset[str]
    since_ms: float
    reason: str

    @property
    def digest(self) -> str:
        """The text by which an operator accepts the removal."""
        return _digest(self.tenant_ids)


@dataclass(frozen=True, slots=True)
class RemovalDecision:
    """What is removed now, what is pending afterwards, and whether it was not pending before."""

    removed_ids: frozenset[str]
    pending: PendingRemoval | None
    newly_pending: bool = False


NOTHING_REMOVED = RemovalDecision(frozenset(), None)


class _AppliedRemoval(NamedTuple):
    """A removal that was applied: when, and of how many tenants."""

    at_ms: float
    tenant_count: int


class RemovalGuard:
    """Judges the removals that a directory reports."""

    def __init__(self, rules: RemovalRules) -> None:
        self.rules = rules
        self.pending: PendingRemoval | None = None
        self.source_server = ""  # the server whose content is known here
        self._recent: deque[_AppliedRemoval] = deque()

    def evaluate_full_refresh(
        self, missing_ids: Collection[str], known_count: int, server: str, now: float
    ) -> RemovalDecision:
        """Judge the known tenants that a full refresh did not contain."""
        missing = frozenset(missing_ids)
        if not missing:
            self.source_server = server
            self.pending = None
            return NOTHING_REMOVED
        if self._is_accepted(missing):
            return self._remove(missing, server, now)
        if self.pending is not None and self.pending.tenant_ids & missing:
            return self._evaluate_missing_again(self.pending, missing, server, now)
        if self.source_server and server != self.source_server:
            reason = "reported by another server"
        else:
            reason = self._allowance_violation(len(missing), known_count, now)
        if not reason:
            return self._remove(missing, server, now)
        self.pending = PendingRemoval(missing, now, reason)
        return RemovalDecision(frozenset(), self.pending, newly_pending=True)

    def evaluate_deletions(
        self, deleted_ids: Collection[str], known_count: int, server: str, now: float
    ) -> RemovalDecision:
        """Judge tenants reported as deleted, by a refresh from a cookie or as a change."""
        pending = self.pending
        tenant_ids = frozenset(deleted_ids) | (pending.tenant_ids if pending is not None else frozenset())
        if not tenant_ids:
            return RemovalDecision(tenant_ids, pending)
        reason = self._allowance_violation(len(tenant_ids), known_count, now)
        if self._is_accepted(tenant_ids):
            reason = ""
        if not reason and pending is None:
            return self._remove(tenant_ids, server, now)
        since_ms = now if pending is None else pending.since_ms
        self.pending = PendingRemoval(tenant_ids, since_ms, reason or "another removal is pending already")
        return RemovalDecision(
            frozenset(), self.pending, newly_pending=pending is None or pending.tenant_ids != tenant_ids
        )

    def mark_present(self, tenant_ids: Collection[str]) -> None:
        """Take tenants that the directory contains out of the pending removal."""
        if self.pending is None or self.pending.tenant_ids.isdisjoint(tenant_ids):
            return
        rest = self.pending.tenant_ids - frozenset(tenant_ids)
        self.pending = PendingRemoval(rest, self.pending.since_ms, self.pending.reason) if rest else None

    def confirmation_due_at(self) -> float | None:
        """Return when a full refresh could confirm the pending removal, or None if none could."""
        if self.pending is None or not self.rules.confirm_by_refresh:
            return None
        return self.pending.since_ms + self.rules.confirm_after_ms

    def take_accepted(self, known_ids: Collection[str]) -> frozenset[str]:
        """Return the known tenants of the pending removal if the rules accept it, and end it then."""
        if self.pending is None or self.pending.digest != self.rules.accepted_digest:
            return frozenset()
        tenant_ids = self.pending.tenant_ids & frozenset(known_ids)
        self.pending = None
        return tenant_ids

    def _evaluate_missing_again(
        self, pending: PendingRemoval, missing: frozenset[str], server: str, now: float
    ) -> RemovalDecision:
        """Judge a full refresh that misses tenants of the pending removal again."""
        missing_again = pending.tenant_ids & missing
        is_due = now - pending.since_ms >= self.rules.confirm_after_ms
        if not self.rules.confirm_by_refresh or not is_due:
            # The time of the newly missing tenants starts now.
            since_ms = pending.since_ms if missing <= pending.tenant_ids else now
            self.pending = PendingRemoval(missing, since_ms, pending.reason)
            return RemovalDecision(frozenset(), self.pending, newly_pending=missing != pending.tenant_ids)
        decision = self._remove(missing_again, server, now)
        newly_missing = missing - missing_again
        if not newly_missing:
            return decision
        self.pending = PendingRemoval(newly_missing, now, "it is missing for the first time")
        return RemovalDecision(missing_again, self.pending, newly_pending=True)

    def _is_accepted(self, tenant_ids: frozenset[str]) -> bool:
        accepted = self.rules.accepted_digest
        return bool(accepted) and accepted == _digest(tenant_ids)

    def _allowance_violation(self, count: int, known_count: int, now: float) -> str:
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

    def _remove(self, tenant_ids: frozenset[str], server: str, now: float) -> RemovalDecision:
        self.source_server = server
        self.pending = None
        self._recent.append(_AppliedRemoval(now, len(tenant_ids)))
        return RemovalDecision(tenant_ids, None)


def _digest(tenant_ids: frozenset[str]) -> str:
    return blake2b("\n".join(sorted(tenant_ids)).encode(), digest_size=DIGEST_BYTES).hexdigest()
