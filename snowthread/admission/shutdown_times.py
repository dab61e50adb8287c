"""The times of a graceful shutdown: those of its notice and of the end of the process."""

import math

from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.events import ShutdownNotice
from snowthread.admission.request import RequestRecord

# Seconds before the end of the process at which all requests are answered, so that the answers arrive.
ANSWER_ALL_MARGIN_S = 0.3


class ShutdownTimes:
    """Says what may still start during a shutdown, and when every open request has to be answered."""

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self._noticed_at = math.inf
        self._exit_at = math.inf

    @property
    def has_begun(self) -> bool:
        """True from the shutdown notice on."""
        return self._exit_at < math.inf

    def begin(self, now: float, event: ShutdownNotice) -> None:
        """Record the notice and schedule the time at which every open request is answered."""
        self._noticed_at = min(self._noticed_at, now - event.received_ago_s)
        self._exit_at = now + event.time_left_s
        self._state.deadlines.add(max(now, self._exit_at - ANSWER_ALL_MARGIN_S))

    def must_answer_all(self, now: float) -> bool:
        """Return whether the end of the process is so near that every open request is answered now."""
        return now >= self._exit_at - ANSWER_ALL_MARGIN_S

    def forbids_start(self, now: float, request: RequestRecord) -> bool:
        """Return whether a request must not start any more.

        That is so if it arrived after the shutdown grace period, or if everything has to be answered
        now.
        """
        is_late = request.arrived_at > self._noticed_at + self._state.settings.drain_grace_s
        return is_late or self.must_answer_all(now)
