"""The handler tables of the reducer are complete, and no event type is registered twice."""

from __future__ import annotations

from typing import get_args

from snowthread.admission import actions
from snowthread.core import (
    arrivals,
    downstream_calls,
    drain,
    events,
    key_claims,
    key_replication,
    load_samples,
    peer_process,
    run_completion,
    runtime_resync,
    settings_changes,
    shutdown,
)
from snowthread.core.action_handlers import ACTION_HANDLERS
from snowthread.core.reducer import EVENT_HANDLERS

MODULES = (
    arrivals,
    downstream_calls,
    drain,
    key_claims,
    key_replication,
    load_samples,
    peer_process,
    run_completion,
    runtime_resync,
    settings_changes,
    shutdown,
)


def test_each_event_type_has_one_handler() -> None:
    assert set(EVENT_HANDLERS) == set(get_args(events.Event))
    assert sum(len(module.HANDLERS) for module in MODULES) == len(EVENT_HANDLERS)


def test_each_action_type_of_the_controller_has_a_handler() -> None:
    assert set(ACTION_HANDLERS) == set(get_args(actions.Action))
