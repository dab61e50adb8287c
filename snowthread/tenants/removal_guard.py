"""Decide which removals of tenants are applied at once and which need confirmation, without I/O.

A directory can lose entries by mistake, or a server with older content can answer. Its report alone must not
remove many tenants. A removal is applied at once only if all removals within a time window are at most a
share of the tenants, or at most a minimum allowance. A full refresh must also come from the server whose
content the node has; reported deletions may come from any server, but are not applied while a removal is
pending. Any other removal is pending: the tenants are kept until a second full refresh, some time later,
lacks them too, or until an operator accepts the removal by the digest in its log message. A tenant that
reappears is taken out of the pending removal.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

WINDOW_MS = 600_000.0  # removals within this time share one allowance
DIGEST_BYTES = 6


@dataclass(frozen=True, slots=True)
class RemovalRules:
    """How many tenants may be removed without confirmation, and what confirms other removals."""

    max_share: float = 0.1  # share of the tenants that may be removed within the window
    min_allowance: int = 2  # tenants that may be removed within the window, whatever the share
    confirm_by_refresh: bool = True  # a second full refresh confirms removals; else only an operator does
    confirm_after_ms: float = 60_000.0  # delay from the report of a removal to a refresh that may confirm it
    accepted_digest: str = ""  # digest of the pending removal that the operator accepts


@dataclass(frozen=True, slots=True)
class PendingRemoval:
    """A removal that waits for confirmation; ``reason`` says why it was not applied at once."""

    tenant_ids: frozenset[str]
    delay_start_ms: float  # start of the delay before a full refresh may confirm the removal
    reason: str

    @property
    def digest(self) -> str:
        """The digest that identifies the removal when an operator accepts it."""
        return _digest(self.tenant_ids)


@dataclass(frozen=True, slots=True)
class RemovalDecision:
    """The tenants to remove now, the removal that is pending afterwards, and whether it is new."""

    removed_ids: frozenset[str]
    pending: PendingRemoval | None
    newly_pending: bool = False


NOTHING_REMOVED = RemovalDecision(frozenset(), None)


class _AppliedRemoval(NamedTuple):
    """The time of an applied removal and the number of its tenants."""

    at_ms: float
    tenant_count: int


class RemovalGuard:
    """Decides about the removals that a directory reports."""

    def __init__(self, rules: RemovalRules) -> None:
        self.rules = rules
        self.pending: PendingRemoval | None = None
        self.source_server = ""  # the server whose content the node has
        self._recent: deque[_AppliedRemoval] = deque()

    def evaluate_full_refresh(
        self, missing_ids: Collection[str], known_count: int, server: str, now: float
    ) -> RemovalDecision:
        """Decide about the known tenants that a full refresh from ``server`` did not contain.

        ``known_count`` is the number of all known tenants, of which the allowance is a share.
        """
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
        """Decide about known tenants that an incremental refresh or a change reports as deleted.

        ``known_count`` is the number of all known tenants, of which the allowance is a share.
        """
        pending = self.pending
        tenant_ids = frozenset(deleted_ids) | (pending.tenant_ids if pending is not None else frozenset())
        if not tenant_ids:
            return RemovalDecision(tenant_ids, pending)
        reason = self._allowance_violation(len(tenant_ids), known_count, now)
        if self._is_accepted(tenant_ids):
            reason = ""
        if not reason and pending is None:
            return self._remove(tenant_ids, server, now)
        delay_start_ms = now if pending is None else pending.delay_start_ms
        self.pending = PendingRemoval(
            tenant_ids, delay_start_ms, reason or "another removal is already pending"
        )
        return RemovalDecision(
            frozenset(), self.pending, newly_pending=pending is None or pending.tenant_ids != tenant_ids
        )

    def mark_present(self, tenant_ids: Collection[str]) -> None:
        """Take tenants that exist in the directory out of the pending removal."""
        if self.pending is None or self.pending.tenant_ids.isdisjoint(tenant_ids):
            return
        rest = self.pending.tenant_ids - frozenset(tenant_ids)
        self.pending = (
            PendingRemoval(rest, self.pending.delay_start_ms, self.pending.reason) if rest else None
        )

    def confirmation_due_at(self) -> float | None:
        """Return when a full refresh may confirm the pending removal, or None if it can't be confirmed so."""
        if self.pending is None or not self.rules.confirm_by_refresh:
            return None
        return self.pending.delay_start_ms + self.rules.confirm_after_ms

    def take_accepted(self, known_ids: Collection[str]) -> frozenset[str]:
        """Return the known tenants of the pending removal and clear it, if the operator has accepted it."""
        if self.pending is None or self.pending.digest != self.rules.accepted_digest:
            return frozenset()
        tenant_ids = self.pending.tenant_ids & frozenset(known_ids)
        self.pending = None
        return tenant_ids

    def _evaluate_missing_again(
        self, pending: PendingRemoval, missing: frozenset[str], server: str, now: float
    ) -> RemovalDecision:
        """Decide about a full refresh that again lacks tenants of the pending removal."""
        missing_again = pending.tenant_ids & missing
        is_due = now - pending.delay_start_ms >= self.rules.confirm_after_ms
        if not self.rules.confirm_by_refresh or not is_due:
            # Tenants that are missing for the first time restart the confirmation delay.
            delay_start_ms = pending.delay_start_ms if missing <= pending.tenant_ids else now
            self.pending = PendingRemoval(missing, delay_start_ms, pending.reason)
            return RemovalDecision(frozenset(), self.pending, newly_pending=missing != pending.tenant_ids)
        decision = self._remove(missing_again, server, now)
        newly_missing = missing - missing_again
        if not newly_missing:
            return decision
        self.pending = PendingRemoval(newly_missing, now, "missing for the first time")
        return RemovalDecision(missing_again, self.pending, newly_pending=True)

    def _is_accepted(self, tenant_ids: frozenset[str]) -> bool:
        accepted = self.rules.accepted_digest
        return bool(accepted) and accepted == _digest(tenant_ids)

    def _allowance_violation(self, count: int, known_count: int, now: float) -> str:
        """Return why ``count`` further removals exceed the allowance of the window, or an empty string."""
        while self._recent and self._recent[0].at_ms <= now - WINDOW_MS:
            self._recent.popleft()
        recent_count = sum(removal.tenant_count for removal in self._recent)
        removed_count = count + recent_count
        tenant_count = known_count + recent_count
        allowance = max(self.rules.min_allowance, int(self.rules.max_share * tenant_count))
        if removed_count <= allowance:
            return ""
        return f"{removed_count} of {tenant_count} tenants, at most {allowance} without confirmation"

    def _remove(self, tenant_ids: frozenset[str], server: str, now: float) -> RemovalDecision:
        self.source_server = server
        self.pending = None
        self._recent.append(_AppliedRemoval(now, len(tenant_ids)))
        return RemovalDecision(tenant_ids, None)


def _digest(tenant_ids: frozenset[str]) -> str:
    return blake2b("\n".join(sorted(tenant_ids)).encode(), digest_size=DIGEST_BYTES).hexdigest()
