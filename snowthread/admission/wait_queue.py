"""What runs next, and which requests cannot be served in time."""

import math

from snowthread.admission.estimators import Estimates
from snowthread.admission.request import RequestRecord

MAX_WAIT_SHARE = 0.7  # of the time left that the wait ahead of a newcomer may take
REORDER_INTERVAL_S = 0.02  # for which priorities stand: anew for each event would cost more than all else
MEDIAN_RUN_FACTOR = 0.75  # a run's median over its mean, for skewed run times: past it a start is hopeless
HINTED_RUN_FACTOR = 1.25  # the same where the size is told: what is large here may go to a faster server
PROBE_INTERVAL_S = 1.0  # without an ended run of a class after which its run time is put to the test
MIN_SLACK_S = 0.05  # bounds the priority of what is due now


class WaitQueue:
    """Requests that wait for a core, and the order in which they get one."""

    def __init__(self, requests: dict[int, RequestRecord], estimates: Estimates) -> None:
        self._requests, self._estimates, self._ordered_at = requests, estimates, 0.0

    def hopeless_at(self, request: RequestRecord) -> float:
        """Return from when on a start can't be expected to end in time."""
        factor = HINTED_RUN_FACTOR if request.work_hint_s else MEDIAN_RUN_FACTOR
        return request.useful_until - factor * self._estimates.expected_run_s(request)

    def priority(self, now: float, request: RequestRecord) -> float:
        """Return the weight, times the chance to end in time if started now, over the time left."""
        # The urgent go first, unless they are late anyway: the chance is 1 - exp(-time left / run time).
        late = now >= request.objective_at
        weight = request.weight * (request.request_class.late_weight_factor if late else 1.0)
        run_s = self._estimates.expected_run_s(request)
        left_s = max(0.0, (request.deadline_at if late else request.objective_at) - now)
        chance = 1.0 - math.exp(-left_s / run_s) if run_s > 0.0 else 1.0
        return weight * chance / (left_s + run_s + MIN_SLACK_S)

    def reorder(self, now: float) -> None:
        """Compute all priorities anew, unless that was done a moment ago."""
        if now >= self._ordered_at + REORDER_INTERVAL_S:
            self._ordered_at = now
            for request in self._requests.values():
                request.priority = self.priority(now, request)

    def wait_is_too_long(self, now: float, newcomer: RequestRecord) -> bool:
        """Return whether what goes first leaves a newcomer too little time to be served well."""
        estimates, queued = self._estimates, self._requests.values()
        rate = estimates.service_rate or estimates.full_rate(estimates.core_time_s)
        if rate <= 0.0:
            return len(queued) > 4 * estimates.cores
        room = MAX_WAIT_SHARE * (newcomer.objective_at - now - estimates.expected_run_s(newcomer)) * rate
        if sum([r.work for r in queued]) - newcomer.work <= room:
            return False
        self.reorder(now)
        ahead = [r.work for r in queued if r.priority >= newcomer.priority and r is not newcomer]
        return sum(ahead) > room

    def is_hopeless(self, now: float, request: RequestRecord, is_idle: bool) -> bool:
        """Return whether a start is hopeless, and no probe."""
        # A probe, on idle cores and where no run of its class ended lately, unlearns run times too long.
        if now < self.hopeless_at(request):
            return False
        last_run_at_s, index = self._estimates.last_run_at_s, request.class_index
        is_probe = is_idle and now < request.objective_at and now - last_run_at_s[index] >= PROBE_INTERVAL_S
        if is_probe:
            last_run_at_s[index] = now
        return not is_probe
