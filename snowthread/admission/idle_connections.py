"""The idle timeout of connections."""

from snowthread.admission.actions import Action, SetIdleTimeout
from snowthread.admission.concurrency import FULL_UTILIZATION, UPDATE_PERIOD_S
from snowthread.admission.estimators import Estimates
from snowthread.admission.settings import Settings
from snowthread.admission.statistics import SteadyPeak

CLOSE_EARLY_REUSES, KEEP_OPEN_REUSES = 0.7, 3.0  # requests of one caller expected while a connection idles
STEADY_SHARE, STEADY_UPDATES = 0.98, 12  # of the most connections, for so long: their table counts as full
STORM_UNREAD_SHARE = 0.016  # of the mean objective: unread for longer, times the share of retries
ASSUMED_RETRY_SHARE = 0.3  # where retries are not marked
STORM_FACTOR = 3.0  # of the timeout, an update: in a storm
FULL_FACTOR, IDLE_FACTOR = 0.93, 0.5  # with full cores; with idle ones and no retries


class IdleTimeout:
    """Shortens the timeout where connections are hardly reused, or where their full table costs time."""

    # In a storm it grows again: a full table rejects for free. Harm: more handshakes afterwards.

    def __init__(self, settings: Settings, estimates: Estimates) -> None:
        self.settings, self._estimates = settings, estimates
        self._timeout_s = settings.idle_timeout_s  # as last told to the host
        self._closes_early, self._peak = False, SteadyPeak(STEADY_SHARE)

    def update(self, connections: float, utilization: float) -> list[Action]:
        """Return the timeout to set, if it changes."""
        reuses = self.settings.idle_timeout_s / self._estimates.caller_interval_s()
        self._peak.add(connections)
        wasteful = reuses < CLOSE_EARLY_REUSES or self._peak.times >= STEADY_UPDATES
        self._closes_early = reuses < KEEP_OPEN_REUSES and (self._closes_early or wasteful)
        timeout_s = self._timeout_s * self._factor(utilization >= FULL_UTILIZATION)
        timeout_s = min(self.settings.idle_timeout_s, max(UPDATE_PERIOD_S, timeout_s))
        if not self._estimates.request_rate or timeout_s == self._timeout_s:
            return []
        self._timeout_s = timeout_s
        return [SetIdleTimeout(round(timeout_s, 3))]

    def _factor(self, full: bool) -> float:
        retries = self._estimates.retry_share if self.settings.marks_retries else ASSUMED_RETRY_SHARE
        storm_s = STORM_UNREAD_SHARE * self._estimates.mean_objective_s
        if not self._closes_early or (full and self._estimates.unread_s * max(0.1, retries) > storm_s):
            return STORM_FACTOR
        return FULL_FACTOR if full else IDLE_FACTOR + (FULL_FACTOR - IDLE_FACTOR) * retries
