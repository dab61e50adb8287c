"""The state of a controller: its context, and the rules that remember earlier decisions."""

import math

from snowthread.admission.blocking import BlockingRule
from snowthread.admission.concurrency import ConcurrencyLimit
from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.downstream_calls import DownstreamCalls
from snowthread.admission.idle_timeout import IdleTimeout
from snowthread.admission.load_report import LoadReport
from snowthread.admission.outlier_ejection import OutlierDetector
from snowthread.admission.quotas import TenantQuotas
from snowthread.admission.settings import Settings
from snowthread.admission.shutdown_times import ShutdownTimes
from snowthread.admission.timer_queue import TimerQueue


class ControllerState(ControllerContext):
    """The state that the rules, which are functions, read and change.

    Points in time are seconds of the controller's clock.
    """

    def __init__(self, settings: Settings, seed: int, deadlines: TimerQueue) -> None:
        super().__init__(settings, seed, deadlines)
        self.blocking = BlockingRule(self)
        self.concurrency = ConcurrencyLimit(self)
        self.calls = DownstreamCalls(self)
        self.quotas = TenantQuotas(self)
        self.load_report = LoadReport(self)
        self.idle_timeout = IdleTimeout(self)
        self.outlier_detector = OutlierDetector(self.estimates)
        self.shutdown = ShutdownTimes(self)
        self.run_count_uncertain_until = -math.inf  # end of the time in which measured excess runs count
        self.period_started_at = 0.0  # start of the present update period
        self.priorities_refreshed_at = 0.0  # when the priorities of the queued requests were last computed
