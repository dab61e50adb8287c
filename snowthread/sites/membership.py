"""Decides from heartbeats which sites are up.

Pure: heartbeats and the current time in ms are arguments.

| status     | event                                                     | next       | load of the site |
| ---------- | --------------------------------------------------------- | ---------- | ---------------- |
| up         | silent for longer than ``suspicion_timeout_ms``           | suspect    | stays            |
| suspect    | heartbeat of the known incarnation, or the first one ever | up         | stays            |
| suspect    | suspected for ``lost_after_ms``, and unreachable for all  | lost       | may migrate      |
|            | sites that are up                                         |            |                  |
| suspect    | suspected for ``lost_after_ms``, but reachable for a site | suspect    | stays            |
|            | that is up                                                |            |                  |
| up,        | heartbeat of another incarnation that is not an earlier   | recovering | paced            |
| suspect    | one                                                       |            |                  |
| any        | heartbeat of an earlier incarnation or generation         | unchanged  | unchanged        |
| lost       | heartbeat                                                 | recovering | returns, paced   |
| recovering | ``up_after_ms`` with heartbeats                           | up         | unchanged        |
| recovering | silent for longer than ``suspicion_timeout_ms``           | lost       | leaves at once   |

Heartbeats of an earlier incarnation or generation are ignored and counted. A site that hears none of the
others is *isolated*: it considers none of them lost, since it may be cut off itself.

The suspicion timeout is the mean interval between heartbeats plus four times its mean deviation (the
estimator of RFC 6298), but at least three nominal intervals. A link that slows down therefore raises the
timeout and does not cause a suspicion.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MAX_SITES = 64
MIN_TIMEOUT_INTERVALS = 3.0  # A site is never suspected before this many nominal heartbeat intervals.
TIMEOUT_DEVIATIONS = 4.0
MEAN_GAIN = 1.0 / 8.0  # Gain of the smoothed mean interval, from RFC 6298, section 2.
DEVIATION_GAIN = 1.0 / 4.0


class SiteStatus(Enum):
    """The status of another site, as seen by this one; the module docstring has the transitions."""

    UP = "up"
    SUSPECT = "suspect"
    LOST = "lost"
    RECOVERING = "back"  # Heartbeats arrive again; the site is not up yet, and load returns to it gradually.


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat that a site sends to the others."""

    site: str
    generation: int
    incarnation: int
    spare_capacity_per_s: float  # Requests per second that the site could take over from other sites.
    reachable_sites: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class StatusChange:
    """A transition of a site from one status to another."""

    site: str
    previous: SiteStatus
    current: SiteStatus


@dataclass(slots=True)
class PeerSite:
    """What this site knows about another site."""

    status: SiteStatus
    status_since_ms: float
    last_heartbeat_ms: float
    mean_interval_ms: float
    deviation_ms: float
    last_heartbeat: Heartbeat | None = None

    def record_interval(self, interval_ms: float) -> None:
        """Update the smoothed mean and mean deviation of the heartbeat interval (RFC 6298).

        Args:
            interval_ms: Time in ms between the last two heartbeats.
        """
        error_ms = abs(interval_ms - self.mean_interval_ms)
        self.deviation_ms += (error_ms - self.deviation_ms) * DEVIATION_GAIN
        self.mean_interval_ms += (interval_ms - self.mean_interval_ms) * MEAN_GAIN

    def reset_interval(self, interval_ms: float) -> None:
        """Discard the measured intervals and start again from a nominal interval in ms."""
        self.mean_interval_ms = interval_ms
        self.deviation_ms = 0.0


@dataclass(frozen=True, slots=True)
class MembershipTimings:
    """Durations of the membership protocol, in ms."""

    heartbeat_interval_ms: float = 250.0
    lost_after_ms: float = 2000.0  # A suspect site becomes lost after this time in suspicion.
    up_after_ms: float = 3000.0  # A recovering site is up after this time with heartbeats.


@dataclass(slots=True)
class SiteMembership:
    """One site's view of the status of the others."""

    own_site: str
    timings: MembershipTimings
    peers: dict[str, PeerSite] = field(default_factory=dict)
    # Number of heartbeats received from earlier incarnations or generations of a site.
    outdated_heartbeats: int = 0
    unknown_heartbeats: int = 0  # Number of heartbeats received from sites that are not configured.

    @classmethod
    def create(
        cls, own_site: str, others: Iterable[str], timings: MembershipTimings, now_ms: float
    ) -> SiteMembership:
        """Create the view of a site that has just started.

        All other sites are suspect at first, because no heartbeat has been received; so no load migrates.

        Args:
            own_site: Name of this site.
            others: Names of the other sites.
            timings: Durations of the protocol.
            now_ms: Current time in ms on the caller's clock.

        Raises:
            ValueError: There are more than ``MAX_SITES`` sites.
        """
        names = sorted(set(others) - {own_site})
        if len(names) >= MAX_SITES:
            raise ValueError(f"{len(names) + 1} sites, at most {MAX_SITES}")
        interval_ms = timings.heartbeat_interval_ms
        peers = {name: PeerSite(SiteStatus.SUSPECT, now_ms, now_ms, interval_ms, 0.0) for name in names}
        return cls(own_site, timings, peers)

    def suspicion_timeout_ms(self, name: str) -> float:
        """Return how long in ms a site may be silent before it is suspected."""
        peer = self.peers[name]
        return max(
            MIN_TIMEOUT_INTERVALS * self.timings.heartbeat_interval_ms,
            peer.mean_interval_ms + TIMEOUT_DEVIATIONS * peer.deviation_ms,
        )

    def handle_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> list[StatusChange]:
        """Handle a heartbeat received at ``now_ms``, and return the status changes that it causes."""
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
            peer.record_interval(now_ms - peer.last_heartbeat_ms)
        else:  # Intervals before a loss or of another incarnation say nothing about the current ones.
            peer.reset_interval(self.timings.heartbeat_interval_ms)
        peer.last_heartbeat = heartbeat
        peer.last_heartbeat_ms = now_ms
        if peer.status is SiteStatus.SUSPECT:
            # Another incarnation has restarted without its state, even if it was silent too briefly to be
            # lost. The first heartbeat ever received has no earlier incarnation to compare with.
            is_known = same_incarnation or last is None
            return self._change_status(
                heartbeat.site, SiteStatus.UP if is_known else SiteStatus.RECOVERING, now_ms
            )
        if peer.status is SiteStatus.LOST or (peer.status is SiteStatus.UP and not same_incarnation):
            return self._change_status(heartbeat.site, SiteStatus.RECOVERING, now_ms)
        return []

    def tick(self, now_ms: float) -> list[StatusChange]:
        """Return the status changes caused by the passing of time.

        The caller calls this a few times per heartbeat interval, with the current time in ms.
        """
        changes: list[StatusChange] = []
        for name, peer in self.peers.items():
            silent = now_ms - peer.last_heartbeat_ms > self.suspicion_timeout_ms(name)
            if peer.status is SiteStatus.UP and silent:
                changes += self._change_status(name, SiteStatus.SUSPECT, now_ms)
            elif peer.status is SiteStatus.RECOVERING and silent:
                changes += self._change_status(name, SiteStatus.LOST, now_ms)
            elif (
                peer.status is SiteStatus.RECOVERING
                and now_ms - peer.status_since_ms >= self.timings.up_after_ms
            ):
                changes += self._change_status(name, SiteStatus.UP, now_ms)
        for name, peer in self.peers.items():
            overdue = (
                peer.status is SiteStatus.SUSPECT
                and now_ms - peer.status_since_ms >= self.timings.lost_after_ms
            )
            if overdue and not self.is_isolated() and not self._reachable_from_another_site(name):
                changes += self._change_status(name, SiteStatus.LOST, now_ms)
        return changes

    def is_isolated(self) -> bool:
        """Return whether this site hears none of the others, so that it may be cut off itself."""
        return all(peer.status in (SiteStatus.SUSPECT, SiteStatus.LOST) for peer in self.peers.values())

    def reachable_sites(self) -> frozenset[str]:
        """Return the sites that this site reports as reachable in its own heartbeats."""
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
        peer.status_since_ms = now_ms
        return [StatusChange(name, previous, status)] if previous is not status else []


def _is_outdated(heartbeat: Heartbeat, last: Heartbeat) -> bool:
    return (heartbeat.generation, heartbeat.incarnation) < (last.generation, last.incarnation)
