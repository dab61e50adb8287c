"""Which sites are up, by their beats. Pure: beats and ``now`` (ms) in, moves out.

| state   | event                                                          | next    | load              |
| ------- | -------------------------------------------------------------- | ------- | ----------------- |
| up      | silent for longer than its beats ever are (`bound_ms`)         | suspect | stays             |
| suspect | a beat of its present life                                     | up      | stays             |
| suspect | silent for ``lost_after_ms`` more, heard by no site that is up | lost    | may move          |
| suspect | the same, but a site that is up hears it                       | suspect | stays             |
| any     | a beat of an earlier life or generation                        | same    | -, counted        |
| lost    | a beat                                                         | back    | returns, paced    |
| back    | ``up_after_ms`` of beats                                       | up      | -                 |
| back    | silent for longer than `bound_ms`                              | lost    | goes at once      |

A site that hears none of the others is *alone*: it takes none of them for lost, as it may be itself that is
cut off. The bound is the mean gap and four deviations (RFC 6298's estimate) and never under three nominal
gaps, so a link that gets slow makes it patient instead of suspicious.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

DEVIATIONS, GAPS_LEAST = 4.0, 3.0
SITES_MAX = 64


class Standing(Enum):
    UP = "up"
    SUSPECT = "suspect"
    LOST = "lost"
    BACK = "back"


@dataclass(frozen=True, slots=True)
class Beat:
    """One beat of a site: its life, how much it can spare (requests a second), and whom it hears."""

    site: str
    generation: int
    incarnation: int
    spare_per_s: float
    hears: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Move:
    """A site's standing has changed."""

    site: str
    before: Standing
    now: Standing


@dataclass(slots=True)
class Peer:
    """What one site knows of another."""

    standing: Standing
    since_ms: float
    heard_ms: float
    gap_ms: float
    deviation_ms: float
    beat: Beat | None = None


@dataclass(frozen=True, slots=True)
class Rules:
    every_ms: float = 250.0  # between two beats
    lost_after_ms: float = 2000.0  # of suspicion
    up_after_ms: float = 3000.0  # of beats, for one that is back


@dataclass(slots=True)
class Sites:
    """One site's view of the others."""

    me: str
    rules: Rules
    peers: dict[str, Peer] = field(default_factory=dict)
    old: int = 0  # beats of earlier lives
    strangers: int = 0  # beats of sites that nobody named

    @classmethod
    def begin(cls, me: str, others: Iterable[str], rules: Rules, now_ms: float) -> Sites:
        """Nobody is heard yet: all are suspect, so nothing moves for a site that has just started."""
        names = sorted(set(others) - {me})
        if len(names) >= SITES_MAX:
            raise ValueError(f"{len(names) + 1} sites, at most {SITES_MAX}")
        gap = rules.every_ms
        return cls(me, rules, {name: Peer(Standing.SUSPECT, now_ms, now_ms, gap, 0.0) for name in names})

    def bound_ms(self, name: str) -> float:
        """Silent for longer, a site is suspect."""
        peer = self.peers[name]
        return max(GAPS_LEAST * self.rules.every_ms, peer.gap_ms + DEVIATIONS * peer.deviation_ms)

    def heard(self, beat: Beat, now_ms: float) -> list[Move]:
        """A beat has come."""
        peer = self.peers.get(beat.site)
        if peer is None:
            self.strangers += 1
            return []
        last = peer.beat
        if last is not None and (beat.generation, beat.incarnation) < (last.generation, last.incarnation):
            self.old += 1
            return []
        same = last is not None and last.incarnation == beat.incarnation
        if same and peer.standing in (Standing.UP, Standing.SUSPECT):
            gap = now_ms - peer.heard_ms
            peer.deviation_ms += (abs(gap - peer.gap_ms) - peer.deviation_ms) / 4.0
            peer.gap_ms += (gap - peer.gap_ms) / 8.0
        else:  # what its beats were like before a loss or in another life says nothing of these
            peer.gap_ms, peer.deviation_ms = self.rules.every_ms, 0.0
        peer.beat, peer.heard_ms = beat, now_ms
        if peer.standing is Standing.SUSPECT:
            # Another life than the one that was up: what it had is gone, whether or not it was missed.
            return self._move(beat.site, Standing.UP if same or last is None else Standing.BACK, now_ms)
        if peer.standing is Standing.LOST or (peer.standing is Standing.UP and not same):
            return self._move(beat.site, Standing.BACK, now_ms)
        return []

    def tick(self, now_ms: float) -> list[Move]:
        """Look at the clock; to be called a few times a nominal gap."""
        moves: list[Move] = []
        for name, peer in self.peers.items():
            silent = now_ms - peer.heard_ms > self.bound_ms(name)
            if peer.standing is Standing.UP and silent:
                moves += self._move(name, Standing.SUSPECT, now_ms)
            elif peer.standing is Standing.BACK and silent:
                moves += self._move(name, Standing.LOST, now_ms)
            elif peer.standing is Standing.BACK and now_ms - peer.since_ms >= self.rules.up_after_ms:
                moves += self._move(name, Standing.UP, now_ms)
        for name, peer in self.peers.items():
            late = peer.standing is Standing.SUSPECT and now_ms - peer.since_ms >= self.rules.lost_after_ms
            if late and not self.alone() and not self._heard_elsewhere(name):
                moves += self._move(name, Standing.LOST, now_ms)
        return moves

    def alone(self) -> bool:
        """Does this site hear none of the others? Then it can't tell their loss from its own."""
        return all(peer.standing in (Standing.SUSPECT, Standing.LOST) for peer in self.peers.values())

    def hears(self) -> frozenset[str]:
        """Whom this site's own beats say it hears."""
        return frozenset(name for name, peer in self.peers.items()
                         if peer.standing in (Standing.UP, Standing.BACK))

    def _heard_elsewhere(self, name: str) -> bool:
        return any(name in peer.beat.hears for other, peer in self.peers.items()
                   if other != name and peer.beat is not None and peer.standing is Standing.UP)

    def _move(self, name: str, now: Standing, now_ms: float) -> list[Move]:
        peer = self.peers[name]
        before, peer.standing, peer.since_ms = peer.standing, now, now_ms
        return [Move(name, before, now)] if before is not now else []
