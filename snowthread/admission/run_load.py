"""The count of runs and the limits that it is compared with, for the log. Types only."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.open_requests import OpenRequests


@dataclass(frozen=True, slots=True)
class RunLoad:
    """The runs that a controller counts, and its limits, for the log."""

    running: int
    indeterminate: int  # of those counted as running
    excess_runs: float  # measured on the cores, beyond the count
    at_calls: int
    limit: float
    ceiling: float

    @classmethod
    def of(cls, open_requests: OpenRequests, limit: float, ceiling: float) -> RunLoad:
        """Return the present counts, with these limits."""
        cores = open_requests.cores
        at_calls = len(open_requests.call_table)
        return cls(cores.running, cores.indeterminate, cores.excess_runs, at_calls, limit, ceiling)

    def __str__(self) -> str:
        return (
            f"{self.running} runs counted, {self.indeterminate} of them indeterminate, "
            f"{self.excess_runs:.0f} more measured, {self.at_calls} at calls, "
            f"limit {self.limit:.1f}, ceiling {self.ceiling:.1f}"
        )
