"""Measure the time to full service after a mass restart, with recovery and without it.

Four of five nodes are killed at once and are back within a second, under load at 90 % of the fleet's
capacity. Plays of the fleet lab, several at a time. Variants: state still there; all state folders wiped;
half of them torn; snapshots of an older generation of the fleet; the database slow by five times while the
nodes recover; two nodes killed once more while they warm up; the registry cut off from half of the nodes.
``--short`` plays ``kept`` and ``slow`` with one seed. Where service is not back in a play, its length after
the fault counts. ``cost`` is the processor time of the nodes a request on a calm day, with recovery over
without. ``stolen`` is the share of the machine's time that its host gave to others meanwhile: with much
of it, times of plays say little.

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

MAX_TIME_RATIO = 0.5  # of the time to full service with recovery to that without
MAX_DATABASE_PEAK_RATIO = 1.0  # of its calls to its capacity
MAX_COST_RATIO = 1.1  # of the processor time a request with recovery to that without
MIN_TIME_S = 0.1  # to full service, in a ratio
MS_PER_S = 1000.0
STOLEN_FIELD = 8  # of the first line of /proc/stat, the last that counts
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
CALM = "calm"  # a play without faults
CALM_SECONDS = 24
MAX_CONCURRENT_PLAYS = 6
PLAY_OVERHEAD_S = 120  # that a play may take beyond its length
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
"""The lab's ``summary.json``."""


@dataclass(frozen=True, slots=True)
class Play:
    """One play of the lab: a variant, its seed, and whether the nodes recover or just start."""

    variant: str
    seed: int
    recovers: bool

    @property
    def name(self) -> str:
        """The name of its files."""
        return f"{self.variant}-{self.seed}-{'comeback' if self.recovers else 'baseline'}"


class PlayError(RuntimeError):
    """A play of the lab failed."""

    def __init__(self, play: Play, errors: str) -> None:
        """Name the play, and what it wrote to standard error."""
        self.play = play
        self.errors = errors
        super().__init__(f"{play.name}: {errors}")


@dataclass(frozen=True, slots=True)
class MachineTime:
    """The machine's processor time so far, in ticks, and what of it its host gave to others."""

    total: int
    stolen: int

    def stolen_share_since(self, before: MachineTime) -> float:
        """Return the share that was stolen between two readings."""
        return (self.stolen - before.stolen) / max(1, self.total - before.total)


def read_machine_time() -> MachineTime:
    """Read the machine's processor time."""
    words = Path("/proc/stat").read_text().split("\n")[0].split()
    ticks = [int(word) for word in words[1 : STOLEN_FIELD + 1]]
    return MachineTime(sum(ticks), ticks[-1])


def scenario(seed: int, seconds: int, recovers: bool, steps: list[dict[str, Any]]) -> str:
    """Return the HCL of a play."""

    def block(step: dict[str, Any]) -> str:
        return "step {\n" + "".join(f"  {key} = {json.dumps(value)}\n" for key, value in step.items()) + "}\n"

    return (
        f'seed = {seed}\nnodes = 5\nduration = "{seconds}s"\ncomeback = {json.dumps(recovers)}\n'
        + "".join(map(block, steps))
    )


def start_play(folder: Path, play: Play, seconds: int) -> subprocess.Popen[str]:
    """Start the lab on a play; its files go to ``folder / play.name``."""
    length = CALM_SECONDS if play.variant == CALM else seconds
    path = folder / f"{play.name}.hcl"
    path.write_text(scenario(play.seed, length, play.recovers, VARIANTS.get(play.variant, [])))
    command = ["lab", "run", str(path), "-o", str(folder / play.name), "--lab-cores", str(LAB_CORES)]
    return subprocess.Popen(
        [sys.executable, "-m", "snowthread", *command],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_concurrently(folder: Path, plays: list[Play], seconds: int) -> list[Summary]:
    """Run plays at the same time; return their summaries, in order.

    Raises:
        PlayError: A play failed.
    """
    running = [(play, start_play(folder, play, seconds)) for play in plays]
    summaries = []
    for play, process in running:
        _, errors = process.communicate(timeout=seconds + PLAY_OVERHEAD_S)
        if process.returncode:
            raise PlayError(play, errors[-ERROR_CHARACTERS_MAX:])
        summaries.append(json.loads((folder / play.name / "summary.json").read_text()))
    return summaries


def run_all(plays: list[Play], seconds: int, concurrency: int) -> dict[tuple[str, bool], list[Summary]]:
    """Run all plays, so many at a time; return their summaries by variant and whether they recover."""
    results: dict[tuple[str, bool], list[Summary]] = {}
    with tempfile.TemporaryDirectory(prefix="restart-") as folder:
        for first in range(0, len(plays), concurrency):
            batch = plays[first : first + concurrency]
            for play, summary in zip(batch, run_concurrently(Path(folder), batch, seconds), strict=True):
                results.setdefault((play.variant, play.recovers), []).append(summary)
    return results


def figures(summaries: list[Summary], longest_s: float) -> dict[str, Any]:
    """Return the figures of one side's plays; the worst of each."""
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
    """Return the nodes' processor time a request, in ms."""
    used_s = sum(took_s for name, took_s in summary["cpu_s"].items() if name in summary["lives"])
    return float(MS_PER_S * used_s / summary["asked"])


def mean_cost_ms(summaries: list[Summary]) -> float:
    """Return the mean of the plays' costs."""
    return sum(map(cost_ms, summaries)) / len(summaries)


def compare(baseline: list[Summary], recovery: list[Summary], longest_s: float) -> dict[str, Any]:
    """Return the figures of a variant without and with recovery, and the ratio of their times."""
    without = figures(baseline, longest_s)
    with_recovery = figures(recovery, longest_s)
    baseline_s = without["time_to_full_s"]["median"]
    ratio = round(with_recovery["time_to_full_s"]["median"] / max(MIN_TIME_S, baseline_s), 3)
    return {"baseline": without, "comeback": with_recovery, "ratio": ratio}


def _missed_of_variant(variant: str, compared: dict[str, Any]) -> list[str]:
    """Return the names of a variant's figures that miss their objective."""
    recovery = compared["comeback"]
    missed = [f"{variant}: {figure}" for figure in MUST_BE_ZERO if recovery[figure]]
    if compared["ratio"] > MAX_TIME_RATIO:
        missed.append(f"{variant}: ratio")
    if recovery["database_peak_over_capacity"] > MAX_DATABASE_PEAK_RATIO:
        missed.append(f"{variant}: database")
    return missed


def measure(seed: int, short: bool) -> dict[str, Any]:
    """Run all plays; return all figures."""
    seconds = SECONDS_SHORT if short else SECONDS
    seeds = [seed] if short else [seed, seed + 1]
    variants = SHORT_VARIANTS if short else tuple(VARIANTS)
    plays = [
        Play(variant, play_seed, recovers)
        for variant in (*variants, CALM)
        for play_seed in seeds
        for recovers in (False, True)
    ]
    before = read_machine_time()
    began_s = time.monotonic()
    results = run_all(plays, seconds, len(plays) if short else MAX_CONCURRENT_PLAYS)
    stolen = read_machine_time().stolen_share_since(before)
    costs_ms = [mean_cost_ms(results[CALM, recovers]) for recovers in (False, True)]
    longest_s = float(seconds - FAULT_S)
    return {
        "seeds": seeds,
        "cost_ms": [round(value, 3) for value in costs_ms],
        "cost": round(costs_ms[1] / costs_ms[0], 3),
        "stolen": round(stolen, 3),
        "variants": {
            name: compare(results[name, False], results[name, True], longest_s) for name in variants
        },
        "took_s": round(time.monotonic() - began_s, 1),
    }


def missed_objectives(measured: dict[str, Any]) -> list[str]:
    """Return the names of the figures that miss their objective."""
    missed = ["cost"] if measured["cost"] > MAX_COST_RATIO else []
    for variant, compared in measured["variants"].items():
        missed += _missed_of_variant(variant, compared)
    return missed


def main() -> int:
    """Run the benchmark and return its status."""
    return run_benchmark(__doc__, 1, measure, missed_objectives, short_help="two variants with one seed")


if __name__ == "__main__":
    sys.exit(main())
