"""The idle timeout of connections: how long callers' connections stay open without a request."""

from snowthread.admission.actions import Action, SetIdleTimeout
from snowthread.admission.concurrency import FULL_UTILIZATION_RATIO, UPDATE_PERIOD_S
from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.statistics import PeakPlateau

# Connections close early if one caller is expected to send fewer requests than this within the longest idle
# timeout.
CLOSE_EARLY_REQUESTS = 0.7
# Connections stay open again if one caller is expected to send at least as many requests as this within the
# longest idle timeout.
KEEP_OPEN_REQUESTS = 3.0
# Part of the highest number of connections so far, from which the connection table counts as full.
PEAK_RATIO = 0.98
FULL_TABLE_UPDATES = 12  # updates in a row with a full connection table after which connections close early
# A retry storm is on if the time that requests wait unread, times the share of retries, exceeds this part of
# the mean latency objective.
STORM_UNREAD_RATIO = 0.016
MIN_RETRY_RATIO = 0.1  # lowest share of retries that the test for a retry storm assumes
ASSUMED_RETRY_RATIO = 0.3  # share of retries that is assumed where callers do not mark them
# Factor on the idle timeout per update while connections are not to close early or a retry storm is on: then
# a full connection table keeps retries out at no cost.
STORM_FACTOR = 3.0
# Factor on the idle timeout per update while the cores are full and connections close early.
FULL_CORES_FACTOR = 0.93
# Factor on the idle timeout per update while the cores are not full, connections close early and there are no
# retries.
IDLE_CORES_FACTOR = 0.5


class IdleTimeout:
    """Adapts the idle timeout of connections.

    The timeout shrinks where connections are hardly reused, or where a full connection table costs time.
    It grows again up to the configured timeout otherwise.
    """

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self._timeout_s = state.settings.idle_timeout_s  # the timeout that was set last
        self._closes_early = False
        self._peak = PeakPlateau(PEAK_RATIO)

    def update(self, connections: float, utilization: float) -> list[Action]:
        """Return the new timeout if it changes; called once per update.

        ``connections`` is the number of open connections, ``utilization`` that of the cores, 0 to 1.
        """
        estimates = self._state.estimates
        max_timeout_s = self._state.settings.idle_timeout_s
        requests = max_timeout_s / estimates.caller_interval_s()
        self._peak.add(connections)
        is_wasteful = requests < CLOSE_EARLY_REQUESTS or self._peak.count >= FULL_TABLE_UPDATES
        self._closes_early = requests < KEEP_OPEN_REQUESTS and (self._closes_early or is_wasteful)
        timeout_s = self._timeout_s * self._change_factor(utilization >= FULL_UTILIZATION_RATIO)
        timeout_s = min(max_timeout_s, max(UPDATE_PERIOD_S, timeout_s))
        if not estimates.request_rate or timeout_s == self._timeout_s:
            return []
        self._timeout_s = timeout_s
        return [SetIdleTimeout(round(timeout_s, 3))]

    def _change_factor(self, are_cores_full: bool) -> float:
        """Return the factor by which the timeout changes in this update."""
        estimates = self._state.estimates
        retry_ratio = estimates.retry_share if self._state.settings.marks_retries else ASSUMED_RETRY_RATIO
        storm_threshold_s = STORM_UNREAD_RATIO * estimates.mean_objective_s
        is_retry_storm = (
            are_cores_full and estimates.unread_s * max(MIN_RETRY_RATIO, retry_ratio) > storm_threshold_s
        )
        if not self._closes_early or is_retry_storm:
            return STORM_FACTOR
        if are_cores_full:
            return FULL_CORES_FACTOR
        return IDLE_CORES_FACTOR + (FULL_CORES_FACTOR - IDLE_CORES_FACTOR) * retry_ratio
