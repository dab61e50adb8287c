"""The keeper between messages and effects: no keyed start without its place in the ring, calls by turns."""

from __future__ import annotations

from pathlib import Path

import pytest

from snowthread import config
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, State
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop
from snowthread.recovery import key_log, storage
from snowthread.recovery.manager import RecoveryManager
from snowthread.recovery.membership import SILENT_MS, FleetView
from snowthread.recovery.settings import RecoverySettings

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "node.json"


class Bench:
    """A keeper round the reducer, its folder and what it posts and carries out later."""

    def __init__(self, folder: Path, per_s: float = 1000.0) -> None:
        settings = config.load({"NODE_CONFIG": str(EXAMPLE)})
        self.loop = EventLoop(Clock())
        now = self.loop.clock.now()
        self.state = State(settings.settings, 1, settings.gauge_names, AdmissionClock(now))
        self.posted: list[events.Event] = []
        self.carried: list[effects.Effect] = []
        self.keeper = RecoveryManager(
            self.loop,
            RecoverySettings(folder, 1000.0, 60_000.0, per_s, 10.0),
            settings,
            self.state,
            self.posted.append,
            reduce,
        )
        self.keeper.start(lambda: None, self.carried.append)

    def take(self, message: events.Event) -> list[effects.Effect]:
        return self.keeper.reduce(self.state, message, self.loop.clock.now())

    def ask(self, number: int, kind: str = "dispense") -> list[effects.Effect]:
        now = self.loop.clock.now()
        return self.take(
            events.RequestReceived(
                (1, number),
                f"{number:016x}",
                kind,
                b"a",
                now,
                3000.0,
                1,
                5.0,
                0.5,
                idempotency_key=f"key{number}" if kind == "dispense" else None,
            )
        )


@pytest.fixture
def bench(tmp_path: Path) -> Bench:
    storage.init(tmp_path)
    made = Bench(tmp_path)
    made.take(events.RuntimeConnected(True, 0.0))
    return made


def starts(produced: list[effects.Effect]) -> list[str]:
    return [effect.attempt_id for effect in produced if isinstance(effect, effects.StartRun)]


def test_a_key_is_in_the_ring_before_its_start_goes_out(bench: Bench, tmp_path: Path) -> None:
    assert starts(bench.ask(1)) == [f"{1:016x}"]
    assert len(key_log.read_key_log(storage.read(tmp_path, storage.KEY_LOG_FILE, 1 << 20)).keys) == 1
    assert starts(bench.ask(2, "recalc"))  # no key, no place
    assert len(key_log.read_key_log(storage.read(tmp_path, storage.KEY_LOG_FILE, 1 << 20)).keys) == 1


def test_without_a_ring_no_keyed_request_runs_and_others_do(tmp_path: Path) -> None:
    (tmp_path / storage.KEY_LOG_FILE).mkdir()  # nothing can be put there
    made = Bench(tmp_path)
    made.take(events.RuntimeConnected(False, 0.0))
    assert [effect.response for effect in made.ask(1) if isinstance(effect, effects.SendResponse)] == [
        effects.Failed()
    ]
    assert starts(made.ask(2, "recalc"))


def test_a_start_that_finds_no_place_never_goes_out(bench: Bench) -> None:
    assert bench.keeper._ring is not None
    bench.keeper._ring.append = lambda *_: False  # type: ignore[method-assign]
    assert starts(bench.ask(1)) == [] and bench.posted == [events.CommandRejected(f"{1:016x}", True)]
    out = bench.take(bench.posted[0])
    assert (
        effects.SendResponse((1, 1), effects.Failed(), None) in out
        and len(bench.state.idempotency_table) == 0
    )  # free again: never ran


def test_the_ramp_refuses_at_once_what_it_has_no_place_for(bench: Bench) -> None:
    answers = [
        effect.response
        for number in range(1, 12)
        for effect in bench.ask(number)
        if isinstance(effect, effects.SendResponse)
    ]
    assert answers and all(
        isinstance(answer, effects.Rejected) and answer.retry_after_ms > 0.0 for answer in answers
    )
    assert bench.keeper.rejected_requests == len(answers) == 11 - bench.state.settings.cores


def test_calls_go_by_turns_and_one_that_waits_goes_when_another_is_back(bench: Bench) -> None:
    for number in (1, 2):
        bench.ask(number)
    first = bench.take(events.CallRequested(f"{1:016x}", 1, b"q"))
    assert any(isinstance(effect, effects.StartCall) for effect in first)
    bench.keeper._return.database_slots = 0.5  # one at a time
    second = bench.take(events.CallRequested(f"{2:016x}", 2, b"q"))
    assert not any(isinstance(effect, effects.StartCall) for effect in second) and not bench.carried
    bench.take(events.CallCompleted(f"{1:016x}", events.Outcome.SUCCESS, 10.0, b"r"))
    for _ in range(200):  # its token takes some milliseconds
        bench.loop.run_once(0.005)
        if bench.carried:
            break
    assert [effect.attempt_id for effect in bench.carried if isinstance(effect, effects.StartCall)] == [
        f"{2:016x}"
    ]


def test_a_process_whose_name_another_has_takes_itself_off_the_list(bench: Bench) -> None:
    bench.keeper.handle_registry_answer(b"FLEET 1 3 1 0")
    assert bench.keeper.report_suffix() == "1 cold"
    bench.keeper.handle_registry_answer(b"FLEET 1 3 1 2")
    assert bench.posted[-1] == events.DrainRequested(True)


def test_a_roster_that_falls_silent_is_minded_and_its_last_counts_hold(bench: Bench) -> None:
    bench.keeper.handle_registry_answer(b"FLEET 1 5 3 0")
    before = bench.keeper._return.sharing_nodes
    bench.keeper._members.view = FleetView(1, 5, 3, bench.loop.clock.now() - SILENT_MS - 1.0)
    bench.keeper._silent = False
    until = bench.loop.clock.now() + 2500.0
    while bench.loop.clock.now() < until and not bench.keeper._silent:
        bench.loop.run_once(0.05)
    assert bench.keeper._silent and bench.keeper._return.sharing_nodes == before == 5
