"""Blocking: the share of requests that is rejected on arrival, and which requests those are."""

from snowthread.admission.berger import blocking_probability
from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.estimators import AVERAGED_REQUESTS
from snowthread.admission.request import RequestRecord

MAX_DEFERRED_REJECTIONS_PER_CORE = 4.0  # from which on a heavy request is rejected itself


class BlockingRule:
    """Sets the probability once an update, and draws for each newcomer whether it is blocked."""

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self.probability = 0.0  # the same for all callers, constant between updates
        self._mean_weight = 0.0
        self._deferred_work = (
            0.0  # of rejections deferred from heavy requests, not yet charged to lighter ones
        )

    def update(self, abandonment_ratio: float, headroom_ratio: float) -> None:
        """Set the probability; ``headroom_ratio``: possible over present throughput, by utilization."""
        estimates = self._state.estimates
        probability = blocking_probability(estimates.arrival_rate, estimates.service_rate, abandonment_ratio)
        self.probability = probability if headroom_ratio < 1.0 else 0.0

    def is_blocked(self, request: RequestRecord) -> bool:
        """Draw whether a newcomer is blocked: the probability says how many are, weights say which.

        The work of a rejection deferred from a heavy request, in bounds, is charged to the next lighter ones.
        """
        probability = self.probability
        change = request.weight - self._mean_weight
        self._mean_weight += change / AVERAGED_REQUESTS if self._mean_weight else change
        is_blocked = self._state.generator.random() < probability
        is_light = request.weight < self._mean_weight
        if is_blocked and request.weight > self._mean_weight:
            max_deferred_work = MAX_DEFERRED_REJECTIONS_PER_CORE * self._state.settings.cores * request.work
            is_blocked = self._deferred_work >= max_deferred_work
            self._deferred_work += 0.0 if is_blocked else request.work
        elif probability and is_light and self._deferred_work > 0.0 and not is_blocked:
            self._deferred_work -= request.work
            is_blocked = True
        return is_blocked
