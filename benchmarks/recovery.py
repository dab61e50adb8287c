"""Measure the time to full service after a mass restart, with recovery and without it.

Four of five nodes are killed at once and restarted within a second, under a load of 90 % of the fleet's
capacity. The benchmark runs the fleet lab, several runs at a time, in these variants:

- ``kept``: the state folders of the nodes are intact;
- ``wiped``: the state folders of the killed nodes are emptied;
- ``torn``: the files in the state folders of two nodes are truncated;
- ``older``: the snapshots are of an older generation of the fleet;
- ``slow``: the database takes five times as long while the nodes recover;
- ``twice``: two nodes are killed again while they warm up;
- ``partition``: two nodes cannot reach the registry for some seconds.

``--short`` runs ``kept`` and ``slow`` with one seed. If a run does not reach full service, its duration after
the fault counts as the time. ``cost`` is the ratio of the nodes' CPU time per request with recovery to that
without it, in runs without faults. ``stolen`` is the share of the machine's time that its hypervisor gave to
other machines (steal time); if it is high, the measured times are not reliable.

    .venv/bin/python -m benchmarks.recovery [--seed N] [--short]
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.command import run_benchmark
from benchmarks.programs import ROOT

MAX_TIME_RATIO = 0.5  # Maximum ratio of the time to full service with recovery to that without.
MAX_DATABASE_PEAK_RATIO = 1.0  # Maximum ratio of the database's peak calls to its capacity.
MAX_COST_RATIO = 1.1  # Maximum ratio of the CPU time per request with recovery to that without.
MIN_TIME_S = 0.1  # Shorter times to full service without recovery count as this in a ratio.
MS_PER_S = 1000.0
# Position of the steal time in the first line of /proc/stat; later fields are parts of earlier ones.
STEAL_FIELD = 8
MUST_BE_ZERO = (
    "second_dips",
    "stale_decisions",
    "keyed_runs_doubled",
    "lost",
    "answered_twice",
    "spoilt",
    "late",
    "falls",
)
FAULT_S = 5
SECONDS = 40
SECONDS_SHORT = 24
NO_FAULTS = "calm"  # Variant without faults, which measures the cost of recovery.
NO_FAULTS_SECONDS = 24
MAX_CONCURRENT_RUNS = 6
RUN_OVERHEAD_S = 120  # Time in s that a run may take beyond its scenario's duration.
LAB_CORES = 3
ERROR_CHARACTERS_MAX = 2000
KILL = {"at": "5s", "do": "kill", "share": 0.8, "again_after": "800ms"}
VARIANTS: dict[str, list[dict[str, Any]]] = {
    "kept": [KILL],
    "wiped": [KILL, {"at": "5s", "do": "wipe", "share": 0.8}],
    "torn": [KILL, {"at": "5s", "do": "tear", "share": 0.4}],
    "older": [KILL, {"at": "5s", "do": "generation"}],
    "slow": [KILL, {"at": "5500ms", "do": "slow", "factor": 5, "for": "5s"}],
    "twice": [KILL, {"at": "8s", "do": "kill", "share": 0.4, "again_after": "800ms"}],
    "partition": [KILL, {"at": "5s", "do": "partition", "link": "roster", "share": 0.4, "for": "6s"}],
}
SHORT_VARIANTS = ("kept", "slow")

Summary = dict[str, Any]
"""The content of the lab's ``summary.json``."""


@dataclass(frozen=True, slots=True)
class LabRun:
    """A run of the lab: its variant, its seed, and whether the nodes recover or just start."""

    variant: str
    seed: int
    recovers: bool

    @property
    def name(self) -> str:
        """The base name of the run's files."""
        return f"{self.variant}-{self.seed}-{'comeback' if self.recovers else 'baseline'}"


class LabRunError(RuntimeError):
    """A run of the lab exited with an error."""

    def __init__(self, lab_run: LabRun, errors: str) -> None:
        """Include the name of the run and the end of its standard error."""
        self.lab_run = lab_run
        self.errors = errors
        super().__init__(f"lab run {lab_run.name} failed: {errors}")


@dataclass(frozen=True, slots=True)
class MachineTime:
    """The machine's CPU time since its boot, and the steal time in it, in clock ticks."""

    total: int
    steal: int

    def steal_share_since(self, before: MachineTime) -> float:
        """Return the share of the CPU time since an earlier reading that was steal time."""
        return (self.steal - before.steal) / max(1, self.total - before.total)


def read_machine_time() -> MachineTime:
    """Read the machine's CPU time from ``/proc/stat``."""
    words = Path("/proc/stat").read_text().split("\n")[0].split()
    ticks = [int(word) for word in words[1 : STEAL_FIELD + 1]]
    return MachineTime(sum(ticks), ticks[-1])


def scenario_hcl(seed: int, seconds: int, recovers: bool, steps: list[dict[str, Any]]) -> str:
    """Return the HCL text of a lab scenario with these fault steps."""

    def block(step: dict[str, Any]) -> str:
        return "step {\n" + "".join(f"  {key} = {json.dumps(value)}\n" for key, value in step.items()) + "}\n"

    return (
        f'seed = {seed}\nnodes = 5\nduration = "{seconds}s"\ncomeback = {json.dumps(recovers)}\n'
        + "".join(map(block, steps))
    )


def start_lab_run(folder: Path, lab_run: LabRun, seconds: int) -> subprocess.Popen[str]:
    """Start a run of the lab; its files go to the subfolder with its name."""
    duration_s = NO_FAULTS_SECONDS if lab_run.variant == NO_FAULTS else seconds
    path = folder / f"{lab_run.name}.hcl"
    path.write_text(
        scenario_hcl(lab_run.seed, duration_s, lab_run.recovers, VARIANTS.get(lab_run.variant, []))
    )
    command = ["lab", "run", str(path), "-o", str(folder / lab_run.name), "--lab-cores", str(LAB_CORES)]
    return subprocess.Popen(
        [sys.executable, "-m", "snowthread", *command],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_concurrently(folder: Path, lab_runs: list[LabRun], seconds: int) -> list[Summary]:
    """Run the lab for each given run at the same time, and return the summaries in the same order.

    Raises:
        LabRunError: A run exited with an error.
    """
    running = [(lab_run, start_lab_run(folder, lab_run, seconds)) for lab_run in lab_runs]
    summaries = []
    for lab_run, process in running:
        _, errors = process.communicate(timeout=seconds + RUN_OVERHEAD_S)
        if process.returncode:
            raise LabRunError(lab_run, errors[-ERROR_CHARACTERS_MAX:])
        summaries.append(json.loads((folder / lab_run.name / "summary.json").read_text()))
    return summaries


def run_all(lab_runs: list[LabRun], seconds: int, concurrency: int) -> dict[tuple[str, bool], list[Summary]]:
    """Run the lab for all given runs, ``concurrency`` at a time.

    Return the summaries by variant and whether the nodes recover.
    """
    results: dict[tuple[str, bool], list[Summary]] = {}
    with tempfile.TemporaryDirectory(prefix="restart-") as folder:
        for first in range(0, len(lab_runs), concurrency):
            batch = lab_runs[first : first + concurrency]
            for lab_run, summary in zip(batch, run_concurrently(Path(folder), batch, seconds), strict=True):
                results.setdefault((lab_run.variant, lab_run.recovers), []).append(summary)
    return results


def aggregate(summaries: list[Summary], longest_s: float) -> dict[str, Any]:
    """Return medians of times and lost value over several runs, and the maximum of all other figures.

    ``longest_s`` counts as the time to full service of runs that did not reach it.
    """
    times_s = [
        summary["time_to_full_s"] if summary["time_to_full_s"] is not None else longest_s
        for summary in summaries
    ]
    out: dict[str, Any] = {
        "time_to_full_s": {"median": statistics.median(times_s), "worst": max(times_s)},
        "not_back": sum(summary["time_to_full_s"] is None for summary in summaries),
        "worth_lost": round(statistics.median(summary["worth_lost"] for summary in summaries), 1),
    }
    for name in ("database_peak_over_capacity", "database_held_over_limit", *MUST_BE_ZERO):
        out[name] = max(summary[name] for summary in summaries)
    return out


def cost_ms(summary: Summary) -> float:
    """Return the nodes' CPU time per request in ms."""
    used_s = sum(cpu_s for name, cpu_s in summary["cpu_s"].items() if name in summary["lives"])
    return float(MS_PER_S * used_s / summary["asked"])


def mean_cost_ms(summaries: list[Summary]) -> float:
    """Return the mean over several runs of the nodes' CPU time per request in ms."""
    return sum(map(cost_ms, summaries)) / len(summaries)


def compare(baseline: list[Summary], recovery: list[Summary], longest_s: float) -> dict[str, Any]:
    """Return the figures of a variant without and with recovery, and the ratio of their times."""
    without_recovery = aggregate(baseline, longest_s)
    with_recovery = aggregate(recovery, longest_s)
    baseline_s = without_recovery["time_to_full_s"]["median"]
    ratio = round(with_recovery["time_to_full_s"]["median"] / max(MIN_TIME_S, baseline_s), 3)
    return {"baseline": without_recovery, "comeback": with_recovery, "ratio": ratio}


def _missed_in_variant(variant: str, compared: dict[str, Any]) -> list[str]:
    """Return the names of a variant's figures that miss their objective."""
    recovery = compared["comeback"]
    missed = [f"{variant}: {figure}" for figure in MUST_BE_ZERO if recovery[figure]]
    if compared["ratio"] > MAX_TIME_RATIO:
        missed.append(f"{variant}: ratio")
    if recovery["database_peak_over_capacity"] > MAX_DATABASE_PEAK_RATIO:
        missed.append(f"{variant}: database")
    return missed


def measure(seed: int, short: bool) -> dict[str, Any]:
    """Run all variants and return the figures."""
    seconds = SECONDS_SHORT if short else SECONDS
    seeds = [seed] if short else [seed, seed + 1]
    variants = SHORT_VARIANTS if short else tuple(VARIANTS)
    lab_runs = [
        LabRun(variant, run_seed, recovers)
        for variant in (*variants, NO_FAULTS)
        for run_seed in seeds
        for recovers in (False, True)
    ]
    before = read_machine_time()
    started_at_s = time.monotonic()
    results = run_all(lab_runs, seconds, len(lab_runs) if short else MAX_CONCURRENT_RUNS)
    steal_share = read_machine_time().steal_share_since(before)
    costs_ms = [mean_cost_ms(results[NO_FAULTS, recovers]) for recovers in (False, True)]
    longest_s = float(seconds - FAULT_S)
    return {
        "seeds": seeds,
        "cost_ms": [round(value, 3) for value in costs_ms],
        "cost": round(costs_ms[1] / costs_ms[0], 3),
        "stolen": round(steal_share, 3),
        "variants": {
            name: compare(results[name, False], results[name, True], longest_s) for name in variants
        },
        "took_s": round(time.monotonic() - started_at_s, 1),
    }


def missed_objectives(measured: dict[str, Any]) -> list[str]:
    """Return the names of the figures that miss their objective."""
    missed = ["cost"] if measured["cost"] > MAX_COST_RATIO else []
    for variant, compared in measured["variants"].items():
        missed += _missed_in_variant(variant, compared)
    return missed


def main() -> int:
    """Run the benchmark and return its exit status."""
    return run_benchmark(__doc__, 1, measure, missed_objectives, short_help="two variants with one seed")


if __name__ == "__main__":
    sys.exit(main())
