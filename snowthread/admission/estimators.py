"""Estimates of the load and of this machine's speed, learned from requests, runs and calls.

Baseline times are those under normal conditions: slow averages on which overlong runs and calls have little
effect. A unit of work is the baseline core time of a mean request; for requests with work hints it is one
second of hinted core time. Work rates are units per second.
"""

import math

from snowthread.admission.class_times import ClassTimeTable
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Settings
from snowthread.admission.statistics import DecayingSums, PowerLawFit, average_rate, update_moving_average

# Times closer than this count as equal; otherwise rounding could arm a timer again and again for the same
# moment.
TIME_TOLERANCE_S = 1e-6
AVERAGED_REQUESTS = 16.0  # arrivals that an average of the load spans, whatever the size of the machine
MAX_AVERAGED_OBJECTIVES = 2.0  # longest span of an average of arrivals, in mean latency objectives
MIN_REQUEST_RATE_PER_S = 1e-9  # lower bound of the request rate as a divisor
UNREAD_BACKLOG_S = 1.0  # seconds within which the backlog of requests that waited unread is to be worked off
SERVICE_RATE_WINDOW_S = 3.0  # seconds of full cores that the service rate is averaged over
MIN_SERVICE_RATE_TIME_S = 1.0  # seconds of full cores that are needed before the service rate is known
BEST_SPEED_DECAY_S = 60.0  # seconds of full cores in which the best speed decays to 1/e
READ_WORK_RATIO = 0.25  # work of reading a request, in units of work
# Share of answers that are still useful at their latency objective, in Berger's model of abandonment.
OBJECTIVE_SUCCESS_RATIO = 0.7
# Abandonment ratio of Berger's example, used until the service rate is known and as the upper limit after
# that.
INITIAL_ABANDONMENT_RATIO = 0.071
# Initial exponent of core time over work hint: on a log scale core times grow half as much as hints.
HINT_EXPONENT = 0.5
HINT_WEIGHT_RUNS = 4.0  # weight of the initial exponent, in runs
HINT_MEMORY_RUNS = 200.0  # runs after which what a run taught about hints has decayed to 1/e
RUN_WINDOW_RUNS = 15.0  # runs that run and core times are averaged over
# Runs that run and core times are averaged over while runs take at most half of the average.
RUN_FALL_WINDOW_RUNS = 3.0
BASE_WINDOW_RUNS = 30.0  # runs or calls that the baseline times are averaged over
# Runs that the baseline core time is averaged over while runs are far shorter than it.
BASE_FALL_WINDOW_RUNS = 3.0
# A run with less than this part of the baseline core time is far shorter than the baseline.
BASE_FALL_RATIO = 0.25
# Longest core time that one run adds to the baseline average, in multiples of the baseline.
MAX_BASE_SAMPLE_FACTOR = 2.0
CALL_WINDOW_CALLS = 8.0  # calls that the call times are averaged over
# Longest duration that one call adds to the average, in multiples of the usual call time.
MAX_CALL_SAMPLE_FACTOR = 4.0
SLOW_CALL_FACTOR = 2.0  # a call is slow from this many times the baseline call time on
SLOW_CALL_BASE_RISE_S = 60.0  # seconds of slow calls in which the baseline call time doubles


class Estimates(ClassTimeTable):
    """Learns arrival and service rates, the machine's speed, and the run and call times of each class."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(PowerLawFit(HINT_EXPONENT, HINT_WEIGHT_RUNS, HINT_MEMORY_RUNS, BASE_WINDOW_RUNS))
        # Counts since the last update, in requests and in units of work.
        self.requests_read = 0
        self.work_arrived = 0.0
        self.work_done = 0.0
        # Estimates of the arrivals.
        self.request_rate = 0.0  # requests per second
        # Units of work per second, with the work needed to clear the backlog of requests that waited unread.
        self.arrival_rate = 0.0
        self.unread_s = 0.0  # mean time in seconds that a request waited unread
        self.retry_share = 0.0  # share of requests that are retries, 0 to 1
        self._observed_s = 0.0  # effective seconds that the arrival rates are averaged over
        # Estimates that are updated only while the cores are full.
        self.service_rate = 0.0  # units of work per second; 0: unknown
        self.work_speed = 0.0  # the service rate plus the work of reading requests, in units per second
        self.best_work_speed = 0.0  # highest work speed so far, slowly decaying, in units per second
        # Units of work done and requests read while the cores were full.
        self._full_core_sums = DecayingSums(2, SERVICE_RATE_WINDOW_S)
        # Estimate of the downstream calls.
        self.slow_call_share = 0.0  # share of calls that were slow, 0 to 1
        self.apply_settings(settings, range(len(settings.classes)))

    def work_units(self, class_index: int, work_hint_s: float | None) -> float:
        """Return the units of work of a request, by its hint or else by the baseline of its class."""
        if work_hint_s:
            return self.hint_fit.scale(class_index, work_hint_s)
        return (
            self.base_core_time_s[class_index] * self.full_core_rate(self.base_core_time_s) / self.cores
            or 1.0
        )

    def abandonment_ratio(self) -> float:
        """Return Berger's beta: the abandonment rate of waiting requests divided by the service rate."""
        if self.service_rate <= 0.0:
            return INITIAL_ABANDONMENT_RATIO
        run_rate = self.full_core_rate(self.base_core_time_s) or 1.0
        ratio = -math.log(OBJECTIVE_SUCCESS_RATIO) / (run_rate * self.mean_objective_s)
        return min(INITIAL_ABANDONMENT_RATIO, ratio)

    def averaging_span_s(self) -> float:
        """Return the seconds that arrivals are averaged over.

        The span is not much longer than a request may wait.
        """
        span_s = AVERAGED_REQUESTS / max(self.request_rate, MIN_REQUEST_RATE_PER_S)
        return min(self.mean_objective_s * MAX_AVERAGED_OBJECTIVES, span_s)

    def caller_interval_s(self) -> float:
        """Return the mean seconds between two requests of one caller, if callers send equally often."""
        return max(1, self.caller_count) / max(self.request_rate, MIN_REQUEST_RATE_PER_S)

    def record_arrival(self, work: float, is_retry: bool, unread_s: float) -> None:
        """Record a request of ``work`` units that waited unread for ``unread_s`` seconds."""
        self.requests_read += 1
        self.retry_share += (is_retry - self.retry_share) / AVERAGED_REQUESTS
        self.unread_s += (unread_s - self.unread_s) / AVERAGED_REQUESTS
        self.work_arrived += work * (1.0 + unread_s / UNREAD_BACKLOG_S)

    def record_successful_run(self, now: float, request: RequestRecord) -> None:
        """Learn the core time of a successful run and its duration, calls included."""
        index = request.class_index
        work = request.work
        core_s = request.core_time_s
        self.last_run_at_s[index] = now
        self.work_done += work
        update_moving_average(self.core_time_s, index, core_s / work, RUN_WINDOW_RUNS, RUN_FALL_WINDOW_RUNS)
        run_time_s = (now - request.started_at) / work
        update_moving_average(self.run_time_s, index, run_time_s, RUN_WINDOW_RUNS, RUN_FALL_WINDOW_RUNS)
        if request.work_hint_s:
            self.hint_fit.add_point(index, request.work_hint_s, max(core_s, TIME_TOLERANCE_S))
        base_s = self.base_core_time_s[index]
        window = BASE_FALL_WINDOW_RUNS if core_s < base_s * BASE_FALL_RATIO else BASE_WINDOW_RUNS
        moved_s = base_s + (min(core_s, MAX_BASE_SAMPLE_FACTOR * base_s) - base_s) / window
        self.base_core_time_s[index] = moved_s if base_s > 0.0 else core_s

    def record_unsuccessful_run(self, request: RequestRecord) -> None:
        """Record the work of a run that was stopped or failed, since it used the cores as well."""
        core_time_s = self.core_time_s[request.class_index]
        if core_time_s > 0.0:
            self.work_done += min(request.work, request.core_time_s / core_time_s)

    def record_call(self, index: int, now: float, duration_s: float) -> None:
        """Learn from a call of a class, of ``duration_s`` seconds.

        A few hung calls among quick ones do not make the dependency count as slow: the averages span
        several calls, and a long call counts with a capped duration.
        """
        base_s = self.base_call_time_s[index]
        last_at = self.last_call_at_s[index]
        self.last_call_at_s[index] = now
        if base_s <= 0.0:
            self.base_call_time_s[index] = max(duration_s, TIME_TOLERANCE_S)
            self.call_time_s[index] = self.base_call_time_s[index]
            return
        usual_s = self.call_time_s[index]
        is_slow = duration_s >= SLOW_CALL_FACTOR * base_s
        counted_s = min(duration_s, MAX_CALL_SAMPLE_FACTOR * usual_s)
        self.call_time_s[index] += (counted_s - usual_s) / CALL_WINDOW_CALLS
        self.slow_call_share += (is_slow - self.slow_call_share) / CALL_WINDOW_CALLS
        rise_s = base_s * min(1.0, (now - last_at) / SLOW_CALL_BASE_RISE_S)
        self.base_call_time_s[index] += rise_s if is_slow else (duration_s - base_s) / BASE_WINDOW_RUNS

    def reset_speed(self) -> None:
        """Restart the measurement of the speed from its best value.

        Whatever slowed this machine down may be over.
        """
        self._full_core_sums = DecayingSums(2, SERVICE_RATE_WINDOW_S)
        self.work_speed = self.best_work_speed

    def update(self, elapsed_s: float, is_full: bool) -> None:
        """Learn from what was counted in the elapsed time; speeds only if the cores were full."""
        decay = math.exp(-elapsed_s / self.averaging_span_s())
        # The observed time starts at 0, so that the time before the start does not count as idle.
        self._observed_s = self._observed_s * decay + elapsed_s
        self.arrival_rate = average_rate(self.arrival_rate, self.work_arrived, elapsed_s, self._observed_s)
        self.request_rate = average_rate(self.request_rate, self.requests_read, elapsed_s, self._observed_s)
        if is_full:
            self._full_core_sums.add(elapsed_s, self.work_done, self.requests_read)
            self._update_speed(elapsed_s)
        self.requests_read = 0
        self.work_arrived = 0.0
        self.work_done = 0.0

    def _update_speed(self, elapsed_s: float) -> None:
        work_done, requests_read = self._full_core_sums.sums
        full_s = self._full_core_sums.observed_s
        if full_s >= MIN_SERVICE_RATE_TIME_S:
            self.service_rate = work_done / full_s
            self.work_speed = self.service_rate + READ_WORK_RATIO * requests_read / full_s
            best = self.best_work_speed * math.exp(-elapsed_s / BEST_SPEED_DECAY_S)
            self.best_work_speed = max(self.work_speed, best)
