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

    share: float = 0.1
    least: int = 2
    confirm: bool = True  # a second refresh confirms; else only an operator does
    confirm_after_ms: float = 60_000.0
    accept: str = ""  # the digest of a held removal that an operator accepts


@dataclass(frozen=True, slots=True)
class Held:
    """A removal that waits for a word."""

    ids: frozenset[str]
    since: float
    why: str

    @property
    def digest(self) -> str:
        """What an operator accepts it by."""
        return blake2b("\n".join(sorted(self.ids)).encode(), digest_size=6).hexdigest()


@dataclass(frozen=True, slots=True)
class Verdict:
    """``remove`` now; ``held``: what waits afterwards; ``news``: it began to wait just now."""

    remove: frozenset[str]
    held: Held | None
    news: bool = False


class RemovalGuard:
    """Judges the removals that a directory reports."""

    def __init__(self, rules: RemovalRules) -> None:
        self.rules = rules
        self.held: Held | None = None
        self.home = ""  # the server whose contents are known here
        self._recent: deque[tuple[float, int]] = deque()

    def whole(self, missing: Collection[str], known: int, server: str, now: float) -> Verdict:
        """A whole refresh went through, and these of the known ones did not come."""
        missing = frozenset(missing)
        foreign = bool(self.home) and server != self.home
        if not missing:
            self.home, self.held = server, None
            return Verdict(frozenset(), None)
        held = self.held
        if self.rules.accept and self.rules.accept == Held(missing, now, "").digest:
            return self._remove(missing, server, now)
        if held is not None:
            again = held.ids & missing
            if self.rules.confirm and again and now - held.since >= self.rules.confirm_after_ms:
                rest = missing - again
                verdict = self._remove(again, server, now)
                if not rest:
                    return verdict
                self.held = Held(rest, now, "it is missing for the first time")
                return Verdict(again, self.held, True)
            if again:  # its time is not up; what is newly missing has its whole time before it
                self.held = Held(missing, held.since if missing <= held.ids else now, held.why)
                return Verdict(frozenset(), self.held, missing != held.ids)
        why = "another server says so" if foreign else self._too_many(len(missing), known, now)
        if not why:
            return self._remove(missing, server, now)
        self.held = Held(missing, now, why)
        return Verdict(frozenset(), self.held, True)

    def named(self, gone: Collection[str], known: int, server: str, now: float) -> Verdict:
        """These were named as deleted, in a refresh from a cookie or while following."""
        ids = frozenset(gone)
        if self.held is not None:
            ids |= self.held.ids
        why = self._too_many(len(ids), known, now)
        if self.rules.accept and self.rules.accept == Held(ids, now, "").digest:
            why = ""
        if not ids:
            return Verdict(ids, self.held)
        if why or self.held is not None:
            news = self.held is None or self.held.ids != ids
            self.held = Held(ids, now if self.held is None else self.held.since, why or "more went before")
            return Verdict(frozenset(), self.held, news)
        return self._remove(ids, server, now)

    def returned(self, ids: Collection[str]) -> None:
        """These were seen: they are missing no more."""
        if self.held is not None and not self.held.ids.isdisjoint(ids):
            rest = self.held.ids - frozenset(ids)
            self.held = Held(rest, self.held.since, self.held.why) if rest else None

    def look_again_at(self) -> float | None:
        """When a whole refresh could confirm what is held."""
        if self.held is None or not self.rules.confirm:
            return None
        return self.held.since + self.rules.confirm_after_ms

    def accepted(self, known: Collection[str]) -> frozenset[str]:
        """What is held and was accepted by its digest meanwhile; it may go now."""
        if self.held is None or self.held.digest != self.rules.accept:
            return frozenset()
        ids, self.held = self.held.ids & frozenset(known), None
        return ids

    def _too_many(self, count: int, known: int, now: float) -> str:
        while self._recent and self._recent[0][0] <= now - WINDOW_MS:
            self._recent.popleft()
        gone = sum(n for _, n in self._recent)
        most = max(self.rules.least, int(self.rules.share * (known + gone)))
        if count + gone <= most:
            return ""
        return f"{count + gone} of {known + gone} tenants, at most {most} may go at once"

    def _remove(self, ids: frozenset[str], server: str, now: float) -> Verdict:
        self.home, self.held = server, None
        self._recent.append((now, len(ids)))
        return Verdict(ids, None)
