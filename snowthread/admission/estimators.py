"""What is learned of the load and of this server's speed.

A unit of work is the core time of a mean request in good times; where requests have work hints, a second of
hinted core time. Rates of work are units a second.
"""

import math

from snowthread.admission.class_times import ClassTimeTable
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Settings
from snowthread.admission.statistics import DecayingSums, PowerLawFit, average_rate, update_moving_average

TIME_TOLERANCE_S = 1e-6  # times nearer than this are the same, or rounding would arm a timer for ever
AVERAGED_REQUESTS = 16.0  # that an average of arrivals spans, whatever the size of the server
MAX_AVERAGED_OBJECTIVES = 2.0  # mean latency objectives, that it spans at most
MIN_REQUEST_RATE_PER_S = 1e-9  # a lower one counts as this
UNREAD_BACKLOG_S = 1.0  # within which requests that waited unread are to be worked off
SERVICE_RATE_WINDOW_S = 3.0  # of full cores, that the service rate is averaged over
MIN_SERVICE_RATE_TIME_S = 1.0  # of full cores, before the service rate is known
BEST_SPEED_DECAY_S = 60.0  # of full cores, in which the best speed fades to 1/e
READ_WORK_RATIO = 0.25  # work of reading a request, in units of work
OBJECTIVE_SUCCESS_RATIO = 0.7  # of answers that are still good at their objective, in Berger's model
INITIAL_ABANDONMENT_RATIO = 0.071  # Berger's example, until the service rate is known
HINT_EXPONENT = 0.5  # first guess of how core times grow with hints: half as much, on a log scale
HINT_WEIGHT_RUNS = 4.0  # that the first guess weighs
HINT_MEMORY_RUNS = 200.0  # in which what was learned of hints fades to 1/e
RUN_WINDOW_RUNS = 15.0  # that rising run times are averaged over
RUN_FALL_WINDOW_RUNS = 3.0  # that falling run times are averaged over
BASE_WINDOW_RUNS = 30.0  # runs or calls, that base times are averaged over
BASE_FALL_WINDOW_RUNS = 3.0  # that a base core time falls over to runs that are far shorter
BASE_FALL_RATIO = 0.25  # of the base core time, below which a run is far shorter
MAX_BASE_SAMPLE_FACTOR = 2.0  # times the base core time: a longer run counts as this
CALL_WINDOW_CALLS = 8.0  # that call times are averaged over
MAX_CALL_SAMPLE_FACTOR = 4.0  # times the usual call time: a longer call counts as this
SLOW_CALL_FACTOR = 2.0  # times the base call time, from which a call is slow
SLOW_CALL_BASE_RISE_S = 60.0  # of slow calls, in which their base time doubles


class Estimates(ClassTimeTable):
    """Learns rates of arrival and of service, the server's speed, and the times of each class."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(PowerLawFit(HINT_EXPONENT, HINT_WEIGHT_RUNS, HINT_MEMORY_RUNS, BASE_WINDOW_RUNS))
        # Counted since the last update:
        self.requests_read = 0
        self.work_arrived = 0.0  # units
        self.work_done = 0.0  # units
        # Learned of arrivals:
        self.request_rate = 0.0  # requests a second
        self.arrival_rate = 0.0  # units a second, with what it takes to work off those that waited unread
        self.unread_s = 0.0  # mean time for which a request waited unread
        self.retry_share = 0.0  # of requests, 0 to 1
        self._observed_s = 0.0  # time that the rates stand for
        # Learned while the cores were full:
        self.service_rate = 0.0  # units a second; 0: not known
        self.work_speed = 0.0  # the same, with the work of reading
        self.best_work_speed = 0.0
        self._saturated_sums = DecayingSums(2, SERVICE_RATE_WINDOW_S)  # work done (units), requests read
        # Learned of calls:
        self.slow_call_share = 0.0  # of calls, 0 to 1
        self.apply_settings(settings, range(len(settings.classes)))

    def work_units(self, class_index: int, work_hint_s: float | None) -> float:
        """Return the units of work of a request: by its hint, else by the base time of its class."""
        if work_hint_s:
            return self.hint_fit.scale(class_index, work_hint_s)
        return (
            self.base_core_time_s[class_index] * self.saturated_rate(self.base_core_time_s) / self.cores
            or 1.0
        )

    def abandonment_ratio(self) -> float:
        """Return Berger's beta: the rate at which waiting requests become useless, over the service rate."""
        if self.service_rate <= 0.0:
            return INITIAL_ABANDONMENT_RATIO
        run_rate = self.saturated_rate(self.base_core_time_s) or 1.0
        ratio = -math.log(OBJECTIVE_SUCCESS_RATIO) / (run_rate * self.mean_objective_s)
        return min(INITIAL_ABANDONMENT_RATIO, ratio)

    def averaging_span_s(self) -> float:
        """Return the seconds over which arrivals are averaged; not much longer than a request may wait."""
        span_s = AVERAGED_REQUESTS / max(self.request_rate, MIN_REQUEST_RATE_PER_S)
        return min(self.mean_objective_s * MAX_AVERAGED_OBJECTIVES, span_s)

    def caller_interval_s(self) -> float:
        """Return the seconds between two requests of one caller, if callers share the arrivals evenly."""
        return max(1, self.caller_count) / max(self.request_rate, MIN_REQUEST_RATE_PER_S)

    def record_arrival(self, work: float, is_retry: bool, unread_s: float) -> None:
        """Count a request of so many units of work that waited unread for so many seconds."""
        self.requests_read += 1
        self.retry_share += (is_retry - self.retry_share) / AVERAGED_REQUESTS
        self.unread_s += (unread_s - self.unread_s) / AVERAGED_REQUESTS
        self.work_arrived += work * (1.0 + unread_s / UNREAD_BACKLOG_S)

    def record_successful_run(self, now: float, request: RequestRecord) -> None:
        """Learn from a run its core time and, calls included, its duration."""
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
        """Count the work of a run that was stopped or failed: it took its part of the cores too."""
        core_time_s = self.core_time_s[request.class_index]
        if core_time_s > 0.0:
            self.work_done += min(request.work, request.core_time_s / core_time_s)

    def record_call(self, index: int, now: float, duration_s: float) -> None:
        """Learn from a call of a class; a few that hang among quick ones don't make the dependency slow."""
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
        """Measure the speed anew, from the best one: what slowed this server down may be over."""
        self._saturated_sums = DecayingSums(2, SERVICE_RATE_WINDOW_S)
        self.work_speed = self.best_work_speed

    def update(self, elapsed_s: float, is_full: bool) -> None:
        """Learn from what was counted in the time elapsed; of speeds only where the cores were full."""
        decay = math.exp(-elapsed_s / self.averaging_span_s())
        self._observed_s = self._observed_s * decay + elapsed_s  # from 0: a start does not count as a lull
        self.arrival_rate = average_rate(self.arrival_rate, self.work_arrived, elapsed_s, self._observed_s)
        self.request_rate = average_rate(self.request_rate, self.requests_read, elapsed_s, self._observed_s)
        if is_full:
            self._saturated_sums.add(elapsed_s, self.work_done, self.requests_read)
            self._update_speed(elapsed_s)
        self.requests_read = 0
        self.work_arrived = 0.0
        self.work_done = 0.0

    def _update_speed(self, elapsed_s: float) -> None:
        work_done, requests_read = self._saturated_sums.sums
        full_s = self._saturated_sums.observed_s
        if full_s >= MIN_SERVICE_RATE_TIME_S:
            self.service_rate = work_done / full_s
            self.work_speed = self.service_rate + READ_WORK_RATIO * requests_read / full_s
            best = self.best_work_speed * math.exp(-elapsed_s / BEST_SPEED_DECAY_S)
            self.best_work_speed = max(self.work_speed, best)
