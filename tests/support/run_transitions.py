"""The legal transitions of a run's state, and a check of them for tests of the core."""

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
"""By state (None: before the run began), the states that may follow; the table of ``snowthread.core.run``."""


class IllegalRunTransitionError(AssertionError):
    """A run went from one state to another that may not follow it."""

    def __init__(self, before: RunState | None, after: RunState) -> None:
        super().__init__(f"from {before} to {after}")
        self.before = before
        self.after = after


class CheckedRunState:
    """Stands in for the field ``state`` of :class:`Run` and raises at an illegal transition."""

    def __init__(self, field: Any) -> None:
        self._field = field  # the descriptor of the slot

    def __get__(self, run: Run | None, owner: type[Run] | None = None) -> Any:
        return self if run is None else self._field.__get__(run, owner)

    def __set__(self, run: Run, after: RunState) -> None:
        try:
            before = self._field.__get__(run, type(run))
        except AttributeError:  # the run is being made
            before = None
        if after not in RUN_TRANSITIONS[before]:
            raise IllegalRunTransitionError(before, after)
        self._field.__set__(run, after)
