"""The states of a run and the transitions between them, as documented in :mod:`snowthread.core.run`.

The fixtures in ``conftest.py`` check the transitions in every test of this package: one that the documented
table lacks raises :class:`IllegalRunTransitionError`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import product

import pytest
from support.core_events import confirm_commands, connect, make_request, run_of
from support.exchange import START
from support.run_transitions import RUN_TRANSITIONS, IllegalRunTransitionError

from snowthread.admission.settings import Outcome
from snowthread.core import effects, events, run
from snowthread.core.reducer import reduce
from snowthread.core.run import Run, RunState
from snowthread.core.runtime_resync import sync_tag
from snowthread.core.state import NodeState

ATTEMPT = f"{1:016x}"
NO_RUN = None
QUEUED = RunState.START_QUEUED
SENT = RunState.START_SENT
STARTED = RunState.STARTED
START_INDETERMINATE = RunState.START_INDETERMINATE
REPLY_INDETERMINATE = RunState.REPLY_INDETERMINATE


def documented_transitions() -> dict[str, set[str]]:
    """Return the states in the table of the docstring, each with the states that may follow it."""
    rows: dict[str, set[str]] = {}
    for line in (run.__doc__ or "").splitlines():
        columns = [column.strip() for column in line.split("  ") if column.strip()]
        if len(columns) == 3 and columns[0] != "state" and not columns[0].startswith("="):
            rows.setdefault(columns[0], set()).add(columns[2].split(",")[0])
    return rows


def test_the_documented_table_has_exactly_the_legal_transitions() -> None:
    legal = {
        "(none)" if before is None else before.name: {after.name for after in following}
        for before, following in RUN_TRANSITIONS.items()
    }
    assert documented_transitions() == legal


@pytest.mark.parametrize(("before", "after"), list(product(RunState, RunState)))
def test_a_transition_that_the_table_lacks_is_an_error(before: RunState, after: RunState) -> None:
    new_run = Run()
    for state in _shortest_path(before):
        new_run.state = state
    if after in RUN_TRANSITIONS[before]:
        new_run.state = after
        assert new_run.state is after
    else:
        with pytest.raises(IllegalRunTransitionError):
            new_run.state = after
        assert new_run.state is before


def _shortest_path(target: RunState) -> list[RunState]:
    """Return the states after START_QUEUED on the shortest legal path to the target."""
    paths: dict[RunState, list[RunState]] = {RunState.START_QUEUED: []}
    pending = [RunState.START_QUEUED]
    while target not in paths:
        state = pending.pop(0)
        for following in sorted(RUN_TRANSITIONS[state], key=lambda s: s.value):
            if following not in paths:
                paths[following] = [*paths[state], following]
                pending.append(following)
    return paths[target]


def break_with_all_unsent(state: NodeState, now_ms: float) -> None:
    reduce(state, events.RuntimeDisconnected((effects.StartRun(ATTEMPT, "keyed", b"p"),)), now_ms)


STEPS: dict[str, Callable[[NodeState, float], object]] = {
    "link ready": connect,
    "link broken": lambda state, now_ms: reduce(state, events.RuntimeDisconnected(), now_ms),
    "link broken, start unsent": break_with_all_unsent,
    "commands confirmed": confirm_commands,
    "resynchronised": lambda state, now_ms: reduce(
        state, events.LoadSampleReceived(sync_tag(state.link_number), ()), now_ms
    ),
    "call requested": lambda state, now_ms: reduce(state, events.CallRequested(ATTEMPT, 7, b"c"), now_ms),
    "reply received": lambda state, now_ms: reduce(
        state, events.CallCompleted(ATTEMPT, Outcome.SUCCESS, 1.0, b"r"), now_ms
    ),
    "request cancelled": lambda state, now_ms: reduce(state, events.RequestCancelled((1, 1)), now_ms),
    "succeeded": lambda state, now_ms: reduce(
        state, events.RunCompleted(ATTEMPT, Outcome.SUCCESS, 1.0, b"r"), now_ms
    ),
    "run cancelled by the runtime": lambda state, now_ms: reduce(
        state, events.RunCompleted(ATTEMPT, Outcome.CANCELLED, 1.0, b""), now_ms
    ),
    "start rejected": lambda state, now_ms: reduce(state, events.CommandRejected(ATTEMPT, True), now_ms),
}

Scenario = list[tuple[str, RunState | None]]

SCENARIOS = [
    pytest.param("keyed", [("succeeded", NO_RUN)], id="ends before anything confirms its start"),
    pytest.param("keyed", [("start rejected", NO_RUN)], id="start rejected"),
    pytest.param(
        "keyed", [("call requested", STARTED), ("succeeded", NO_RUN)], id="a call confirms the start"
    ),
    pytest.param(
        "keyed",
        [
            ("commands confirmed", SENT),
            ("link broken", STARTED),
            ("link ready", STARTED),
            ("resynchronised", STARTED),
        ],
        id="a start that was confirmed before the link broke",
    ),
    pytest.param(
        "keyed",
        [("link broken, start unsent", QUEUED), ("link ready", SENT), ("resynchronised", SENT)],
        id="a start of which nothing was written",
    ),
    pytest.param(
        "keyed",
        [("link broken, start unsent", QUEUED), ("request cancelled", NO_RUN)],
        id="request cancelled while the start is queued",
    ),
    pytest.param(
        "idempotent",
        [("link broken", SENT), ("link ready", SENT), ("resynchronised", SENT)],
        id="an idempotent start that may be lost",
    ),
    pytest.param(
        "keyed",
        [
            ("link broken", SENT),
            ("link ready", SENT),
            ("resynchronised", START_INDETERMINATE),
            ("link broken", START_INDETERMINATE),
            ("link ready", START_INDETERMINATE),
            ("resynchronised", START_INDETERMINATE),
            ("call requested", STARTED),
            ("succeeded", NO_RUN),
        ],
        id="a keyed start that may be lost, until a notice comes",
    ),
    pytest.param(
        "keyed",
        [
            ("link broken", SENT),
            ("link ready", SENT),
            ("resynchronised", START_INDETERMINATE),
            ("succeeded", NO_RUN),
        ],
        id="a keyed start that may be lost, until its end",
    ),
    pytest.param(
        "non-idempotent",
        [
            ("link broken", SENT),
            ("link ready", SENT),
            ("call requested", STARTED),
            ("resynchronised", STARTED),
        ],
        id="a notice missed on the old link",
    ),
    pytest.param(
        "keyed",
        [
            ("call requested", STARTED),
            ("reply received", STARTED),
            ("link broken", STARTED),
            ("link ready", STARTED),
            ("resynchronised", REPLY_INDETERMINATE),
            ("call requested", STARTED),
        ],
        id="a reply that may be lost, until the next call",
    ),
    pytest.param(
        "idempotent",
        [
            ("call requested", STARTED),
            ("reply received", STARTED),
            ("link broken", STARTED),
            ("link ready", STARTED),
            ("resynchronised", REPLY_INDETERMINATE),
            ("run cancelled by the runtime", SENT),
        ],
        id="cancelled by the runtime without a stop: the request is run again",
    ),
    pytest.param(
        "keyed",
        [
            ("request cancelled", SENT),
            ("link broken", SENT),
            ("link ready", SENT),
            ("resynchronised", SENT),
            ("commands confirmed", NO_RUN),
        ],
        id="a stop read on the new link proves that the start was lost",
    ),
    pytest.param(
        "keyed",
        [
            ("call requested", STARTED),
            ("request cancelled", STARTED),
            ("link broken", STARTED),
            ("link ready", STARTED),
            ("resynchronised", STARTED),
            ("commands confirmed", STARTED),
            ("run cancelled by the runtime", NO_RUN),
        ],
        id="a started run continues until the runtime reports its end",
    ),
]


@pytest.mark.parametrize(("class_name", "scenario"), SCENARIOS)
def test_the_states_of_a_run(state: NodeState, class_name: str, scenario: Scenario) -> None:
    connect(state, START)
    reduce(state, make_request(1, class_name, START), START)
    request = state.requests_by_attempt_id[ATTEMPT]
    assert run_of(request).state is SENT
    for number, (step, expected) in enumerate(scenario, start=1):
        STEPS[step](state, START + number)
        assert (request.run.state if request.run is not None else NO_RUN) is expected, step


def test_a_run_started_while_there_is_no_link_waits_for_one(state: NodeState) -> None:
    reduce(state, make_request(1, "keyed", START), START)
    request = state.requests_by_attempt_id[ATTEMPT]
    assert run_of(request).state is QUEUED
    connect(state, START)
    assert run_of(request).state is SENT


class RandomRuntime:
    """Passes random events to a reducer, as a runtime on unreliable links may cause them.

    It also carries out the effects that the reducer returns.
    """

    def __init__(self, state: NodeState, seed: int) -> None:
        self.state = state
        self.visited: set[RunState] = set()
        self._random = random.Random(seed)
        self._now_ms = START
        self._requests = 0
        self._notices = 0
        self._is_linked = False
        # Commands that were sent on the current link and not read by the runtime yet.
        self._sent: list[effects.Command | effects.RequestLoadSample] = []
        self._runs: set[str] = set()  # attempt ids of the runs whose start the runtime has read
        self._calls: set[str] = set()  # attempt ids of the downstream calls in flight
        self._timers: list[effects.ScheduleTimer] = []

    def step(self) -> None:
        """Pass the timers that are due and then one random event to the reducer."""
        self._now_ms += self._random.choice((0.0, 1.0, 10.0, 50.0))
        due = [timer for timer in self._timers if timer.at_ms <= self._now_ms]
        self._timers = [timer for timer in self._timers if timer.at_ms > self._now_ms]
        for timer in due:
            self._post(timer.event)
        action = self._random.choice(
            (
                self._request,
                self._read,
                self._read,
                self._read,
                self._notify,
                self._notify,
                self._answer_call,
                self._answer_call,
                self._cancel,
                self._change_link,
            )
        )
        action()

    def _post(self, event: events.Event) -> None:
        for effect in reduce(self.state, event, self._now_ms):
            match effect:
                case (
                    effects.StartRun()
                    | effects.StopRun()
                    | effects.DeliverReply()
                    | effects.SkipCall()
                    | effects.RequestLoadSample()
                ):
                    self._sent.append(effect)
                case effects.StartCall():
                    self._calls.add(effect.attempt_id)
                case effects.CancelCall():
                    self._calls.discard(effect.attempt_id)
                case effects.ScheduleTimer():
                    self._timers.append(effect)
        self.visited |= {request.run.state for request in self.state.requests.values() if request.run}

    def _request(self) -> None:
        self._requests += 1
        class_name = self._random.choice(("idempotent", "keyed", "non-idempotent"))
        self._post(make_request(self._requests, class_name, self._now_ms))

    def _cancel(self) -> None:
        addresses = sorted(self.state.requests_by_response_address)
        if addresses and self._random.random() < 0.3:
            self._post(events.RequestCancelled(self._random.choice(addresses)))

    def _read(self) -> None:
        """Let the runtime read the next command and react to it."""
        if not self._is_linked or not self._sent:
            return
        command = self._sent.pop(0)
        match command:
            case effects.StartRun():
                self._runs.add(command.attempt_id)
            case effects.StopRun() if command.attempt_id in self._runs:
                self._end(command.attempt_id, Outcome.CANCELLED)
            case effects.RequestLoadSample():
                self._post(events.LoadSampleReceived(command.tag, ()))

    def _notify(self) -> None:
        """Report the end of a random run, or request a downstream call for it."""
        if not self._is_linked or not self._runs:
            return
        attempt_id = self._random.choice(sorted(self._runs))
        if self._random.random() < 0.3:
            self._end(attempt_id, Outcome.SUCCESS)
        elif attempt_id not in self._calls:
            self._notices += 1
            self._post(events.CallRequested(attempt_id, self._notices, b"c"))

    def _end(self, attempt_id: str, outcome: Outcome) -> None:
        self._runs.discard(attempt_id)
        self._post(events.RunCompleted(attempt_id, outcome, 10.0, b"r"))

    def _answer_call(self) -> None:
        if self._calls:
            attempt_id = self._random.choice(sorted(self._calls))
            self._calls.discard(attempt_id)
            outcome = self._random.choice((Outcome.SUCCESS, Outcome.SUCCESS, Outcome.FAILURE))
            self._post(events.CallCompleted(attempt_id, outcome, 5.0, b"r"))

    def _change_link(self) -> None:
        """Accept a new link, or break the present one with some commands lost and others unsent."""
        if not self._is_linked:
            self._is_linked = True
            connected = events.RuntimeConnected(starts_cold=False, runtime_age_ms=0.0)
            self._post(connected)
        elif self._random.random() < 0.5:
            self._is_linked = False
            unread = self._sent
            self._sent = []
            first_unsent = self._random.randint(0, len(unread))
            self._post(events.RuntimeDisconnected(tuple(unread[first_unsent:])))


def test_no_event_causes_a_transition_that_the_table_lacks(
    state: NodeState, state_without_preemption: NodeState
) -> None:
    visited: set[RunState] = set()
    for seed, each_state in enumerate((state, state_without_preemption)):
        runtime = RandomRuntime(each_state, seed)
        for _ in range(4000):
            runtime.step()
        visited |= runtime.visited
    assert visited == set(RunState)
