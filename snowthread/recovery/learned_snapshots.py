"""Restores the state learned by an earlier incarnation of the node, and saves what this one learns."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from snowthread.admission import learned_state
from snowthread.admission.controller import Controller
from snowthread.admission.learned_state import LearnedClassTimes, LearnedState, LearnedStateAging
from snowthread.core import events
from snowthread.core.state import NodeState
from snowthread.recovery import storage
from snowthread.recovery.membership import FleetView
from snowthread.recovery.settings import RecoverySettings
from snowthread.recovery.snapshot import LearnedTimes, Snapshot, SnapshotStatus, encode_snapshot
from snowthread.recovery.snapshot_assessment import SnapshotAssessment, assess_snapshot

# Limits for the speed of this machine, as a ratio to its speed when warm.
MIN_SPEED_RATIO = 0.01
MAX_SPEED_RATIO = 1.0


class SnapshotStore:
    """Restores the snapshot of the earlier incarnation, and writes snapshots of this one.

    Args:
        settings: Has the state folder and the maximum age of a snapshot.
        state: The node state with the controller whose learned state is saved.
        post: Posts an event to the reducer.
    """

    def __init__(
        self, settings: RecoverySettings, state: NodeState, post: Callable[[events.Event], None]
    ) -> None:
        """Read the snapshot file; it is assessed once the registry has reported the fleet's generation."""
        self._settings = settings
        self._state = state
        self._post = post
        self._stored_bytes = storage.read_state_file(settings.folder)
        self._aging = LearnedStateAging(LearnedState({}))
        self.assessment: SnapshotAssessment | None = None

    @property
    def restored_state(self) -> LearnedState:
        """The restored state; empty until :meth:`restore` has found a fresh snapshot."""
        return self._aging.restored

    def restore(self, generation: int, now_ms: float, is_cold: bool) -> None:
        """Assess the snapshot that was read at start, and restore it if it is fresh.

        Args:
            generation: The fleet's generation, as the registry reports it.
            now_ms: Current wall clock time in ms.
            is_cold: Whether the node is cold, that is, has not completed slow start. The machine of a cold
                node is assumed to run at the configured cold speed.
        """
        assessment = assess_snapshot(
            self._stored_bytes,
            generation=generation,
            now_ms=now_ms,
            max_age_ms=self._settings.snapshot_max_age_ms,
        )
        self.assessment = assessment
        self._stored_bytes = b""
        logger.bind(event="recovery.snapshot", verdict=assessment.status.value).info(
            "snapshot: {}{}{}",
            assessment.status.value,
            ": " if assessment.reason else "",
            assessment.reason,
        )
        if assessment.status is not SnapshotStatus.FRESH:
            return
        learned = _to_learned_state(assessment.initial_times)
        self._aging = LearnedStateAging(learned)
        speed = self._state.settings.cold_speed if is_cold else MAX_SPEED_RATIO
        self._post(events.LearnedStateRestored(learned, min(MAX_SPEED_RATIO, max(MIN_SPEED_RATIO, speed))))

    def age_estimates(self, controller: Controller, at_s: float) -> None:
        """Move unconfirmed run time estimates towards the restored ones, and replace those that are too old.

        Args:
            controller: The controller whose estimates are aged.
            at_s: Current time on the controller's clock, in seconds.
        """
        self._aging.update(controller, at_s)

    def write(self, view: FleetView, incarnation: int, now_ms: float) -> None:
        """Write a snapshot of what the controller has learned; does nothing before there is a controller."""
        controller = self._state.controller
        if controller is None:
            return
        learned = _to_learned_times(learned_state.export_learned_state(controller))
        data = encode_snapshot(Snapshot(view.generation, incarnation, now_ms, learned))
        storage.log_write_failure(storage.write_state_file(self._settings.folder, data, sync=False))


def _to_learned_state(learned: LearnedTimes) -> LearnedState:
    times = {
        name: LearnedClassTimes(
            core_time_s, learned.run_time_s.get(name, 0.0), learned.call_time_s.get(name, 0.0)
        )
        for name, core_time_s in learned.core_time_s.items()
    }
    return LearnedState(times, learned.requests_per_s)


def _to_learned_times(learned: LearnedState) -> LearnedTimes:
    return LearnedTimes(
        core_time_s={name: times.core_time_s for name, times in learned.times.items()},
        run_time_s={name: times.run_time_s for name, times in learned.times.items()},
        call_time_s={name: times.call_time_s for name, times in learned.times.items()},
        requests_per_s=learned.request_rate,
    )
