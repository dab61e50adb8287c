"""The rules of admission hold under any legal sequence of events."""

from __future__ import annotations

from enum import Enum, auto

from hypothesis import given, settings
from hypothesis import strategies as st
from support.admission_rules import RuleCheckingHost

from snowthread.admission.events import RequestArrived
from snowthread.admission.request import RequestState
from snowthread.admission.settings import (
    Dependency,
    Idempotency,
    LoadReportKind,
    Outcome,
    Preemption,
    RequestClass,
    Settings,
    Tenant,
)

CLASSES = (
    RequestClass("read", 1.0, 3.0),
    RequestClass(
        "keyed", 0.6, 2.0, idempotency=Idempotency.KEYED, priority_weight=3.0, idempotency_window_s=8.0
    ),
    RequestClass(
        "non_idempotent", 0.8, 2.5, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=2.0, may_call=True
    ),
    RequestClass("skippable_call", 1.5, 4.0, may_call=True, skipped_call_weight=0.5, late_weight_factor=0.2),
)
CALL_OUTCOMES = (Outcome.SUCCESS, Outcome.TIMED_OUT, Outcome.OVERLOADED, Outcome.FAILURE)
RUN_OUTCOMES = (Outcome.SUCCESS, Outcome.FAILURE)


class Operation(Enum):
    """What happens next, if it is possible."""

    ARRIVE = auto()
    FINISH_RUN = auto()
    FINISH_AWAITING = auto()
    NEED_CALL = auto()
    FINISH_CALL = auto()
    END_RUN_AT_CALL = auto()
    CANCEL = auto()
    NOTICE_SHUTDOWN = auto()


def arrive(host: RuleCheckingHost, choice: int, request: int) -> None:
    """Let a request arrive whose fields follow from ``choice``, a number from 0 to 127.

    From the lowest bit on, two bits set the class, two the time unread, one the time left, and one whether
    it is a retry if its class is keyed. Memory, tenant and work hint follow from remainders of the number.
    """
    request_class = CLASSES[choice % 4]
    unread_s = (0.0, 0.0, 0.3, 1.5)[choice // 4 % 4]
    time_left_s = (request_class.deadline_s, 0.3)[choice // 16 % 2]
    deadline_at = max(host.now, host.now - unread_s + request_class.deadline_s)
    if host.settings.propagates_deadline:
        deadline_at = host.now + time_left_s
    originals = [key for key in host.key_expires_at if key in host.state or key in host.started]
    is_retry = request_class.idempotency is Idempotency.KEYED and choice // 32 % 2 and originals
    event = RequestArrived(
        request,
        request_class.name,
        float(5 + choice % 40),
        ("a", "")[choice % 2],
        time_left_s=time_left_s,
        caller_id=choice,
        work_hint_s=(None, 0.01, 5.0)[choice % 3],
        unread_s=unread_s,
        original_id=max(originals) if is_retry else None,
    )
    host.arrive(event, request_class, deadline_at)


def finish_run(host: RuleCheckingHost, state: RequestState, choice: int) -> None:
    request = host.pick_request(state, choice)
    if request is not None:
        never_ran = request in host.given_up
        host.end_run(request, Outcome.NOT_STARTED if never_ran else RUN_OUTCOMES[choice % 2])


def need_call(host: RuleCheckingHost, choice: int) -> None:
    request = host.pick_request(RequestState.RUNNING, choice)
    if request is not None and request in host.unanswered and host.may_call(request):
        host.need_call(request)


def finish_call(host: RuleCheckingHost, choice: int) -> None:
    request = host.pick_request(RequestState.CALLING, choice)
    if request is not None:
        host.finish_call(request, CALL_OUTCOMES[choice % 4])


def end_run_at_call(host: RuleCheckingHost, choice: int) -> None:
    state = (RequestState.CALLING, RequestState.CALL_PENDING)[choice % 2]
    request = host.pick_request(state, choice)
    if request is not None and request in host.unanswered:
        host.end_run_at_call(request)


def cancel(host: RuleCheckingHost, choice: int) -> None:
    if host.unanswered:
        host.cancel(sorted(host.unanswered)[choice % len(host.unanswered)])


def perform(host: RuleCheckingHost, operation: Operation, choice: int, request: int) -> None:
    if operation is Operation.ARRIVE:
        arrive(host, choice, request)
    elif operation is Operation.FINISH_RUN:
        finish_run(host, RequestState.RUNNING, choice)
    elif operation is Operation.FINISH_AWAITING:
        finish_run(host, RequestState.AWAITING_ORIGINAL, choice)
    elif operation is Operation.NEED_CALL:
        need_call(host, choice)
    elif operation is Operation.FINISH_CALL:
        finish_call(host, choice)
    elif operation is Operation.END_RUN_AT_CALL:
        end_run_at_call(host, choice)
    elif operation is Operation.CANCEL:
        cancel(host, choice)
    else:
        host.notice_shutdown()


DRAWN_OPERATIONS = (
    *[Operation.ARRIVE] * 4,
    Operation.FINISH_RUN,
    Operation.FINISH_AWAITING,
    *[Operation.NEED_CALL] * 3,
    Operation.FINISH_CALL,
    Operation.END_RUN_AT_CALL,
    Operation.CANCEL,
)
SITE_SETTINGS = st.builds(
    Settings,
    st.just(CLASSES),
    cores=st.sampled_from((1, 2, 6)),
    memory_kb=st.sampled_from((600.0, 4000.0)),
    tenants=st.sampled_from(((), (Tenant("a", 3.0), Tenant("b", 0.0)))),
    running_memory_factor=st.sampled_from((1.0, 8.0)),
    key_memory_kb=st.sampled_from((0.0, 20.0)),
    starts_cold=st.booleans(),
    cold_speed=st.just(0.3),
    warmup_s=st.just(5.0),
    collapse_multiple=st.sampled_from((2.0, 6.0)),
    preemption=st.sampled_from(Preemption),
    propagates_deadline=st.booleans(),
    load_report_kind=st.sampled_from(LoadReportKind),
    load_report_ttl_s=st.sampled_from((0.0, 1.0)),
    caller_count=st.sampled_from((0, 3, 1000)),
    node_count=st.sampled_from((0, 300)),
    dependency=st.sampled_from(Dependency),
    call_quota=st.sampled_from((0.0, 0.3, 2.0)),
    call_quota_window_s=st.just(5.0),
    given_up_call_s=st.just(0.2),
    supports_retry_after=st.booleans(),
    max_retry_after_s=st.just(1.0),
    idle_timeout_s=st.sampled_from((0.0, 30.0)),
    weighs_by_work=st.booleans(),
    over_quota_weight=st.just(0.1),
    deep_health_checks=st.booleans(),
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    SITE_SETTINGS,
    st.lists(
        st.tuples(
            st.sampled_from(DRAWN_OPERATIONS),
            st.integers(0, 127),
            st.sampled_from((0.0, 0.0, 0.01, 0.05, 0.3)),
        ),
        min_size=30,
        max_size=120,
    ),
    st.integers(0, 60),
)
def test_rules_hold_under_any_legal_sequence(
    site: Settings, steps: list[tuple[Operation, int, float]], shutdown_step: int
) -> None:
    host = RuleCheckingHost(site, seed=7)
    for number, (operation, choice, elapsed_s) in enumerate(steps):
        host.advance(elapsed_s)
        if host.now >= host.exit_at:
            return
        drawn = Operation.NOTICE_SHUTDOWN if number == shutdown_step else operation
        perform(host, drawn, choice, number + 1)
    host.advance(min(6.0, max(0.0, host.exit_at - host.now)))
    assert not host.unanswered or host.now < host.exit_at
