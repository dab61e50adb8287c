"""Settings taken up while serving: in the module, in the reducer, and files that have gaps."""

from __future__ import annotations

import copy
import dataclasses
import json
from pathlib import Path
from typing import Any

import orjson
import pytest
from support.exchange import EXAMPLE, START, Player

from snowthread.admission.actions import Reject, StartRun
from snowthread.admission.controller import UPDATE_TIMER, Controller
from snowthread.admission.events import RequestArrived, RunFinished, SettingsChanged, Started, TimerFired
from snowthread.admission.settings import Idempotency, Outcome, RequestClass, Settings
from snowthread.config import ConfigError, load, missing_key, parse, shape_of
from snowthread.core import effects, events
from snowthread.core.reconfiguration import merge_settings, retention_ms
from snowthread.records.observer import Observer

A = RequestClass("a", latency_objective_s=1.0, deadline_s=3.0)
B = RequestClass(
    "b", latency_objective_s=2.0, deadline_s=4.0, idempotency=Idempotency.KEYED, idempotency_window_s=9.0
)
C = RequestClass("c", latency_objective_s=0.5, deadline_s=2.0, priority_weight=5.0)
PLAIN = Settings(
    classes=(A, B),
    cores=2,
    memory_kb=1000.0,
    running_memory_factor=4.0,
    key_memory_kb=1.0,
    collapse_multiple=4.0,
)


def started(settings: Settings = PLAIN) -> Controller:
    controller = Controller(settings, seed=1)
    controller.handle(1.0, Started())
    return controller


def with_classes(*classes: RequestClass, **changes: Any) -> Settings:
    return dataclasses.replace(PLAIN, classes=classes, **changes)


# Places of classes.


def test_classes_keep_their_places_and_a_dropped_one_is_taken_on_for_a_while() -> None:
    gone: dict[str, float] = {}
    first = merge_settings(PLAIN, with_classes(C, B), gone, 1000.0)
    assert [c.name for c in first.classes] == ["a", "b", "c"] and gone == {"a": 1000.0 + retention_ms(A)}
    back = merge_settings(
        first, with_classes(dataclasses.replace(A, latency_objective_s=9.0), C), gone, 2000.0
    )
    assert [c.name for c in back.classes] == ["a", "b", "c"] and back.classes[0].latency_objective_s == 9.0
    assert gone == {"b": 2000.0 + retention_ms(B)} and retention_ms(B) == 9000.0


def test_a_place_is_anothers_once_its_class_is_long_gone_so_the_list_does_not_grow() -> None:
    gone: dict[str, float] = {}
    settings = PLAIN
    for n in range(200):
        settings = merge_settings(
            settings, with_classes(dataclasses.replace(A, name=f"x{n}")), gone, n * 5000.0
        )
    assert len(settings.classes) <= 4 and len(gone) <= 3
    assert merge_settings(dataclasses.replace(settings, starts_cold=True), PLAIN, gone, 0.0).starts_cold


# The module.


def test_what_was_learned_stays_with_a_class_and_a_new_one_starts_from_nothing() -> None:
    controller = started()
    for n in range(4):
        now = 1.1 + n
        assert StartRun(n) in controller.handle(now, RequestArrived(n, "a"))
        controller.handle(now + 0.5, RunFinished(n, Outcome.SUCCESS, 0.5))
    learned = controller.estimates.core_time_s[0]
    assert learned > 0.0
    controller.handle(6.0, SettingsChanged(with_classes(A, B, C)))
    assert controller.estimates.core_time_s == [learned, 0.0, 0.0] and len(controller.estimates.hints) == 3
    assert StartRun(9) in controller.handle(6.1, RequestArrived(9, "c"))
    controller.handle(6.3, RunFinished(9, Outcome.SUCCESS, 0.2))
    assert controller.estimates.core_time_s[2] > 0.0 and controller.estimates.last_run_at_s[2] == 6.3
    controller.handle(7.0, SettingsChanged(with_classes(C, B)))  # another class in the first place
    assert controller.estimates.core_time_s[0] == controller.estimates.base_core_time_s[0] == 0.0
    assert any(isinstance(a, Reject) for a in controller.handle(7.1, RequestArrived(10, "a")))


def test_what_is_open_keeps_its_class_and_its_memory_is_booked_by_the_new_factor() -> None:
    controller = started()
    assert StartRun(1) in controller.handle(1.1, RequestArrived(1, "a", memory_kb=10.0))
    due, kind = controller._reqs[1].due, controller._reqs[1].kind
    controller.handle(
        1.2,
        SettingsChanged(
            with_classes(
                dataclasses.replace(A, deadline_s=1.0), B, running_memory_factor=8.0, key_memory_kb=2.0
            )
        ),
    )
    assert (controller._reqs[1].due, controller._reqs[1].kind) == (due, kind)
    assert controller._memory == pytest.approx(80.0)
    controller.handle(1.3, RunFinished(1, Outcome.SUCCESS, 0.2))
    assert controller._memory == pytest.approx(0.0)
    controller.handle(1.4, RequestArrived(2, "a", memory_kb=10.0))
    assert controller._reqs[2].due == pytest.approx(2.4)


def test_limits_follow_the_new_settings() -> None:
    controller = started()
    controller.handle(
        1.2, SettingsChanged(with_classes(A, B, cores=5, call_quota=10.0, call_quota_window_s=5.0))
    )
    controller.handle(1.25, TimerFired(UPDATE_TIMER, core_utilization=0.1))
    assert controller.concurrency_limit == 5.0 and controller.estimates.cores == 5
    runs = [
        a for n in range(9) for a in controller.handle(1.3, RequestArrived(n, "a")) if isinstance(a, StartRun)
    ]
    assert len(runs) == 5
    assert controller._call_cap > 0.0 and controller._call_floor == 2.0


# The node.


def settings_of(fields: dict[str, Any], *drop: str, **more: dict[str, Any]) -> dict[str, Any]:
    """The example's settings with classes dropped and, from copies of the first, added."""
    made = copy.deepcopy(fields["settings"])
    made["classes"] = [c for c in made["classes"] if c["name"] not in drop]
    made["classes"] += [made["classes"][0] | {"name": name} | change for name, change in more.items()]
    return made


def read(n: int, name: str, at: float) -> events.RequestReceived:
    return events.RequestReceived((1, n), f"{n:016x}", name, b"p", at, 5000.0, 4, 20.0, 0.5, f"k{n}")


def test_a_node_takes_up_classes_and_serves_a_dropped_one_for_its_time_only() -> None:
    player = Player()
    try:
        out: list[effects.Effect] = []
        node, step = player.node, player.node._reduce
        node._reduce = lambda *more: (made := step(*more), out.extend(made))[0]
        node.post(events.RuntimeConnected(False, 0.0))
        node.post(read(1, "match", START))
        changed = settings_of(player.fields, "match", tint={"deadline_s": 2.0})
        player.fields["settings"] = changed
        node.apply_configuration(parse(player.fields))
        out.clear()
        node.post(events.CallRequested(f"{1:016x}", 1, b"c"))  # what is open goes on as its class did
        assert any(isinstance(e, effects.StartCall | effects.SkipCall) for e in out)
        for n, name in ((2, "tint"), (3, "match")):
            out.clear()
            node.post(read(n, name, START))
            assert [e.class_name for e in out if isinstance(e, effects.StartRun)] == [name]
        player.clock.now_ms += 60_000.0
        out.clear()
        node.post(read(4, "match", player.clock.now_ms))
        assert [e.response for e in out if isinstance(e, effects.SendResponse)] == [effects.Failed()]
    finally:
        player.node.loop._close_tasks()


def test_tenants_of_the_file_come_and_go() -> None:
    player = Player()
    try:
        node = player.node
        node.post(events.RuntimeConnected(False, 0.0))
        for projects, names in (([{"name": "x", "quota_per_s": 2.0}], {"x"}), ([], set())):
            player.fields["settings"] = player.fields["settings"] | {"projects": projects}
            node.apply_configuration(parse(player.fields))
            assert node.state.controller is not None
            assert set(node.state.controller._tenants) == names
    finally:
        player.node.loop._close_tasks()


def test_records_count_by_the_new_classes() -> None:
    observer = Observer(PLAIN, START)
    observer.apply_settings(with_classes(C))
    assert set(observer._latency_objectives_ms) == {"c"}


# Files.


def loaded(path: Path, fields: object) -> Any:
    path.write_bytes(fields if isinstance(fields, bytes) else orjson.dumps(fields))
    return load({"NODE_CONFIG": str(path)})


def keys(value: object, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Where every key of a file stands."""
    found: list[tuple[Any, ...]] = []
    if isinstance(value, dict):
        for key, held in value.items():
            found += [(*at, key), *keys(held, (*at, key))]
    elif isinstance(value, list):
        for n, held in enumerate(value):
            found += keys(held, (*at, n))
    return found


def test_a_file_that_lacks_any_key_is_turned_down_whole(tmp_path: Path) -> None:
    whole = json.loads(EXAMPLE.read_bytes())
    old = loaded(tmp_path / "node.json", whole)
    assert load({"NODE_CONFIG": str(tmp_path / "node.json")}, old) == old
    common = set.intersection(*(set(c) for c in whole["settings"]["classes"]))
    wanted = [place for place in keys(whole) if "classes" not in place[:-1] or place[-1] in common]
    assert len(wanted) > 30
    for place in wanted:
        fields = copy.deepcopy(whole)
        inner = fields
        for key in place[:-1]:
            inner = inner[key]
        del inner[place[-1]]
        with pytest.raises(ConfigError, match=str(place[-1])):
            (tmp_path / "node.json").write_bytes(orjson.dumps(fields))
            load({"NODE_CONFIG": str(tmp_path / "node.json")}, old)


def test_a_file_that_is_empty_or_cut_short_at_any_byte_is_turned_down(tmp_path: Path) -> None:
    whole = EXAMPLE.read_bytes().rstrip()
    assert len(whole) > 1000 and loaded(tmp_path / "node.json", whole)
    for cut in range(len(whole)):
        with pytest.raises(ConfigError, match="not JSON"):
            loaded(tmp_path / "node.json", whole[:cut])


@pytest.mark.parametrize("value", [0, -5, "5", "", None, True, [], {}, b"1e999", b"NaN"])
@pytest.mark.parametrize("key", ["deadline_s", "goal_time_s"])
def test_a_deadline_that_is_no_number_above_0_is_turned_down(tmp_path: Path, key: str, value: Any) -> None:
    fields = json.loads(EXAMPLE.read_bytes())
    fields["settings"]["classes"][-1][key] = "HERE" if isinstance(value, bytes) else value
    data = orjson.dumps(fields).replace(b'"HERE"', value if isinstance(value, bytes) else b'"HERE"')
    with pytest.raises(ConfigError):
        loaded(tmp_path / "node.json", data)


@pytest.mark.parametrize("classes", [5, "x", [5], {"a": 1}, [{"name": "m"}], "twice"])
def test_classes_that_are_none_are_told_and_end_nothing(tmp_path: Path, classes: Any) -> None:
    fields = json.loads(EXAMPLE.read_bytes())
    fields["settings"]["classes"] = fields["settings"]["classes"][:1] * 2 if classes == "twice" else classes
    with pytest.raises(ConfigError, match="settings"):
        loaded(tmp_path / "node.json", fields)


def test_a_new_class_may_lack_what_only_some_classes_have() -> None:
    shape = shape_of({"classes": [{"name": "a", "window_s": 1.0}, {"name": "b"}], "empty": [], "null": None})
    assert missing_key({"classes": [{"name": "c"}], "empty": [], "null": 1}, shape) is None
    assert missing_key({"classes": [{}], "empty": [], "null": 1}, shape) == "classes: name"
    assert missing_key({"classes": [], "null": 1}, shape) == "empty"


def test_nothing_of_a_bad_file_is_taken_up(tmp_path: Path) -> None:
    from snowthread.reload import reload

    path = tmp_path / "node.json"
    player = Player()
    try:
        whole = json.loads(EXAMPLE.read_bytes())
        player.node.config = loaded(path, whole)
        held = player.node.config
        bad = copy.deepcopy(whole) | {"runtime": "127.0.0.1:9"}
        bad["settings"]["classes"][0]["deadline_s"] = -5
        path.write_bytes(orjson.dumps(bad))
        reload(player.node, {"NODE_CONFIG": str(path)})
        assert player.node.config is held and player.node.runtime._address != ("127.0.0.1", 9)
        assert player.node.state.retired_classes == {}
        path.write_bytes(orjson.dumps(whole | {"settings": settings_of(whole, tint={})}))
        reload(player.node, {"NODE_CONFIG": str(path)})
        assert "tint" in {c.name for c in player.node.state.settings.classes}
    finally:
        player.node.loop._close_tasks()
