"""Lost runs: how long a run counts of which nothing is heard, and when measured excess runs count.

Most runs of which the host lost sight still run. If they were not counted, every broken link to the runtime
would let others start in their place, until the cores had more runs than they survive.
"""

from snowthread.admission.actions import Action, ForgetLostRun, SkipCall
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.deadline_rule import ANSWER_MARGIN_S
from snowthread.admission.estimators import TIME_TOLERANCE_S
from snowthread.admission.events import RunCountUncertain, RunIndeterminate
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settlement import fail, remove
from snowthread.admission.state import ControllerState

# The request of a run of which nothing is heard fails after this many times the expected duration of the run.
# After as long again the run no longer counts.
LOST_RUN_TIME_FACTOR = 4.0
# Seconds for which measured excess runs count after the count of runs became uncertain. Runs that are active
# at the runtime but not counted may last that long.
RUN_COUNT_UNCERTAIN_S = 10.0


def run_indeterminate(
    state: ControllerState, now: float, request: RequestRecord, event: RunIndeterminate
) -> list[Action]:
    """Process that the host lost sight of a run.

    The run may never have started. It counts until something is heard of it, or until the second of its
    checks for loss. If it may wait for a call that can be skipped, the call is skipped instead.
    """
    if request.state is not RequestState.RUNNING or request.is_indeterminate:
        return []
    if event.at_call and request.can_skip_call and not request.is_settled:
        return [SkipCall(request.id)]
    _schedule_loss_check(state, now, request)
    return []


def _schedule_loss_check(state: ControllerState, now: float, request: RequestRecord) -> None:
    """Set when an indeterminate run is next checked for loss, and schedule that check."""
    run_s = max(UPDATE_PERIOD_S, state.estimates.expected_run_s(request))
    state.open_requests.cores.mark_indeterminate(request, now + LOST_RUN_TIME_FACTOR * run_s)
    # ``watch_deadline`` subtracts the margin, so the check is due at ``loss_check_at`` itself.
    state.deadlines.watch_deadline(request, request.loss_check_at + ANSWER_MARGIN_S)


def check_lost_run(state: ControllerState, now: float, request: RequestRecord) -> list[Action]:
    """Fail the request of a run of which nothing was heard, or stop counting the run.

    The first check fails the request and schedules the second one. At that one, or at the first if no answer
    is owed any more, the run is presumed lost and no longer counts.
    """
    if request.state is not RequestState.RUNNING or request.loss_check_at > now + TIME_TOLERANCE_S:
        return []
    if not request.is_settled:
        actions = fail(state, now, request, None)
        _schedule_loss_check(state, now, request)
        return actions
    state.estimates.record_unsuccessful_run(request)
    return [ForgetLostRun(request.id), *remove(state, now, request)]


def run_count_uncertain(state: ControllerState, now: float, _: RunCountUncertain) -> list[Action]:
    """Count measured excess runs for a while, since more runs may be active than are counted."""
    state.run_count_uncertain_until = now + RUN_COUNT_UNCERTAIN_S
    return []


def reconcile_run_count(state: ControllerState, now: float, measured_runs: float | None) -> None:
    """Compare the count with the runs measured on the cores (None: not measured).

    This is done only for a while after a ``RunCountUncertain``. At other times everything else that wants a
    core, above all the reading of requests, would count as a run.
    """
    is_uncertain = now < state.run_count_uncertain_until
    state.open_requests.cores.reconcile(measured_runs if is_uncertain else None)
