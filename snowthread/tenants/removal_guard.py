"""Which removals are believed. Free of I/O.

A directory that forgets, by mistake or because a server with older contents answers, must not take tenants
away on its word alone. A removal is taken up at once only if it comes from the server whose contents are
known here, and if all removals within a window stay under a share of the tenants. Anything else is held:
the tenants stay, and either a second whole refresh that misses them too, some time later, confirms it, or an
operator accepts it by the digest that the log line gives. Something that comes back is no longer missing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b

WINDOW_MS = 600_000.0  # removals within so long count together


@dataclass(frozen=True, slots=True)
class RemovalRules:
    """``share`` of the tenants, and ``least`` in number, that may go unasked within the window."""

    max_share: float = 0.1
    min_allowance: int = 2
    confirm_by_refresh: bool = True  # a second refresh confirms; else only an operator does
    confirm_after_ms: float = 60_000.0
    accepted_digest: str = ""  # the digest of a held removal that an operator accepts


@dataclass(frozen=True, slots=True)
class HeldRemoval:
    """A removal that waits for a word."""

    tenant_ids: frozenset[str]
    since_ms: float
    reason: str

    @property
    def digest(self) -> str:
        """What an operator accepts it by."""
        return blake2b("\n".join(sorted(self.tenant_ids)).encode(), digest_size=6).hexdigest()


@dataclass(frozen=True, slots=True)
class RemovalVerdict:
    """``remove`` now; ``held``: what waits afterwards; ``news``: it began to wait just now."""

    removed_ids: frozenset[str]
    held: HeldRemoval | None
    newly_held: bool = False


class RemovalGuard:
    """Judges the removals that a directory reports."""

    def __init__(self, rules: RemovalRules) -> None:
        self.rules = rules
        self.held: HeldRemoval | None = None
        self.source_server = ""  # the server whose contents are known here
        self._recent: deque[tuple[float, int]] = deque()

    def judge_full_refresh(
        self, missing: Collection[str], known: int, server: str, now: float
    ) -> RemovalVerdict:
        """A whole refresh went through, and these of the known ones did not come."""
        missing = frozenset(missing)
        foreign = bool(self.source_server) and server != self.source_server
        if not missing:
            self.source_server, self.held = server, None
            return RemovalVerdict(frozenset(), None)
        held = self.held
        if self.rules.accepted_digest and self.rules.accepted_digest == HeldRemoval(missing, now, "").digest:
            return self._remove(missing, server, now)
        if held is not None:
            again = held.tenant_ids & missing
            if self.rules.confirm_by_refresh and again and now - held.since_ms >= self.rules.confirm_after_ms:
                rest = missing - again
                verdict = self._remove(again, server, now)
                if not rest:
                    return verdict
                self.held = HeldRemoval(rest, now, "it is missing for the first time")
                return RemovalVerdict(again, self.held, True)
            if again:  # its time is not up; what is newly missing has its whole time before it
                self.held = HeldRemoval(
                    missing, held.since_ms if missing <= held.tenant_ids else now, held.reason
                )
                return RemovalVerdict(frozenset(), self.held, missing != held.tenant_ids)
        why = "another server says so" if foreign else self._excess_reason(len(missing), known, now)
        if not why:
            return self._remove(missing, server, now)
        self.held = HeldRemoval(missing, now, why)
        return RemovalVerdict(frozenset(), self.held, True)

    def judge_deletions(self, gone: Collection[str], known: int, server: str, now: float) -> RemovalVerdict:
        """These were named as deleted, in a refresh from a cookie or while following."""
        ids = frozenset(gone)
        if self.held is not None:
            ids |= self.held.tenant_ids
        why = self._excess_reason(len(ids), known, now)
        if self.rules.accepted_digest and self.rules.accepted_digest == HeldRemoval(ids, now, "").digest:
            why = ""
        if not ids:
            return RemovalVerdict(ids, self.held)
        if why or self.held is not None:
            news = self.held is None or self.held.tenant_ids != ids
            self.held = HeldRemoval(
                ids, now if self.held is None else self.held.since_ms, why or "more went before"
            )
            return RemovalVerdict(frozenset(), self.held, news)
        return self._remove(ids, server, now)

    def mark_present(self, ids: Collection[str]) -> None:
        """These were seen: they are missing no more."""
        if self.held is not None and not self.held.tenant_ids.isdisjoint(ids):
            rest = self.held.tenant_ids - frozenset(ids)
            self.held = HeldRemoval(rest, self.held.since_ms, self.held.reason) if rest else None

    def confirmation_due_at(self) -> float | None:
        """When a whole refresh could confirm what is held."""
        if self.held is None or not self.rules.confirm_by_refresh:
            return None
        return self.held.since_ms + self.rules.confirm_after_ms

    def take_accepted(self, known: Collection[str]) -> frozenset[str]:
        """What is held and was accepted by its digest meanwhile; it may go now."""
        if self.held is None or self.held.digest != self.rules.accepted_digest:
            return frozenset()
        ids, self.held = self.held.tenant_ids & frozenset(known), None
        return ids

    def _excess_reason(self, count: int, known: int, now: float) -> str:
        while self._recent and self._recent[0][0] <= now - WINDOW_MS:
            self._recent.popleft()
        gone = sum(n for _, n in self._recent)
        most = max(self.rules.min_allowance, int(self.rules.max_share * (known + gone)))
        if count + gone <= most:
            return ""
        return f"{count + gone} of {known + gone} tenants, at most {most} may go at once"

    def _remove(self, ids: frozenset[str], server: str, now: float) -> RemovalVerdict:
        self.source_server, self.held = server, None
        self._recent.append((now, len(ids)))
        return RemovalVerdict(ids, None)
