"""Lost runs: how long a run counts of which nothing is heard, and when measured excess runs count.

Most runs of which the host lost sight still run. If they were not counted, every broken link would let others
start in their place, until the cores had more runs than the machine survives.
"""

from snowthread.admission.actions import Action, ForgetLostRun, SkipCall
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.deadline_rule import ANSWER_MARGIN_S
from snowthread.admission.estimators import TIME_TOLERANCE_S
from snowthread.admission.events import RunCountUncertain, RunIndeterminate
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settlement import fail, remove
from snowthread.admission.state import ControllerState

# A run of which nothing is heard is presumed lost after this many times its expected duration.
LOST_RUN_TIME_FACTOR = 4.0
# Seconds for which excess runs count after a broken link: as long as runs beyond the count may go on.
RUN_COUNT_UNCERTAIN_S = 10.0


def run_indeterminate(
    state: ControllerState, now: float, request: RequestRecord, event: RunIndeterminate
) -> list[Action]:
    """Process that the host lost sight of a run.

    The run may never have started. It counts until something is heard of it or it is presumed lost; a
    call at which it may wait is skipped, if it can be.
    """
    if request.state is not RequestState.RUNNING or request.is_indeterminate:
        return []
    if event.at_call and request.can_skip_call and not request.is_settled:
        return [SkipCall(request.id)]
    _schedule_presumed_loss(state, now, request)
    return []


def _schedule_presumed_loss(state: ControllerState, now: float, request: RequestRecord) -> None:
    """Set when the run counts as lost, and schedule the check for that time."""
    run_s = max(UPDATE_PERIOD_S, state.estimates.expected_run_s(request))
    state.open_requests.cores.mark_indeterminate(request, now + LOST_RUN_TIME_FACTOR * run_s)
    # ``watch_deadline`` subtracts the margin, so the check is due at ``presumed_lost_at`` itself.
    state.deadlines.watch_deadline(request, request.presumed_lost_at + ANSWER_MARGIN_S)


def check_lost_run(state: ControllerState, now: float, request: RequestRecord) -> list[Action]:
    """Fail a run that is presumed lost, and stop counting it after the same time again."""
    if request.state is not RequestState.RUNNING or request.presumed_lost_at > now + TIME_TOLERANCE_S:
        return []
    if not request.is_settled:
        actions = fail(state, now, request, None)
        _schedule_presumed_loss(state, now, request)
        return actions
    state.estimates.record_unsuccessful_run(request)
    return [ForgetLostRun(request.id), *remove(state, now, request)]


def run_count_uncertain(state: ControllerState, now: float, _: RunCountUncertain) -> list[Action]:
    """Count measured excess runs for a while, since the host has lost its link to the machine."""
    state.run_count_uncertain_until = now + RUN_COUNT_UNCERTAIN_S
    return []


def reconcile_run_count(state: ControllerState, now: float, measured_runs: float | None) -> None:
    """Compare the count with the runs measured on the cores (None: not measured).

    This is done only after a broken link. At other times everything else that wants a core, above all the
    reading of requests, would count as a run.
    """
    is_uncertain = now < state.run_count_uncertain_until
    state.open_requests.cores.reconcile(measured_runs if is_uncertain else None)
