"""The load report: the share of their requests that callers are asked to send elsewhere."""

import math

from snowthread.admission.actions import Action, PublishLoad
from snowthread.admission.berger import target_utilization
from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.settings import LoadReportKind
from snowthread.admission.statistics import smooth_towards

SHARE_RISE_TIME_CONSTANT_S = 0.7  # time constant in seconds with which the published share rises
# Time constant in seconds with which the published share falls. It is longer than that of the rise, because
# callers that were sent elsewhere return at once.
SHARE_FALL_TIME_CONSTANT_S = 1.5
# Highest share that is published. A few requests must still arrive, or the load could not be learned.
MAX_SHARE_RATIO = 0.95
MIN_SHARE_CHANGE_RATIO = 1e-9  # smallest change of the share that is published
CREDIT_PER_RUN = 2.0  # open requests that all callers together are granted for each run of the run limit


class LoadReport:
    """Publishes the share of their requests that callers are to send elsewhere, once per update.

    All shares are ratios, 0 to 1, of the requests that callers have to send.
    """

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self.published_share = 0.0
        self.effective_share = 0.0  # share that callers have received and applied to the present arrivals

    def shut_down(self) -> list[Action]:
        """Return the load report that asks callers for no more requests, at a shutdown."""
        kind = self._state.settings.load_report_kind
        return [] if kind is LoadReportKind.NONE else [PublishLoad(kind.encode(1.0, credit=0.0))]

    def update(
        self, elapsed_s: float, abandonment_ratio: float, headroom_ratio: float, run_limit: float
    ) -> list[Action]:
        """Return the load report to publish, or nothing if the share hardly changed.

        Of all that callers have to send, (1 - effective share) mu rho / lambda may arrive, in
        Berger's symbols. ``elapsed_s`` is the time since the last update, ``abandonment_ratio`` is
        Berger's beta, ``headroom_ratio`` the possible throughput divided by the present one, judged
        by utilization, and ``run_limit`` the limit on runs.
        """
        settings = self._state.settings
        estimates = self._state.estimates
        if settings.load_report_kind is LoadReportKind.NONE:
            return []
        service_rate = estimates.service_rate
        arrival_rate = estimates.arrival_rate
        servable_ratio = 1.0
        if min(service_rate, arrival_rate) > 0:
            servable_ratio = (
                service_rate * target_utilization(math.inf, service_rate, abandonment_ratio) / arrival_rate
            )
        self._update_effective_share(elapsed_s)
        target_share = 1.0 - (1.0 - self.effective_share) * max(servable_ratio, headroom_ratio)
        is_rising = target_share > self.published_share
        time_constant_s = SHARE_RISE_TIME_CONSTANT_S if is_rising else SHARE_FALL_TIME_CONSTANT_S
        share = smooth_towards(self.published_share, target_share, elapsed_s, time_constant_s)
        share = min(MAX_SHARE_RATIO, max(0.0, share))
        if abs(share - self.published_share) <= MIN_SHARE_CHANGE_RATIO:
            return []
        self.published_share = share
        credit = max(1.0, CREDIT_PER_RUN * run_limit / max(1, settings.caller_count))
        return [PublishLoad(round(settings.load_report_kind.encode(share, credit), 4))]

    def _update_effective_share(self, elapsed_s: float) -> None:
        """Let the effective share follow the published one as callers receive it.

        They receive it only with answers, and it applies only until it expires.
        """
        estimates = self._state.estimates
        interval_s = estimates.caller_interval_s()
        ttl_s = self._state.settings.load_report_ttl_s or math.inf
        delivered_share = self.published_share * (1.0 - math.exp(-ttl_s / interval_s))
        lag_s = estimates.averaging_span_s() + min(interval_s, ttl_s)
        self.effective_share = smooth_towards(self.effective_share, delivered_share, elapsed_s, lag_s)
