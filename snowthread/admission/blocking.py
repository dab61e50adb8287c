"""Blocking: rejects a share of the arriving requests under overload, preferring those of low weight."""

from snowthread.admission.berger import blocking_probability
from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.estimators import AVERAGED_REQUESTS
from snowthread.admission.request import RequestRecord

# Upper limit on the work of deferred rejections, per core, in multiples of the work of the request that is
# being decided on. A rejection drawn for a request above the mean weight is deferred, and requests below the
# mean weight are rejected in its place. At the limit the request itself is rejected.
MAX_DEFERRED_REJECTIONS_PER_CORE = 4.0


class BlockingRule:
    """Sets the blocking probability once per update and draws which arriving requests are blocked."""

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self.probability = 0.0  # blocking probability of every arriving request, constant between updates
        self._mean_weight = 0.0
        # Units of work of the requests above mean weight that were drawn for rejection but admitted, for
        # which no request of lower weight has been rejected yet.
        self._deferred_work = 0.0

    def update(self, abandonment_ratio: float, headroom_ratio: float) -> None:
        """Set the blocking probability for the next period.

        ``abandonment_ratio`` is Berger's beta. ``headroom_ratio`` is the possible throughput divided
        by the present one, judged by utilization; from 1 on nothing is blocked.
        """
        estimates = self._state.estimates
        probability = blocking_probability(estimates.arrival_rate, estimates.service_rate, abandonment_ratio)
        self.probability = probability if headroom_ratio < 1.0 else 0.0

    def is_blocked(self, request: RequestRecord) -> bool:
        """Draw whether an arriving request is blocked.

        The probability sets how many requests are blocked, and the weights decide which ones. A
        rejection drawn for a request above the mean weight is deferred, up to a limit, and the same
        amount of work is rejected from the next requests below the mean weight.
        """
        probability = self.probability
        change = request.weight - self._mean_weight
        self._mean_weight += change / AVERAGED_REQUESTS if self._mean_weight else change
        is_blocked = self._state.generator.random() < probability
        has_low_weight = request.weight < self._mean_weight
        if is_blocked and request.weight > self._mean_weight:
            max_deferred_work = MAX_DEFERRED_REJECTIONS_PER_CORE * self._state.settings.cores * request.work
            is_blocked = self._deferred_work >= max_deferred_work
            self._deferred_work += 0.0 if is_blocked else request.work
        elif probability and has_low_weight and self._deferred_work > 0.0 and not is_blocked:
            self._deferred_work -= request.work
            is_blocked = True
        return is_blocked
