"""A controller of a small node, and helpers that send events to it and read its actions."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Any

from snowthread.admission.actions import (
    Action,
    AwaitOriginal,
    Fail,
    ForgetKey,
    ForgetLostRun,
    Reject,
    RememberKey,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from snowthread.admission.controller import Controller
from snowthread.admission.events import CallNeeded, RequestArrived, Started
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Idempotency, RequestClass, Settings

RequestAction = (
    ForgetLostRun
    | AwaitOriginal
    | Fail
    | ForgetKey
    | Reject
    | RememberKey
    | SkipCall
    | StartCall
    | StartRun
    | StopRun
)

READ = RequestClass("read", latency_objective_s=1.0, deadline_s=3.0)
KEYED = RequestClass(
    "keyed",
    latency_objective_s=1.0,
    deadline_s=3.0,
    idempotency=Idempotency.KEYED,
    idempotency_window_s=10.0,
    priority_weight=3.0,
)
NON_IDEMPOTENT = RequestClass(
    "non_idempotent",
    latency_objective_s=1.0,
    deadline_s=3.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
    may_call=True,
)
SKIPPABLE_CALL = RequestClass(
    "skippable_call", latency_objective_s=1.0, deadline_s=3.0, may_call=True, skipped_call_weight=0.5
)
SMALL_NODE = Settings(
    classes=(READ, KEYED, NON_IDEMPOTENT, SKIPPABLE_CALL),
    cores=2,
    memory_kb=1000.0,
    running_memory_factor=4.0,
    key_memory_kb=1.0,
    collapse_multiple=4.0,
    collapse_after_s=2.0,
    drain_grace_s=1.0,
)


def started_controller(**changes: Any) -> Controller:
    """Return a controller that has just started on the small node, with these settings changed."""
    controller = Controller(dataclasses.replace(SMALL_NODE, **changes), seed=1)
    controller.handle(0.0, Started())
    return controller


def arrive(
    controller: Controller, now: float, request_id: int, class_name: str = "read", **fields: Any
) -> list[Action]:
    """Let a request arrive and return the actions of the controller."""
    return controller.handle(now, RequestArrived(request_id, class_name, **{"memory_kb": 10.0, **fields}))


def arrive_and_call(
    controller: Controller, now: float, request_id: int, class_name: str = "skippable_call"
) -> list[Action]:
    """Let a request arrive, start at once and need its call; return the actions about the call."""
    assert request_ids(arrive(controller, now, request_id, class_name), StartRun) == [request_id]
    return controller.handle(now, CallNeeded(request_id))


def request_ids(actions: Iterable[Action], kind: type[RequestAction]) -> list[int]:
    """Return the ids of the requests that the actions of one kind are about."""
    return [action.request_id for action in actions if isinstance(action, kind)]


def record(request_id: int, weight: float) -> RequestRecord:
    """Return the record of a request of this weight, as on arrival."""
    return RequestRecord(request_id, 0, READ, 0.0, 3.0, 1.0, 1.0, 1.0, 1.0, weight)


def is_blocked(controller: Controller, request: RequestRecord) -> bool:
    """Draw whether a request is blocked at the controller's present blocking probability."""
    return controller.state.blocking.is_blocked(request)
