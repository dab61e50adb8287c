"""The number of runs and the limits that it is compared with, for the log. Types only."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.open_requests import OpenRequests


@dataclass(frozen=True, slots=True)
class RunLoad:
    """The runs that a controller counts, and its limits on them, for the log."""

    running: int  # runs counted as on the cores
    indeterminate: int  # counted runs that the host has lost sight of
    excess_runs: float  # runs measured on the cores beyond the counted ones
    at_calls: int  # runs that wait for a downstream call
    limit: float  # run limit
    ceiling: float  # number of runs that the run limit never exceeds

    @classmethod
    def of(cls, open_requests: OpenRequests, limit: float, ceiling: float) -> RunLoad:
        """Return the present counts of runs, together with these limits."""
        cores = open_requests.cores
        at_calls = len(open_requests.call_table)
        return cls(cores.running, cores.indeterminate, cores.excess_runs, at_calls, limit, ceiling)

    def __str__(self) -> str:
        return (
            f"{self.running} runs counted on the cores, {self.indeterminate} of them indeterminate, "
            f"{self.excess_runs:.0f} more measured there, {self.at_calls} waiting for calls, "
            f"run limit {self.limit:.1f}, ceiling {self.ceiling:.1f}"
        )
