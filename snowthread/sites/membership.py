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

TIMEOUT_DEVIATIONS, MIN_TIMEOUT_INTERVALS = 4.0, 3.0
MAX_SITES = 64


class SiteStatus(Enum):
    UP = "up"
    SUSPECT = "suspect"
    LOST = "lost"
    RECOVERING = "back"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One beat of a site: its life, how much it can spare (requests a second), and whom it hears."""

    site: str
    generation: int
    incarnation: int
    spare_capacity_per_s: float
    reachable_sites: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class StatusChange:
    """A site's standing has changed."""

    site: str
    previous: SiteStatus
    current: SiteStatus


@dataclass(slots=True)
class PeerSite:
    """What one site knows of another."""

    status: SiteStatus
    since_ms: float
    last_heard_ms: float
    mean_interval_ms: float
    deviation_ms: float
    last_heartbeat: Heartbeat | None = None


@dataclass(frozen=True, slots=True)
class MembershipRules:
    heartbeat_interval_ms: float = 250.0  # between two beats
    lost_after_ms: float = 2000.0  # of suspicion
    up_after_ms: float = 3000.0  # of beats, for one that is back


@dataclass(slots=True)
class SiteMembership:
    """One site's view of the others."""

    own_site: str
    rules: MembershipRules
    peers: dict[str, PeerSite] = field(default_factory=dict)
    outdated_heartbeats: int = 0  # beats of earlier lives
    unknown_heartbeats: int = 0  # beats of sites that nobody named

    @classmethod
    def create(
        cls, own_site: str, others: Iterable[str], rules: MembershipRules, now_ms: float
    ) -> SiteMembership:
        """Nobody is heard yet: all are suspect, so nothing moves for a site that has just started."""
        names = sorted(set(others) - {own_site})
        if len(names) >= MAX_SITES:
            raise ValueError(f"{len(names) + 1} sites, at most {MAX_SITES}")
        gap = rules.heartbeat_interval_ms
        return cls(
            own_site, rules, {name: PeerSite(SiteStatus.SUSPECT, now_ms, now_ms, gap, 0.0) for name in names}
        )

    def suspicion_timeout_ms(self, name: str) -> float:
        """Silent for longer, a site is suspect."""
        peer = self.peers[name]
        return max(
            MIN_TIMEOUT_INTERVALS * self.rules.heartbeat_interval_ms,
            peer.mean_interval_ms + TIMEOUT_DEVIATIONS * peer.deviation_ms,
        )

    def receive(self, heartbeat: Heartbeat, now_ms: float) -> list[StatusChange]:
        """A beat has come."""
        peer = self.peers.get(heartbeat.site)
        if peer is None:
            self.unknown_heartbeats += 1
            return []
        last = peer.last_heartbeat
        if last is not None and (heartbeat.generation, heartbeat.incarnation) < (
            last.generation,
            last.incarnation,
        ):
            self.outdated_heartbeats += 1
            return []
        same = last is not None and last.incarnation == heartbeat.incarnation
        if same and peer.status in (SiteStatus.UP, SiteStatus.SUSPECT):
            gap = now_ms - peer.last_heard_ms
            peer.deviation_ms += (abs(gap - peer.mean_interval_ms) - peer.deviation_ms) / 4.0
            peer.mean_interval_ms += (gap - peer.mean_interval_ms) / 8.0
        else:  # what its beats were like before a loss or in another life says nothing of these
            peer.mean_interval_ms, peer.deviation_ms = self.rules.heartbeat_interval_ms, 0.0
        peer.last_heartbeat, peer.last_heard_ms = heartbeat, now_ms
        if peer.status is SiteStatus.SUSPECT:
            # Another life than the one that was up: what it had is gone, whether or not it was missed.
            return self._change_status(
                heartbeat.site, SiteStatus.UP if same or last is None else SiteStatus.RECOVERING, now_ms
            )
        if peer.status is SiteStatus.LOST or (peer.status is SiteStatus.UP and not same):
            return self._change_status(heartbeat.site, SiteStatus.RECOVERING, now_ms)
        return []

    def tick(self, now_ms: float) -> list[StatusChange]:
        """Look at the clock; to be called a few times a nominal gap."""
        moves: list[StatusChange] = []
        for name, peer in self.peers.items():
            silent = now_ms - peer.last_heard_ms > self.suspicion_timeout_ms(name)
            if peer.status is SiteStatus.UP and silent:
                moves += self._change_status(name, SiteStatus.SUSPECT, now_ms)
            elif peer.status is SiteStatus.RECOVERING and silent:
                moves += self._change_status(name, SiteStatus.LOST, now_ms)
            elif peer.status is SiteStatus.RECOVERING and now_ms - peer.since_ms >= self.rules.up_after_ms:
                moves += self._change_status(name, SiteStatus.UP, now_ms)
        for name, peer in self.peers.items():
            late = peer.status is SiteStatus.SUSPECT and now_ms - peer.since_ms >= self.rules.lost_after_ms
            if late and not self.is_isolated() and not self._reachable_from_another_site(name):
                moves += self._change_status(name, SiteStatus.LOST, now_ms)
        return moves

    def is_isolated(self) -> bool:
        """Does this site hear none of the others? Then it can't tell their loss from its own."""
        return all(peer.status in (SiteStatus.SUSPECT, SiteStatus.LOST) for peer in self.peers.values())

    def reachable_sites(self) -> frozenset[str]:
        """Whom this site's own beats say it hears."""
        return frozenset(
            name for name, peer in self.peers.items() if peer.status in (SiteStatus.UP, SiteStatus.RECOVERING)
        )

    def _reachable_from_another_site(self, name: str) -> bool:
        return any(
            name in peer.last_heartbeat.reachable_sites
            for other, peer in self.peers.items()
            if other != name and peer.last_heartbeat is not None and peer.status is SiteStatus.UP
        )

    def _change_status(self, name: str, now: SiteStatus, now_ms: float) -> list[StatusChange]:
        peer = self.peers[name]
        before, peer.status, peer.since_ms = peer.status, now, now_ms
        return [StatusChange(name, before, now)] if before is not now else []
