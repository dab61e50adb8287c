"""Lost runs: until when a run counts of which nothing is heard, and whether excess runs measured count.

Most runs of which the host lost sight do run. If they were not counted, every broken link would let others
start in their place, until the cores had more runs than the machine survives.
"""

from snowthread.admission.actions import Action, ForgetLostRun, SkipCall
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.deadline_rule import ANSWER_MARGIN_S
from snowthread.admission.estimators import TIME_TOLERANCE_S
from snowthread.admission.events import RunCountUncertain, RunIndeterminate
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settlement import fail, remove
from snowthread.admission.state import State

LOST_RUN_TIME_FACTOR = 4.0  # times its expected duration, after which a silent run counts as lost
RUN_COUNT_UNCERTAIN_S = 10.0  # after a broken link: as long as runs beyond the count may go on


def run_indeterminate(
    state: State, now: float, request: RequestRecord, event: RunIndeterminate
) -> list[Action]:
    """Count a run that may never have started, until something is heard of it or it counts as lost."""
    if request.state is not RequestState.RUNNING or request.is_indeterminate:
        return []
    if event.at_call and request.can_skip_call and not request.is_settled:
        return [SkipCall(request.id)]
    _schedule_presumed_loss(state, now, request)
    return []


def _schedule_presumed_loss(state: State, now: float, request: RequestRecord) -> None:
    run_s = max(UPDATE_PERIOD_S, state.estimates.expected_run_s(request))
    state.open_requests.cores.mark_indeterminate(request, now + LOST_RUN_TIME_FACTOR * run_s)
    state.deadlines.watch_deadline(request, request.presumed_lost_at + ANSWER_MARGIN_S)  # it is taken off


def check_lost_run(state: State, now: float, request: RequestRecord) -> list[Action]:
    """Fail a run that counts as lost; after as long again, forget it: it counts no more."""
    if request.state is not RequestState.RUNNING or request.presumed_lost_at > now + TIME_TOLERANCE_S:
        return []
    if not request.is_settled:
        actions = fail(state, now, request, None)
        _schedule_presumed_loss(state, now, request)
        return actions
    state.estimates.record_unsuccessful_run(request)
    return [ForgetLostRun(request.id), *remove(state, now, request)]


def run_count_uncertain(state: State, now: float, _: RunCountUncertain) -> list[Action]:
    """Count the excess runs that are measured for a while."""
    state.run_count_uncertain_until = now + RUN_COUNT_UNCERTAIN_S
    return []


def reconcile_run_count(state: State, now: float, measured_runs: float | None) -> None:
    """Compare the count with the runs measured on the cores (None: not measured).

    Only after a broken link: at other times whatever else wants a core, reading above all, would count.
    """
    is_uncertain = now < state.run_count_uncertain_until
    state.open_requests.cores.reconcile(measured_runs if is_uncertain else None)
