"""Reloads of the settings while serving, and their effect on classes, controller, node and records."""

from __future__ import annotations

import copy
import dataclasses
from typing import Any

import pytest
from support.core_events import make_request
from support.exchange import START, ExchangePlayer

from snowthread.admission.actions import Reject, StartRun
from snowthread.admission.controller import Controller
from snowthread.admission.events import RequestArrived, RunFinished, SettingsChanged, Started, TimerFired
from snowthread.admission.settings import Idempotency, Outcome, RequestClass, Settings
from snowthread.admission.timer_queue import UPDATE_TIMER
from snowthread.config import parse
from snowthread.core import effects, events
from snowthread.core.effective_settings import merge_settings, retention_ms
from snowthread.records.observer import Observer

CLASS_A = RequestClass("a", latency_objective_s=1.0, deadline_s=3.0)
CLASS_B = RequestClass(
    "b", latency_objective_s=2.0, deadline_s=4.0, idempotency=Idempotency.KEYED, idempotency_window_s=9.0
)
CLASS_C = RequestClass("c", latency_objective_s=0.5, deadline_s=2.0, priority_weight=5.0)
BASE_SETTINGS = Settings(
    classes=(CLASS_A, CLASS_B),
    cores=2,
    memory_kb=1000.0,
    running_memory_factor=4.0,
    key_memory_kb=1.0,
    collapse_multiple=4.0,
)


def started_controller(settings: Settings = BASE_SETTINGS) -> Controller:
    controller = Controller(settings, seed=1)
    controller.handle(1.0, Started())
    return controller


def with_classes(*classes: RequestClass, **changes: Any) -> Settings:
    return dataclasses.replace(BASE_SETTINGS, classes=classes, **changes)


def test_classes_stay_at_their_positions_and_a_removed_class_is_served_during_its_retention() -> None:
    retired_until_ms: dict[str, float] = {}
    without_a = merge_settings(BASE_SETTINGS, with_classes(CLASS_C, CLASS_B), retired_until_ms, 1000.0)
    assert [c.name for c in without_a.classes] == ["a", "b", "c"]
    assert retired_until_ms == {"a": 1000.0 + retention_ms(CLASS_A)}
    changed_a = dataclasses.replace(CLASS_A, latency_objective_s=9.0)
    without_b = merge_settings(without_a, with_classes(changed_a, CLASS_C), retired_until_ms, 2000.0)
    assert [c.name for c in without_b.classes] == ["a", "b", "c"]
    assert without_b.classes[0].latency_objective_s == 9.0
    assert retired_until_ms == {"b": 2000.0 + retention_ms(CLASS_B)}
    assert retention_ms(CLASS_B) == 9000.0


def test_the_position_of_a_class_is_reused_after_its_retention_so_the_list_does_not_grow() -> None:
    retired_until_ms: dict[str, float] = {}
    settings = BASE_SETTINGS
    for reload in range(200):
        only_class = dataclasses.replace(CLASS_A, name=f"x{reload}")
        settings = merge_settings(settings, with_classes(only_class), retired_until_ms, reload * 5000.0)
    assert len(settings.classes) <= 4
    assert len(retired_until_ms) <= 3


def test_a_reload_does_not_change_whether_the_runtime_started_cold() -> None:
    assert merge_settings(
        dataclasses.replace(BASE_SETTINGS, starts_cold=True), BASE_SETTINGS, {}, 0.0
    ).starts_cold


def test_estimates_stay_with_their_class_and_a_new_class_starts_without_any() -> None:
    controller = started_controller()
    for n in range(4):
        now = 1.1 + n
        assert StartRun(n) in controller.handle(now, RequestArrived(n, "a"))
        controller.handle(now + 0.5, RunFinished(n, Outcome.SUCCESS, 0.5))
    learned = controller.estimates.core_time_s[0]
    assert learned > 0.0
    controller.handle(6.0, SettingsChanged(with_classes(CLASS_A, CLASS_B, CLASS_C)))
    assert (
        controller.estimates.core_time_s == [learned, 0.0, 0.0]
        and len(controller.estimates.hint_fit.means) == 3
    )
    assert StartRun(9) in controller.handle(6.1, RequestArrived(9, "c"))
    controller.handle(6.3, RunFinished(9, Outcome.SUCCESS, 0.2))
    assert controller.estimates.core_time_s[2] > 0.0 and controller.estimates.last_run_at_s[2] == 6.3
    # Another class takes the first position.
    controller.handle(7.0, SettingsChanged(with_classes(CLASS_C, CLASS_B)))
    assert controller.estimates.core_time_s[0] == controller.estimates.base_core_time_s[0] == 0.0
    assert any(isinstance(a, Reject) for a in controller.handle(7.1, RequestArrived(10, "a")))


def test_an_open_request_stays_in_its_class_and_uses_memory_by_the_new_factor() -> None:
    controller = started_controller()
    assert StartRun(1) in controller.handle(1.1, RequestArrived(1, "a", memory_kb=10.0))
    open_requests = controller.state.open_requests
    deadline_at = open_requests.by_id[1].deadline_at
    request_class = open_requests.by_id[1].request_class
    controller.handle(
        1.2,
        SettingsChanged(
            with_classes(
                dataclasses.replace(CLASS_A, deadline_s=1.0),
                CLASS_B,
                running_memory_factor=8.0,
                key_memory_kb=2.0,
            )
        ),
    )
    assert open_requests.by_id[1].deadline_at == deadline_at
    assert open_requests.by_id[1].request_class == request_class
    assert open_requests.memory.used_kb == pytest.approx(80.0)
    controller.handle(1.3, RunFinished(1, Outcome.SUCCESS, 0.2))
    assert open_requests.memory.used_kb == pytest.approx(0.0)
    controller.handle(1.4, RequestArrived(2, "a", memory_kb=10.0))
    assert open_requests.by_id[2].deadline_at == pytest.approx(2.4)


def test_limits_of_the_controller_follow_the_new_settings() -> None:
    controller = started_controller()
    controller.handle(
        1.2,
        SettingsChanged(with_classes(CLASS_A, CLASS_B, cores=5, call_quota=10.0, call_quota_window_s=5.0)),
    )
    controller.handle(1.25, TimerFired(UPDATE_TIMER, core_utilization=0.1))
    assert controller.concurrency.limit == 5.0 and controller.estimates.cores == 5
    runs = [
        a for n in range(9) for a in controller.handle(1.3, RequestArrived(n, "a")) if isinstance(a, StartRun)
    ]
    assert len(runs) == 5
    assert (
        controller.state.open_requests.call_table.budget.capacity > 0.0
        and controller.state.calls._min_limit == 2.0
    )


def reloaded_settings(fields: dict[str, Any], *removed: str, **added: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a configuration without the removed classes, and with added classes.

    Each added class is a copy of the first remaining class with the given changes.
    """
    settings: dict[str, Any] = copy.deepcopy(fields["settings"])
    settings["classes"] = [c for c in settings["classes"] if c["name"] not in removed]
    first = settings["classes"][0]
    settings["classes"] += [first | {"name": name} | changes for name, changes in added.items()]
    return settings


def test_a_node_serves_a_new_class_and_a_removed_one_during_its_retention_only(
    player: ExchangePlayer,
) -> None:
    emitted: list[effects.Effect] = []
    node = player.node
    reduce = node._reduce

    def recording_reduce(*arguments: Any) -> list[effects.Effect]:
        new_effects = reduce(*arguments)
        emitted.extend(new_effects)
        return new_effects

    def post(event: events.Event) -> None:
        emitted.clear()
        node.post(event)

    node._reduce = recording_reduce
    post(events.RuntimeConnected(False, 0.0))
    post(make_request(1, "match", START))
    player.fields["settings"] = reloaded_settings(player.fields, "match", tint={"deadline_s": 2.0})
    node.apply_configuration(parse(player.fields))

    post(events.CallRequested(f"{1:016x}", 1, b"c"))  # the open request still belongs to the removed class
    assert any(isinstance(effect, effects.StartCall | effects.SkipCall) for effect in emitted)
    for number, name in ((2, "tint"), (3, "match")):
        post(make_request(number, name, START))
        assert [effect.class_name for effect in emitted if isinstance(effect, effects.StartRun)] == [name]

    player.clock.now_ms += 60_000.0
    post(make_request(4, "match", player.clock.now_ms))
    assert [effect.response for effect in emitted if isinstance(effect, effects.SendResponse)] == [
        effects.Failed()
    ]


def test_tenants_follow_the_configuration_file(player: ExchangePlayer) -> None:
    node = player.node
    node.post(events.RuntimeConnected(False, 0.0))
    for projects, names in (([{"name": "x", "quota_per_s": 2.0}], {"x"}), ([], set())):
        player.fields["settings"] = player.fields["settings"] | {"projects": projects}
        node.apply_configuration(parse(player.fields))
        assert node.state.controller is not None
        assert set(node.state.controller.state.quotas.table.tenants) == names


def test_records_count_by_the_new_classes() -> None:
    observer = Observer(BASE_SETTINGS, START)
    observer.apply_settings(with_classes(CLASS_C))
    assert set(observer._latency_objectives_ms) == {"c"}
