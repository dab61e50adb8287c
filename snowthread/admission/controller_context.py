"""The context of a controller: settings, open requests, estimates, deadlines and random draws."""

import random

from snowthread.admission.estimators import Estimates
from snowthread.admission.open_requests import OpenRequests
from snowthread.admission.settings import Settings
from snowthread.admission.timer_queue import TimerQueue


class ControllerContext:
    """The part of a controller's state that every rule uses.

    The members of ``ControllerState`` take it as their argument, so that they need not import
    ``ControllerState``. Points in time are seconds of the controller's clock.
    """

    def __init__(self, settings: Settings, seed: int, deadlines: TimerQueue) -> None:
        self.started_at = 0.0
        self.estimates = Estimates(settings)
        self.open_requests = OpenRequests(settings)
        self.deadlines = deadlines
        self.generator = random.Random(seed)
        self.use_settings(settings)

    def use_settings(self, settings: Settings) -> None:
        """Use new settings for decisions from now on; open requests and estimates are not changed."""
        self.settings = settings
        self.class_index = {c.name: index for index, c in enumerate(settings.classes)}

    def age_s(self, now: float) -> float:
        """Return how long ago the node started, in seconds."""
        return now - self.started_at
