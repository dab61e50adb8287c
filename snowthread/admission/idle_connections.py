"""The idle timeout of connections: how long callers' connections stay open without a request."""

from snowthread.admission.actions import Action, SetIdleTimeout
from snowthread.admission.concurrency import FULL_UTILIZATION_RATIO, UPDATE_PERIOD_S
from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.statistics import PeakPlateau

CLOSE_EARLY_REQUESTS = 0.7  # of one caller, expected in the idle timeout: with fewer, connections close early
KEEP_OPEN_REQUESTS = 3.0  # with as many they do so no more
PEAK_RATIO = 0.98  # of the most connections so far, that counts as a full table
FULL_TABLE_UPDATES = 12  # with a full table, after which connections close early
STORM_UNREAD_RATIO = 0.016  # of the mean objective: time unread times share of retries, in a retry storm
MIN_RETRY_RATIO = 0.1  # share of retries that a storm is computed with at least
ASSUMED_RETRY_RATIO = 0.3  # share of retries where callers do not mark them
STORM_FACTOR = 3.0  # an update, of the timeout: in a storm a full table keeps retries out at no cost
FULL_CORES_FACTOR = 0.93  # an update, of the timeout
IDLE_CORES_FACTOR = 0.5  # an update, of the timeout: without retries


class IdleTimeout:
    """Shortens the timeout where connections are hardly reused, or where their full table costs time."""

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self._timeout_s = state.settings.idle_timeout_s  # as last set
        self._closes_early = False
        self._peak = PeakPlateau(PEAK_RATIO)

    def update(self, connections: float, utilization: float) -> list[Action]:
        """Return the timeout to set, if it changes; ``utilization`` of the cores, 0 to 1."""
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
