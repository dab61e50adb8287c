"""Tests the recovery manager around the reducer: recording of keys, pacing of calls, and registry answers."""

from __future__ import annotations

from pathlib import Path

import pytest

from snowthread import config
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, NodeState
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop
from snowthread.recovery import key_log, storage
from snowthread.recovery.manager import RecoveryManager
from snowthread.recovery.membership import REGISTRY_TIMEOUT_MS, FleetView
from snowthread.recovery.settings import RecoverySettings

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "node.json"
FIRST_ATTEMPT_ID = f"{1:016x}"
SECOND_ATTEMPT_ID = f"{2:016x}"


class Harness:
    """A recovery manager around the reducer, which collects posted events and effects executed later."""

    def __init__(self, folder: Path) -> None:
        node_config = config.load({"NODE_CONFIG": str(EXAMPLE)})
        self.loop = EventLoop(Clock())
        clock = AdmissionClock(self.loop.clock.now())
        self.state = NodeState(node_config.settings, 1, node_config.gauge_names, clock)
        self.posted: list[events.Event] = []
        self.executed_effects: list[effects.Effect] = []
        self.manager = RecoveryManager(
            self.loop,
            RecoverySettings(
                folder,
                snapshot_interval_ms=1000.0,
                snapshot_max_age_ms=60_000.0,
                database_calls_per_s=1000.0,
                database_call_latency_ms=10.0,
            ),
            node_config,
            self.state,
            self.posted.append,
            reduce,
        )
        self.manager.start(lambda: None, self.executed_effects.append)

    def handle(self, event: events.Event) -> list[effects.Effect]:
        return self.manager.reduce(self.state, event, self.loop.clock.now())

    def request(self, number: int, class_name: str = "dispense") -> list[effects.Effect]:
        """Handle a request; only requests of class ``dispense`` have an idempotency key."""
        return self.handle(
            events.RequestReceived(
                response_address=(1, number),
                attempt_id=f"{number:016x}",
                class_name=class_name,
                body=b"a",
                arrived_at_ms=self.loop.clock.now(),
                timeout_ms=3000.0,
                caller_id=1,
                memory_kb=5.0,
                rank=0.5,
                idempotency_key=f"key{number}" if class_name == "dispense" else None,
            )
        )


@pytest.fixture
def harness(tmp_path: Path) -> Harness:
    storage.create_key_log(tmp_path)
    made = Harness(tmp_path)
    made.handle(events.RuntimeConnected(True, 0.0))
    return made


def started_runs(produced: list[effects.Effect]) -> list[str]:
    return [effect.attempt_id for effect in produced if isinstance(effect, effects.StartRun)]


def started_calls(produced: list[effects.Effect]) -> list[str]:
    return [effect.attempt_id for effect in produced if isinstance(effect, effects.StartCall)]


def responses(produced: list[effects.Effect]) -> list[object]:
    return [effect.response for effect in produced if isinstance(effect, effects.SendResponse)]


def recorded_keys(folder: Path) -> int:
    return len(key_log.decode_key_log(storage.read_state_file(folder, storage.KEY_LOG_FILE, 1 << 20)).keys)


def test_key_is_recorded_before_its_run_starts(harness: Harness, tmp_path: Path) -> None:
    assert started_runs(harness.request(1)) == [FIRST_ATTEMPT_ID]
    assert recorded_keys(tmp_path) == 1
    assert started_runs(harness.request(2, "recalc"))  # Class recalc has no idempotency keys.
    assert recorded_keys(tmp_path) == 1


def test_without_a_key_log_requests_with_keys_fail_and_others_run(tmp_path: Path) -> None:
    (tmp_path / storage.KEY_LOG_FILE).mkdir()  # The directory keeps the log file from being created.
    harness = Harness(tmp_path)
    harness.handle(events.RuntimeConnected(False, 0.0))
    assert responses(harness.request(1)) == [effects.Failed()]
    assert started_runs(harness.request(2, "recalc"))


def test_run_whose_key_finds_no_slot_never_starts(harness: Harness) -> None:
    log = harness.manager._key_recorder._key_log
    assert log is not None
    log.append = lambda *_: False  # type: ignore[method-assign]
    assert started_runs(harness.request(1)) == []
    assert harness.posted == [events.CommandRejected(FIRST_ATTEMPT_ID, True)]
    produced = harness.handle(harness.posted[0])
    assert effects.SendResponse((1, 1), effects.Failed(), None) in produced
    assert len(harness.state.idempotency_table) == 0  # The key is free, as its run never started.


def test_slow_start_rejects_requests_it_has_no_place_for(harness: Harness) -> None:
    answers = [response for number in range(1, 12) for response in responses(harness.request(number))]
    assert answers
    for answer in answers:
        assert isinstance(answer, effects.Rejected) and answer.retry_after_ms > 0.0
        # The log line of a rejection names the attempt and the reason.
        assert answer.attempt_id and answer.reason
    # The slow-start window is at first one run per core, so that many of the 11 requests are admitted.
    assert harness.manager.rejected_requests == len(answers) == 11 - harness.state.settings.cores


def test_queued_call_starts_once_another_has_completed(harness: Harness) -> None:
    for number in (1, 2):
        harness.request(number)
    assert started_calls(harness.handle(events.CallRequested(FIRST_ATTEMPT_ID, 1, b"q")))
    harness.manager._pacer.database_slots = 0.5  # At most one call is in flight.
    assert not started_calls(harness.handle(events.CallRequested(SECOND_ATTEMPT_ID, 2, b"q")))
    assert not harness.executed_effects
    harness.handle(events.CallCompleted(FIRST_ATTEMPT_ID, Outcome.SUCCESS, 10.0, b"r"))
    for _ in range(200):  # The call starts once the budget has a token, after some milliseconds.
        harness.loop.run_once(0.005)
        if harness.executed_effects:
            break
    assert started_calls(harness.executed_effects) == [SECOND_ATTEMPT_ID]


def test_process_whose_name_another_has_taken_withdraws_its_registration(harness: Harness) -> None:
    harness.manager.handle_registry_answer(b"FLEET 1 3 1 0")
    assert harness.manager.report_suffix() == "1 cold"
    harness.manager.handle_registry_answer(b"FLEET 1 3 1 2")
    assert harness.posted[-1] == events.NameTaken()


def test_silent_registry_is_noticed_and_its_last_counts_hold(harness: Harness) -> None:
    manager = harness.manager
    manager.handle_registry_answer(b"FLEET 1 5 3 0")
    before = manager._pacer.sharing_nodes
    last_heard_at = harness.loop.clock.now() - REGISTRY_TIMEOUT_MS - 1.0
    manager._registry_member._membership.view = FleetView(1, 5, 3, last_heard_at)
    manager._registry_member._is_registry_silent = False
    until = harness.loop.clock.now() + 2500.0
    while harness.loop.clock.now() < until and not manager._registry_member._is_registry_silent:
        harness.loop.run_once(0.05)
    assert manager._registry_member._is_registry_silent
    assert manager._pacer.sharing_nodes == before == 5
