"""The legal transitions between the states of a run, and a checked attribute that enforces them in tests."""

from __future__ import annotations

from typing import Any

from snowthread.core.run import Run, RunState

RUN_TRANSITIONS: dict[RunState | None, set[RunState]] = {
    None: {RunState.START_QUEUED},
    RunState.START_QUEUED: {RunState.START_SENT},
    RunState.START_SENT: {
        RunState.START_QUEUED,
        RunState.START_SENT,
        RunState.STARTED,
        RunState.START_INDETERMINATE,
    },
    RunState.STARTED: {RunState.STARTED, RunState.REPLY_INDETERMINATE},
    RunState.START_INDETERMINATE: {RunState.STARTED},
    RunState.REPLY_INDETERMINATE: {RunState.STARTED},
}
"""The states that may follow each state, as in ``snowthread.core.run``; None: the run does not exist yet."""


class IllegalRunTransitionError(AssertionError):
    """The state of a run was set to one that must not follow the state before."""

    def __init__(self, before: RunState | None, after: RunState) -> None:
        super().__init__(f"illegal transition of a run from {before} to {after}")
        self.before = before
        self.after = after


class CheckedRunState:
    """Replaces the attribute ``state`` of :class:`Run` and raises an error at an illegal transition."""

    def __init__(self, field: Any) -> None:
        self._field = field  # the descriptor of the slot that stores the state

    def __get__(self, run: Run | None, owner: type[Run] | None = None) -> Any:
        return self if run is None else self._field.__get__(run, owner)

    def __set__(self, run: Run, after: RunState) -> None:
        try:
            before = self._field.__get__(run, type(run))
        except AttributeError:  # the run is being created, so the slot is empty
            before = None
        if after not in RUN_TRANSITIONS[before]:
            raise IllegalRunTransitionError(before, after)
        self._field.__set__(run, after)
