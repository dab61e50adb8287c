"""The graceful shutdown: at the notice, in the grace period after it, and shortly before the stop.

What arrives after the grace period is rejected (``ShutdownTimes.forbids_start``).
"""

from snowthread.admission.actions import Action, LogMessage, OperatorMessage, SetHealth
from snowthread.admission.events import ShutdownNotice
from snowthread.admission.reasons import RejectReason
from snowthread.admission.settlement import reject_or_fail
from snowthread.admission.state import State


def shutdown_noticed(state: State, now: float, event: ShutdownNotice) -> list[Action]:
    """Leave the registry and ask callers to send nothing; what is queued and runs goes on."""
    state.shutdown.begin(now, event)
    message = LogMessage(OperatorMessage.GRACEFUL_SHUTDOWN_BEGUN)
    return [message, SetHealth(False), *state.load_report.shut_down()]


def answer_all_before_stop(state: State, now: float) -> list[Action]:
    """Reject, or fail where it may have run, every request that is not answered shortly before the stop."""
    actions: list[Action] = []
    if state.shutdown.must_answer_all(now):
        for request in [r for r in state.open_requests.by_id.values() if not r.is_settled]:
            actions += reject_or_fail(state, now, request, RejectReason.SHUTDOWN)
    return actions
