"""Outlier ejection: the node leaves the registry while it is far slower than at its best."""

import math

from snowthread.admission.actions import Action, LogMessage, OperatorMessage, SetHealth
from snowthread.admission.estimators import Estimates

OUTLIER_SPEED_RATIO = 0.35  # part of the best speed learned, below which this node is an outlier
# Seconds that an ejection lasts, as Envoy's base_ejection_time; it ends with the next periodic update.
EJECTION_S = 10.0


class OutlierDetector:
    """Ejects this node as an outlier, and measures its speed anew when the ejection ends.

    The speed includes the work of reading requests. Without it, a burst of requests that are rejected
    would look like a slow node.
    """

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._ejected_until = math.inf  # end of the ejection in seconds; infinite: not ejected

    def update(self, now: float) -> list[Action]:
        """Return the change of the node's health, if there is one; called once per update."""
        estimates = self._estimates
        is_outlier = estimates.work_speed < OUTLIER_SPEED_RATIO * estimates.best_work_speed
        if self._ejected_until == math.inf and is_outlier:
            self._ejected_until = now + EJECTION_S
            estimates.reset_speed()
            return [LogMessage(OperatorMessage.EJECTED_AS_OUTLIER), SetHealth(False, shallow=True)]
        if now >= self._ejected_until:
            self._ejected_until = math.inf
            estimates.reset_speed()
            return [LogMessage(OperatorMessage.OUTLIER_EJECTION_ENDED), SetHealth(True, shallow=True)]
        return []
