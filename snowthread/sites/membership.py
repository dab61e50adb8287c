"""Decide from heartbeats which sites are up. Pure: heartbeats and the current time (ms) are arguments.

| state      | event                                                       | next       | load           |
| ---------- | ----------------------------------------------------------- | ---------- | -------------- |
| up         | silent for longer than `suspicion_timeout_ms`               | suspect    | stays          |
| suspect    | a heartbeat of its present incarnation                      | up         | stays          |
| suspect    | silent ``lost_after_ms`` more, unreachable for all sites up | lost       | may migrate    |
| suspect    | the same, but reachable for a site that is up               | suspect    | stays          |
| any        | a heartbeat of an earlier incarnation or generation         | same       | -, counted     |
| lost       | a heartbeat                                                 | recovering | returns, paced |
| recovering | ``up_after_ms`` of heartbeats                               | up         | -              |
| recovering | silent for longer than `suspicion_timeout_ms`               | lost       | leaves at once |

A site that hears none of the others is *isolated*: it considers none of them lost, since it may be cut off
itself. The timeout is the mean interval and four deviations (the estimator of RFC 6298) and never under three
nominal intervals, so a link that slows down raises the timeout instead of a suspicion.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MAX_SITES = 64
MIN_TIMEOUT_INTERVALS = 3.0  # nominal intervals
TIMEOUT_DEVIATIONS = 4.0
MEAN_GAIN = 1.0 / 8.0  # RFC 6298, section 2
DEVIATION_GAIN = 1.0 / 4.0


class SiteStatus(Enum):
    """A site's status; see the table above."""

    UP = "up"
    SUSPECT = "suspect"
    LOST = "lost"
    RECOVERING = "back"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of a site."""

    site: str
    generation: int
    incarnation: int
    spare_capacity_per_s: float  # requests a second that the site could take over
    reachable_sites: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class StatusChange:
    """A change of a site's status."""

    site: str
    previous: SiteStatus
    current: SiteStatus


@dataclass(slots=True)
class PeerSite:
    """What one site knows about another."""

    status: SiteStatus
    since_ms: float
    last_heard_ms: float
    mean_interval_ms: float
    deviation_ms: float
    last_heartbeat: Heartbeat | None = None

    def record_interval(self, interval_ms: float) -> None:
        """Update the smoothed interval between heartbeats and its mean deviation (RFC 6298)."""
        error_ms = abs(interval_ms - self.mean_interval_ms)
        self.deviation_ms += (error_ms - self.deviation_ms) * DEVIATION_GAIN
        self.mean_interval_ms += (interval_ms - self.mean_interval_ms) * MEAN_GAIN

    def reset_interval(self, interval_ms: float) -> None:
        """Forget the measured intervals and start from a nominal one."""
        self.mean_interval_ms = interval_ms
        self.deviation_ms = 0.0


@dataclass(frozen=True, slots=True)
class MembershipRules:
    """Times of the membership protocol."""

    heartbeat_interval_ms: float = 250.0
    lost_after_ms: float = 2000.0  # of suspicion
    up_after_ms: float = 3000.0  # of heartbeats, for a recovering site


@dataclass(slots=True)
class SiteMembership:
    """One site's view of the others."""

    own_site: str
    rules: MembershipRules
    peers: dict[str, PeerSite] = field(default_factory=dict)
    outdated_heartbeats: int = 0  # of earlier incarnations
    unknown_heartbeats: int = 0  # of sites that are not configured

    @classmethod
    def create(
        cls, own_site: str, others: Iterable[str], rules: MembershipRules, now_ms: float
    ) -> SiteMembership:
        """Return the view of a site that has just started.

        All others are suspect, since none has been heard yet, so no load migrates. ``now_ms`` is the time on
        the caller's clock.

        Raises:
            ValueError: There are more than ``MAX_SITES`` sites.
        """
        names = sorted(set(others) - {own_site})
        if len(names) >= MAX_SITES:
            raise ValueError(f"{len(names) + 1} sites, at most {MAX_SITES}")
        interval_ms = rules.heartbeat_interval_ms
        peers = {name: PeerSite(SiteStatus.SUSPECT, now_ms, now_ms, interval_ms, 0.0) for name in names}
        return cls(own_site, rules, peers)

    def suspicion_timeout_ms(self, name: str) -> float:
        """Return how long a site may be silent before it is suspected."""
        peer = self.peers[name]
        return max(
            MIN_TIMEOUT_INTERVALS * self.rules.heartbeat_interval_ms,
            peer.mean_interval_ms + TIMEOUT_DEVIATIONS * peer.deviation_ms,
        )

    def receive(self, heartbeat: Heartbeat, now_ms: float) -> list[StatusChange]:
        """Take in a heartbeat and return the status changes that follow."""
        peer = self.peers.get(heartbeat.site)
        if peer is None:
            self.unknown_heartbeats += 1
            return []
        last = peer.last_heartbeat
        if last is not None and _is_outdated(heartbeat, last):
            self.outdated_heartbeats += 1
            return []
        same_incarnation = last is not None and last.incarnation == heartbeat.incarnation
        if same_incarnation and peer.status in (SiteStatus.UP, SiteStatus.SUSPECT):
            peer.record_interval(now_ms - peer.last_heard_ms)
        else:  # intervals before a loss or of another incarnation say nothing about the present ones
            peer.reset_interval(self.rules.heartbeat_interval_ms)
        peer.last_heartbeat = heartbeat
        peer.last_heard_ms = now_ms
        if peer.status is SiteStatus.SUSPECT:
            # A new incarnation has lost its state, whether or not its absence was noticed.
            is_known = same_incarnation or last is None
            return self._change_status(
                heartbeat.site, SiteStatus.UP if is_known else SiteStatus.RECOVERING, now_ms
            )
        if peer.status is SiteStatus.LOST or (peer.status is SiteStatus.UP and not same_incarnation):
            return self._change_status(heartbeat.site, SiteStatus.RECOVERING, now_ms)
        return []

    def tick(self, now_ms: float) -> list[StatusChange]:
        """Return the status changes due to the passing of time; to be called a few times an interval."""
        changes: list[StatusChange] = []
        for name, peer in self.peers.items():
            silent = now_ms - peer.last_heard_ms > self.suspicion_timeout_ms(name)
            if peer.status is SiteStatus.UP and silent:
                changes += self._change_status(name, SiteStatus.SUSPECT, now_ms)
            elif peer.status is SiteStatus.RECOVERING and silent:
                changes += self._change_status(name, SiteStatus.LOST, now_ms)
            elif peer.status is SiteStatus.RECOVERING and now_ms - peer.since_ms >= self.rules.up_after_ms:
                changes += self._change_status(name, SiteStatus.UP, now_ms)
        for name, peer in self.peers.items():
            overdue = peer.status is SiteStatus.SUSPECT and now_ms - peer.since_ms >= self.rules.lost_after_ms
            if overdue and not self.is_isolated() and not self._reachable_from_another_site(name):
                changes += self._change_status(name, SiteStatus.LOST, now_ms)
        return changes

    def is_isolated(self) -> bool:
        """Return whether this site hears none of the others: it may be cut off itself."""
        return all(peer.status in (SiteStatus.SUSPECT, SiteStatus.LOST) for peer in self.peers.values())

    def reachable_sites(self) -> frozenset[str]:
        """Return the sites that this site's own heartbeats report as reachable."""
        return frozenset(
            name for name, peer in self.peers.items() if peer.status in (SiteStatus.UP, SiteStatus.RECOVERING)
        )

    def _reachable_from_another_site(self, name: str) -> bool:
        return any(
            name in peer.last_heartbeat.reachable_sites
            for other, peer in self.peers.items()
            if other != name and peer.last_heartbeat is not None and peer.status is SiteStatus.UP
        )

    def _change_status(self, name: str, status: SiteStatus, now_ms: float) -> list[StatusChange]:
        peer = self.peers[name]
        previous = peer.status
        peer.status = status
        peer.since_ms = now_ms
        return [StatusChange(name, previous, status)] if previous is not status else []


def _is_outdated(heartbeat: Heartbeat, last: Heartbeat) -> bool:
    return (heartbeat.generation, heartbeat.incarnation) < (last.generation, last.incarnation)
