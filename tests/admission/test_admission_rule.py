"""Which arriving requests are rejected because they can't be served in time."""

from __future__ import annotations

from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import Reject, StartRun
from snowthread.admission.events import RunFinished
from snowthread.admission.settings import Outcome


def test_a_short_deadline_is_not_mistaken_for_a_late_request() -> None:
    # Calls between tiers carry the time that is left to their caller, which says nothing about the objective
    # of the request. Taken for the age of the request, it would get the request rejected.
    controller = started_controller(propagates_deadline=True)
    arrive(controller, 0.1, 1, time_left_s=3.0)
    controller.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2))
    for n in (2, 3):
        arrive(controller, 0.4, n, time_left_s=1.6)
    actions = arrive(controller, 0.4, 4, time_left_s=1.6)
    assert request_ids(actions, Reject) == [] and 4 in controller.state.open_requests.queued


def test_a_request_that_waited_unread_too_long_is_rejected_at_once() -> None:
    controller = started_controller()
    arrive(controller, 0.1, 1)
    controller.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    assert request_ids(arrive(controller, 2.0, 3, unread_s=0.1), StartRun) == [3]
    late = arrive(controller, 2.0, 2, unread_s=0.9)
    assert request_ids(late, StartRun) == [] and request_ids(late, Reject) == [2]


def test_run_times_learned_too_long_are_corrected_by_probes() -> None:
    controller = started_controller()
    estimates = controller.estimates
    for times_s in (estimates.run_time_s, estimates.core_time_s, estimates.base_core_time_s):
        times_s[0] = 50.0
    for n in range(1, 12):
        assert request_ids(arrive(controller, 1.5 * n, n), StartRun) == [n]
        controller.handle(1.5 * n + 0.2, RunFinished(n, Outcome.SUCCESS, 0.2))
    assert estimates.run_time_s[0] * estimates.work_units(0, None) < 5.0


def test_a_large_request_on_a_slow_server_is_rejected_early_for_a_retry_elsewhere() -> None:
    controller = started_controller()
    arrive(controller, 0.1, 1, work_hint_s=0.2)
    controller.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    assert request_ids(arrive(controller, 1.0, 3, work_hint_s=0.2), StartRun) == [3]
    large = [a for a in arrive(controller, 1.0, 2, work_hint_s=1.0) if isinstance(a, Reject)]
    assert [a.request_id for a in large] == [2] and not large[0].do_not_retry
