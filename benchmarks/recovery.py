"""Measure the time to full service after a mass restart, with recovery and without it.

Four of five nodes are killed at once and are back within a second, under load at 90 % of the fleet's
capacity. Plays of the fleet lab, several at a time. Variants: state kept; all state folders wiped; half of
them torn; snapshots of an older generation of the fleet; the database slow by five times while the nodes
recover; two nodes killed once more while they warm up; the registry cut off from half of the nodes.
``--short`` plays ``kept`` and ``slow`` with one seed. Where service is not back in a play, its whole length
after the fault counts. ``cost`` is the processor time of the nodes a request on a calm day, with recovery
over without. ``stolen`` is the share of the machine's time that its host gave to others meanwhile: with much
of it, times of plays say little.

    .venv/bin/python -m benchmarks.recovery [--seed N] [--short]
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
MAX_RATIO = 0.5  # of the time to full service with recovery to that without
MAX_DATABASE_PEAK = 1.0  # over its capacity
MAX_COST = 1.1
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
SECONDS, SECONDS_SHORT = 40, 24
CALM, CALM_SECONDS = "calm", 24
MAX_CONCURRENT_PLAYS = 6
PLAY_OVERHEAD_S = 120  # that a play may take beyond its length
LAB_CORES = 3
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
    fields = [int(word) for word in Path("/proc/stat").read_text().split("\n")[0].split()[1:9]]
    return MachineTime(sum(fields), fields[7])


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
    """Run plays at the same time; return their summaries, in order."""
    running = [(play, start_play(folder, play, seconds)) for play in plays]
    summaries = []
    for play, process in running:
        _, errors = process.communicate(timeout=seconds + PLAY_OVERHEAD_S)
        if process.returncode:
            raise RuntimeError(f"{play.name}: {errors[-2000:]}")
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
    return float(1000.0 * used_s / summary["asked"])


def mean_cost_ms(summaries: list[Summary]) -> float:
    """Return the mean of the plays' costs."""
    return sum(map(cost_ms, summaries)) / len(summaries)


def compare(baseline: list[Summary], recovery: list[Summary], longest_s: float) -> dict[str, Any]:
    """Return the figures of a variant without and with recovery, and the ratio of their times."""
    without, with_recovery = figures(baseline, longest_s), figures(recovery, longest_s)
    baseline_s = without["time_to_full_s"]["median"]
    ratio = round(with_recovery["time_to_full_s"]["median"] / max(0.1, baseline_s), 3)
    return {"baseline": without, "comeback": with_recovery, "ratio": ratio}


def missed_objectives(variant: str, compared: dict[str, Any]) -> list[str]:
    """Return the names of a variant's figures that miss their objective."""
    recovery = compared["comeback"]
    missed = [f"{variant}: {figure}" for figure in MUST_BE_ZERO if recovery[figure]]
    if compared["ratio"] > MAX_RATIO:
        missed.append(f"{variant}: ratio")
    if recovery["database_peak_over_capacity"] > MAX_DATABASE_PEAK:
        missed.append(f"{variant}: database")
    return missed


def main() -> int:
    """Run all plays, print one JSON object; return 1 where an objective is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    seconds = SECONDS_SHORT if options.short else SECONDS
    seeds = [options.seed] if options.short else [options.seed, options.seed + 1]
    variants = SHORT_VARIANTS if options.short else tuple(VARIANTS)
    plays = [
        Play(variant, seed, recovers)
        for variant in (*variants, CALM)
        for seed in seeds
        for recovers in (False, True)
    ]
    before, began = read_machine_time(), time.monotonic()
    results = run_all(plays, seconds, len(plays) if options.short else MAX_CONCURRENT_PLAYS)
    stolen = read_machine_time().stolen_share_since(before)
    costs_ms = [mean_cost_ms(results[CALM, recovers]) for recovers in (False, True)]
    cost = round(costs_ms[1] / costs_ms[0], 3)
    longest_s = float(seconds - FAULT_S)
    compared = {name: compare(results[name, False], results[name, True], longest_s) for name in variants}
    missed = ["cost"] if cost > MAX_COST else []
    for name in variants:
        missed += missed_objectives(name, compared[name])
    result = {
        "seeds": seeds,
        "cost_ms": [round(value, 3) for value in costs_ms],
        "cost": cost,
        "stolen": round(stolen, 3),
        "variants": compared,
        "took_s": round(time.monotonic() - began, 1),
        "missed": missed,
    }
    print(json.dumps(result))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
