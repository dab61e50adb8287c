"""The graceful shutdown: what happens at the notice, and shortly before the end of the process.

Requests that arrive after the grace period are rejected by ``ShutdownTimes.forbids_start``.
"""

from snowthread.admission.actions import Action, LogMessage, OperatorMessage, SetHealth
from snowthread.admission.events import ShutdownNotice
from snowthread.admission.reasons import RejectReason
from snowthread.admission.settlement import reject_or_fail
from snowthread.admission.state import ControllerState


def shutdown_noticed(state: ControllerState, now: float, event: ShutdownNotice) -> list[Action]:
    """Begin the shutdown: leave the registry and ask callers to send nothing more.

    Queued and running requests continue.
    """
    state.shutdown.begin(now, event)
    message = LogMessage(OperatorMessage.GRACEFUL_SHUTDOWN_BEGUN)
    return [message, SetHealth(False), *state.load_report.shut_down()]


def answer_all_before_exit(state: ControllerState, now: float) -> list[Action]:
    """Answer every open request once the end of the process is near.

    A request is rejected, or failed if it may have run and is not idempotent.
    """
    actions: list[Action] = []
    if state.shutdown.must_answer_all(now):
        for request in [r for r in state.open_requests.by_id.values() if not r.is_settled]:
            actions += reject_or_fail(state, now, request, RejectReason.SHUTDOWN)
    return actions
