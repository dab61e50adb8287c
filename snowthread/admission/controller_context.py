"""What every rule of a controller shares: settings, open requests, estimates, deadlines, draws."""

import random

from snowthread.admission.estimators import Estimates
from snowthread.admission.open_requests import OpenRequests
from snowthread.admission.settings import Settings
from snowthread.admission.timer_queue import TimerQueue


class ControllerContext:
    """What the parts of a controller's ``State`` take, so that they need not import it. Times are seconds."""

    def __init__(self, settings: Settings, seed: int, deadlines: TimerQueue) -> None:
        self.started_at = 0.0
        self.estimates = Estimates(settings)
        self.open_requests = OpenRequests(settings)
        self.deadlines = deadlines
        self.generator = random.Random(seed)
        self.use_settings(settings)

    def use_settings(self, settings: Settings) -> None:
        """Use these settings for decisions from now on; what is open and learned is left as it is."""
        self.settings = settings
        self.class_index = {c.name: index for index, c in enumerate(settings.classes)}

    def age_s(self, now: float) -> float:
        """Return how long ago the node started, in seconds."""
        return now - self.started_at
