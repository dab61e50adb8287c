"""What is learned of the load and of this server's speed, in units of work."""

import math

from snowthread.admission.class_times import ClassTimeTable
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Settings
from snowthread.admission.statistics import FadingSums, PowerLaw, average_rate, follow

TIME_TOLERANCE_S = 1e-6  # times nearer than this are the same, everywhere, or a timer re-arms for ever
AVERAGED_REQUESTS = 16.0  # that an average of arrivals spans, whatever the size of the server
SERVICE_RATE_WINDOW_S = 3.0  # of full cores: averaged over
SERVICE_RATE_KNOWN_S = 1.0  # of full cores, before the service rate is known
BEST_SPEED_MEMORY_S = 60.0  # of full cores in which the best speed is forgotten
GOOD_AT_OBJECTIVE = 0.7  # chance that an answer is still good at its objective (Berger's 0.7 after 5 s)
INITIAL_ABANDONMENT_RATIO = 0.071  # Berger's benchmark, used until the service rate is known
READ_COST = 0.25  # of a run: what reading a request is taken to cost
UNREAD_BACKLOG_S = 1.0  # within which requests that lay unread are to be worked off
HINT_EXPONENT = 0.5  # first guess: hints are half true
HINT_WEIGHT_RUNS = 4.0  # that the first guess weighs
HINT_MEMORY_RUNS = 200.0  # over which hints are learned
BASE_WINDOW_RUNS = 30.0  # over which base times follow upwards; core times follow down ten times as fast
RUN_WINDOW_RUNS = 15.0  # over which rising run times are averaged
RUN_FALL_WINDOW_RUNS = 3.0  # over which falling run times are averaged
CALL_WINDOW_CALLS = 8.0  # over which call times are averaged
SLOW_CALL_FACTOR = 2.0  # times its base, from which a call is slow
SLOW_CALL_MEMORY_S = 60.0  # of slow calls, in which their base rises to them


class Estimates(ClassTimeTable):
    """Learns rates of arrival and of service, the server's speed, and the times of each class."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(PowerLaw(HINT_EXPONENT, HINT_WEIGHT_RUNS, HINT_MEMORY_RUNS, BASE_WINDOW_RUNS))
        self.arrival_rate = self.service_rate = self.request_rate = 0.0  # work, work, requests per second
        self.requests_read, self.work_arrived, self.work_done = 0, 0.0, 0.0  # since the last update
        self._full_cores = FadingSums(2, SERVICE_RATE_WINDOW_S)  # while full: work done, requests read
        self.work_speed = self.best_work_speed = 0.0  # work per second at full cores, reading included
        self.unread_s = self.retry_share = 0.0  # means of what is read: time unread, share of retries
        self.slow_call_share = self._observed_s = 0.0
        self.apply_settings(settings, range(len(settings.classes)))

    def work_of(self, class_index: int, work_hint_s: float | None) -> float:
        """Return the work of a request: by its hint, else its class's base over the mean of known bases."""
        if work_hint_s:
            return self.hints.scale(class_index, work_hint_s)
        return self.base_core_time_s[class_index] * self.full_rate(self.base_core_time_s) / self.cores or 1.0

    def abandonment_ratio(self) -> float:
        """Return Berger's beta: the rate at which answers turn bad, for each service."""
        if self.service_rate <= 0.0:
            return INITIAL_ABANDONMENT_RATIO
        run_rate = self.full_rate(self.base_core_time_s) or 1.0
        ratio = -math.log(GOOD_AT_OBJECTIVE) / (run_rate * self.mean_objective_s)
        return min(INITIAL_ABANDONMENT_RATIO, ratio)

    def averaging_span_s(self) -> float:
        """Return over how long arrivals are averaged; no longer than a request may wait."""
        return min(self.mean_objective_s * 2.0, AVERAGED_REQUESTS / max(self.request_rate, 1e-9))

    def caller_interval_s(self) -> float:
        """Return the time between two requests of one caller, if callers share the arrivals evenly."""
        return max(1, self.caller_count) / max(self.request_rate, 1e-9)

    def request_read(self, work: float, is_retry: bool, unread_s: float) -> None:
        """Count an arrival."""
        self.requests_read += 1
        self.retry_share += (is_retry - self.retry_share) / AVERAGED_REQUESTS
        self.unread_s += (unread_s - self.unread_s) / AVERAGED_REQUESTS
        self.work_arrived += work * (1.0 + unread_s / UNREAD_BACKLOG_S)

    def run_succeeded(self, now: float, request: RequestRecord) -> None:
        """Learn from a run its core time and, calls included, its duration."""
        index, work, core_s = request.class_index, request.work, request.core_time_s
        self.last_run_at_s[index] = now
        self.work_done += work
        follow(self.core_time_s, index, core_s / work, RUN_WINDOW_RUNS, RUN_FALL_WINDOW_RUNS)
        run_time_s = (now - request.started_at) / work
        follow(self.run_time_s, index, run_time_s, RUN_WINDOW_RUNS, RUN_FALL_WINDOW_RUNS)
        if request.work_hint_s:
            self.hints.learn(index, request.work_hint_s, max(core_s, TIME_TOLERANCE_S))
        base = self.base_core_time_s[index]
        window = BASE_WINDOW_RUNS / 10.0 if core_s < base / 4.0 else BASE_WINDOW_RUNS
        moved_s = base + (min(core_s, 2.0 * base) - base) / window
        self.base_core_time_s[index] = moved_s if base > 0.0 else core_s

    def run_wasted(self, request: RequestRecord) -> None:
        """Count the work of a run that was stopped or failed: it took its part of the cores too."""
        core_time_s = self.core_time_s[request.class_index]
        if core_time_s > 0.0:
            self.work_done += min(request.work, request.core_time_s / core_time_s)

    def call_ended(self, index: int, now: float, duration_s: float) -> None:
        """Learn from a call. A few that hang among quick ones must not pass for an overloaded dependency."""
        base, last_at = self.base_call_time_s[index], self.last_call_at_s[index]
        self.last_call_at_s[index] = now
        if base <= 0.0:
            self.call_time_s[index] = self.base_call_time_s[index] = max(duration_s, TIME_TOLERANCE_S)
            return
        usual, is_slow = self.call_time_s[index], duration_s >= SLOW_CALL_FACTOR * base
        self.call_time_s[index] += (min(duration_s, 4.0 * usual) - usual) / CALL_WINDOW_CALLS
        self.slow_call_share += (is_slow - self.slow_call_share) / CALL_WINDOW_CALLS
        rise = base * min(1.0, (now - last_at) / SLOW_CALL_MEMORY_S)
        self.base_call_time_s[index] += rise if is_slow else (duration_s - base) / BASE_WINDOW_RUNS

    def reset_speed(self) -> None:
        """Measure the speed anew: what slowed this server may be over, and what it learned of it too."""
        self._full_cores = FadingSums(2, SERVICE_RATE_WINDOW_S)
        self.work_speed = self.best_work_speed

    def update(self, elapsed_s: float, full: bool) -> None:
        """Take in what was counted since the last update; speeds are measured only while cores are full."""
        keep = math.exp(-elapsed_s / self.averaging_span_s())
        self._observed_s = self._observed_s * keep + elapsed_s  # from nothing: a start is no lull
        self.arrival_rate = average_rate(self.arrival_rate, self.work_arrived, elapsed_s, self._observed_s)
        self.request_rate = average_rate(self.request_rate, self.requests_read, elapsed_s, self._observed_s)
        if full:
            self._full_cores.add(elapsed_s, self.work_done, self.requests_read)
        (done, read), full_s = self._full_cores.sums, self._full_cores.seconds
        if full and full_s >= SERVICE_RATE_KNOWN_S:
            self.service_rate = done / full_s
            self.work_speed = self.service_rate + READ_COST * read / full_s
            best = self.best_work_speed * math.exp(-elapsed_s / BEST_SPEED_MEMORY_S)
            self.best_work_speed = max(self.work_speed, best)
        self.requests_read, self.work_arrived, self.work_done = 0, 0.0, 0.0
