"""The observer counts what the reducer did, and leaves its effects unchanged."""

from __future__ import annotations

import json
import random
from pathlib import Path

from snowthread import config
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, NodeState
from snowthread.records.model import FIELD_DESCRIPTIONS, KINDS, RecordDraft, RecordKind, RequestCounts
from snowthread.records.observer import MAX_TENANT_ROWS, OTHER_TENANTS, Observer

START_MS = 1_800_000_000_000.0
ROOT = Path(__file__).parents[2]
SETTINGS = config.parse(json.loads((ROOT / "examples" / "node.json").read_bytes())).settings
ENDS = (
    "served",
    "late",
    "refused",
    "refused_held",
    "refused_leaving",
    "failed",
    "failed_running",
    "failed_calling",
    "left",
)  # each request that was read adds to exactly one of these counts


class ObservedReducer:
    """A reducer with an observer that is given each of its steps."""

    def __init__(self) -> None:
        self.now = START_MS
        self.state = NodeState(SETTINGS, 7, ("core_use",), AdmissionClock(START_MS))
        self.observer = Observer(SETTINGS, START_MS)
        self.drafts: list[RecordDraft] = []
        self.post(events.RuntimeConnected(False, 0.0))

    def post(self, event: events.Event) -> None:
        produced = reduce(self.state, event, self.now)
        self.drafts += self.observer.observe(event, produced, self.state, self.now)

    def request(
        self, number: int, class_name: str = "match", tenant: str = "", key: str | None = None
    ) -> str:
        """Receive a request and return its attempt id."""
        attempt_id = f"{number:016x}"
        arrived_at = self.now - 5.0
        address = (1, number)
        caller = number % 3
        self.post(
            events.RequestReceived(
                address,
                attempt_id,
                class_name,
                b"b",
                arrived_at,
                5000.0,
                caller,
                20.0,
                0.5,
                key,
                tenant=tenant,
            )
        )
        return attempt_id

    def complete(self, attempt_id: str, duration_ms: float, outcome: Outcome = Outcome.SUCCESS) -> None:
        """Let a run take so long and end."""
        self.now += duration_ms
        self.post(events.RunCompleted(attempt_id, outcome, duration_ms, b"r"))

    def take_counts(self) -> dict[tuple[str, str], dict[str, int]]:
        """Return the nonzero counts since the last call by class and tenant."""
        fields = self.observer.take_second_fields(self.state, self.now)
        return {(name, tenant): counts for name, tenant, counts in fields["totals"]}


def test_each_outcome_of_a_request_is_counted_under_its_name() -> None:
    reducer = ObservedReducer()
    reducer.complete(reducer.request(1, tenant="a"), 100.0)
    reducer.complete(reducer.request(2), 3300.0)  # past the latency objective of 3.2 s
    first = reducer.request(3, "dispense", key="k")
    reducer.request(4, "dispense", key="k")
    reducer.complete(first, 50.0)
    reducer.complete(reducer.request(5), 50.0, Outcome.FAILURE)
    calling = reducer.request(6, "dispense", key="k6")
    reducer.post(events.CallRequested(calling, 1, b""))
    reducer.complete(calling, 10.0, Outcome.FAILURE)
    reducer.request(7, "nonsense")
    cancelled = reducer.request(8)
    reducer.post(events.RequestCancelled((1, 8)))
    reducer.complete(cancelled, 10.0)
    assert reducer.take_counts() == {
        ("match", "a"): {"read": 1, "served": 1, "runs": 1},
        ("match", ""): {"read": 3, "late": 1, "failed_running": 1, "left": 1, "runs": 3},
        ("dispense", ""): {"read": 3, "served": 2, "attached": 1, "failed_calling": 1, "runs": 2},
        ("", ""): {"read": 1, "failed": 1},
    }
    assert len(reducer.observer) == 0 and reducer.take_counts() == {}


def test_rejections_are_counted_by_when_the_request_was_rejected() -> None:
    reducer = ObservedReducer()
    for number in range(1, 6):
        reducer.request(number)
    assert reducer.state.controller is not None
    reducer.state.controller.state.blocking.probability = 1.0
    for number in range(10, 40):
        reducer.request(number)
    counts = reducer.take_counts()["match", ""]
    assert counts["refused"] >= 20 and counts["read"] == 35
    reducer.post(events.ShutdownRequested(3000.0))
    reducer.now += 2900.0
    reducer.post(events.TimerExpired(2))
    assert reducer.take_counts()["match", ""].get("refused_leaving", 0) >= 1
    assert (RecordKind.DRAIN, {"left_ms": 3000.0}) in reducer.drafts
    assert (RecordKind.REGISTRATION, {"taking": False}) in reducer.drafts


def test_each_request_ends_exactly_once_in_any_sequence_of_events() -> None:
    generator = random.Random(4)
    reducer = ObservedReducer()
    sums = RequestCounts()
    running: list[str] = []
    for number in range(1, 600):
        reducer.now += generator.expovariate(1.0) * 20.0
        step = generator.random()
        if step < 0.6:
            class_name = generator.choice(["match", "recalc", "dispense", "odd"])
            running.append(reducer.request(number, class_name, key=f"k{generator.randrange(80)}"))
        elif step < 0.9 and running:
            attempt_id = running.pop(generator.randrange(len(running)))
            reducer.complete(attempt_id, 5.0, generator.choice([Outcome.SUCCESS, Outcome.FAILURE]))
        elif step < 0.95:
            reducer.post(events.RequestCancelled((1, generator.randrange(1, number + 1))))
        else:
            reducer.post(events.TimerExpired(generator.choice([1, 2])))
        for counts in reducer.take_counts().values():
            for name, value in counts.items():
                setattr(sums, name, getattr(sums, name) + value)
    ended = sum(getattr(sums, name) for name in ENDS)
    still_open = len(reducer.observer)
    assert sums.read == ended + still_open and sums.read > 300 and still_open < 120


def test_tenants_of_a_second_are_bounded_and_no_request_is_lost() -> None:
    reducer = ObservedReducer()
    for number in range(1, MAX_TENANT_ROWS + 100):
        reducer.request(number, tenant=f"t{number}")
    totals = reducer.take_counts()
    assert len(totals) == MAX_TENANT_ROWS + 1
    assert sum(counts["read"] for counts in totals.values()) == MAX_TENANT_ROWS + 99
    assert totals["match", OTHER_TENANTS]["read"] == 99


def test_durations_of_runs_and_calls_are_summarized() -> None:
    reducer = ObservedReducer()
    for number, duration_ms in enumerate((100.0, 200.0, 1000.0), 1):
        reducer.complete(reducer.request(number), duration_ms)
    reducer.post(events.CallCompleted("x", Outcome.TIMED_OUT, 80.0))
    fields = reducer.observer.take_second_fields(reducer.state, reducer.now)
    count, median, high, longest = fields["runs"]["match"]
    assert count == 3 and abs(median - 200) <= 4 and abs(high - 1000) <= 10 and abs(longest - 1000) <= 10
    assert fields["calls"]["timed_out"][0] == 1
    assert set(fields) <= set(FIELD_DESCRIPTIONS[RecordKind.SECOND])


def test_the_documentation_names_every_kind_and_field() -> None:
    page = (ROOT / "docs" / "records.md").read_text()
    assert set(FIELD_DESCRIPTIONS) == set(KINDS)
    for kind, fields in FIELD_DESCRIPTIONS.items():
        assert f"`{kind}`" in page
        assert all(f"`{name}`" in page for name in fields), kind
    assert all(f"`{name}`" in page for name in RequestCounts.NAMES)


def test_observing_leaves_the_effects_unchanged() -> None:
    plain = NodeState(SETTINGS, 7, (), AdmissionClock(START_MS))
    observed = ObservedReducer()
    observed.state.gauge_names = ()
    reduce(plain, events.RuntimeConnected(False, 0.0), START_MS)
    for number in range(1, 30):
        event = events.RequestReceived(
            (1, number), f"{number:016x}", "match", b"b", START_MS, 5000.0, 1, 20.0, 0.5
        )
        expected = reduce(plain, event, START_MS)
        produced = reduce(observed.state, event, START_MS)
        observed.observer.observe(event, produced, observed.state, START_MS)
        assert expected == produced
        assert all(isinstance(effect, effects.Effect) for effect in produced)
