"""The periodic update: learns from the period that ends and sets the limits for the next one."""

import math

from snowthread.admission.actions import Action, SetTimer
from snowthread.admission.berger import target_utilization
from snowthread.admission.concurrency import FULL_UTILIZATION_RATIO, UPDATE_PERIOD_S
from snowthread.admission.events import TimerFired
from snowthread.admission.lost_runs import reconcile_run_count
from snowthread.admission.state import ControllerState
from snowthread.admission.timer_queue import UPDATE_TIMER

# Part of a period with a run for each core, from which the whole period counts as saturated.
SATURATED_PERIOD_RATIO = 0.9
# Lowest utilization that the headroom is computed with: a lower one says nothing more about it.
MIN_UTILIZATION_RATIO = 0.4


def begin_period(state: ControllerState, now: float) -> SetTimer:
    """Begin a period and return the timer that ends it."""
    state.period_started_at = now
    state.open_requests.cores.saturated_s = 0.0
    return SetTimer(UPDATE_PERIOD_S, UPDATE_TIMER)


def update(state: ControllerState, now: float, event: TimerFired) -> list[Action]:
    """End a period, learn from it and begin the next one."""
    state.open_requests.memory.expire_keys(now)
    elapsed_s = now - state.period_started_at
    actions = _close_period(state, now, elapsed_s, event) if elapsed_s > 0.0 else []
    actions.append(begin_period(state, now))
    return actions


def _close_period(state: ControllerState, now: float, elapsed_s: float, event: TimerFired) -> list[Action]:
    """Learn from the period and adapt all limits; return the changes for the host to carry out."""
    cores = state.open_requests.cores
    utilization = event.core_utilization
    if utilization is None:
        utilization = cores.saturated_s / elapsed_s
    actions = _learn(state, elapsed_s, utilization)
    actions += state.idle_timeout.update(event.connections or 0.0, utilization)
    if not state.shutdown.has_begun:
        actions += state.outlier_detector.update(now)
    state.calls.update_limit()
    reconcile_run_count(state, now, event.core_demand)
    is_saturated = cores.saturated_s >= SATURATED_PERIOD_RATIO * elapsed_s
    state.concurrency.update(utilization, is_saturated, event.core_demand, state.age_s(now))
    return actions


def _learn(state: ControllerState, elapsed_s: float, utilization: float) -> list[Action]:
    """Update the estimates, the blocking probability and the load report."""
    estimates = state.estimates
    is_full = utilization >= FULL_UTILIZATION_RATIO
    # Work counts while it is done. If it counted only when runs end, the service rate would lag by the length
    # of a run and too many requests would be blocked in the meantime.
    estimates.work_done = state.open_requests.add_progress(estimates.work_done, estimates.core_time_s)
    estimates.update(elapsed_s, is_full)
    abandonment_ratio = estimates.abandonment_ratio()
    headroom = headroom_ratio(utilization, abandonment_ratio)
    state.blocking.update(abandonment_ratio, headroom)
    if state.shutdown.has_begun:
        return []
    return state.load_report.update(elapsed_s, abandonment_ratio, headroom, state.concurrency.limit)


def headroom_ratio(utilization: float, abandonment_ratio: float) -> float:
    """Return the possible throughput divided by the present one, judged by utilization.

    Cores that are not full prove that more is possible, whatever was learned. The result is 0 if the
    cores are full, since their utilization then says nothing about what is possible.
    """
    if utilization >= FULL_UTILIZATION_RATIO:
        return 0.0
    return target_utilization(math.inf, 1.0, abandonment_ratio) / max(utilization, MIN_UTILIZATION_RATIO)
