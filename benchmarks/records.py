"""Records: what they cost a node, and how fast and in how much memory they are read back.

    python benchmarks/records.py [--seed N] [--short]

Cost is paired: the same load against a node with records and one without, turn by turn. Aims: under 3 %
more CPU a request (10 % in the short form, whose one pair tells little), and a merge in memory that does
not grow with the number of records. Ends with one JSON object; status 1 where an aim is missed.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import tempfile
import time
import tracemalloc
from contextlib import ExitStack
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks import rig
from snowthread.records.frame import encode
from snowthread.records.model import Record
from snowthread.records.reader import Findings, merge
from snowthread.records.writer import SUFFIX

SOURCES = [f"127.0.{n}.9" for n in range(5)]


def node(stack: ExitStack, folder: Path, records: bool) -> tuple[Any, str]:
    config = rig.configuration(folder, 64)
    stack.enter_context(rig.process("-m", "emulators.site", str(config), "64", "1.0", ready="ready"))
    words = ["-m", "snowthread"]
    if records:
        file = folder / "records.hcl"
        file.write_text(f'records {{\n folder = "{folder}/kept"\n}}\n')
        words += ["serve", "--with", str(file)]
    made = stack.enter_context(
        rig.process(*words, ready="listens on", where="stderr", NODE_CONFIG=str(config))
    )
    return made, json.loads(config.read_text())["listen"]


def cost(rounds: int, per_s: float, seconds: float) -> dict[str, float]:
    """CPU a request without and with records (the writer's too), and bytes a request."""
    spent: dict[bool, list[float]] = {False: [], True: []}
    writer, sizes, asked = 0.0, 0, 0
    for n in range(rounds):
        for on in (False, True) if n % 2 else (True, False):
            with ExitStack() as stack:
                folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
                made, listen = node(stack, folder, on)
                load = rig.Load(listen, SOURCES)
                load.play(random.Random(100 + n), per_s, 0.5)  # the start is nobody's request
                before, children = rig.cpu_s(made.pid), rig.children(made.pid)
                first = len(load.asked)
                load.play(random.Random(n), per_s, seconds)
                count = len(load.asked) - first
                spent[on].append((rig.cpu_s(made.pid) - before) / count * 1e6)
                if on:
                    writer += sum(rig.cpu_s(pid) for pid in children)
                    sizes += sum(p.stat().st_size for p in (folder / "kept").glob(f"*{SUFFIX}"))
                    asked += len(load.asked)
                load.close()
    off, with_them = sum(spent[False]) / rounds, sum(spent[True]) / rounds
    return {
        "off_us": off,
        "on_us": with_them,
        "more_us": with_them - off,
        "ratio": with_them / off,
        "writer_us": writer / asked * 1e6,
        "bytes_per_request": sizes / asked,
    }


def nodes_seconds(node: int, seconds: int, rng: random.Random) -> list[Record]:
    begin = 1_800_000_000_000.0 + rng.uniform(0.0, 1000.0)
    rows = [
        [name, "", {"read": 40 + rng.randrange(9), "served": 38, "refused": 2, "runs": 38}]
        for name in ("match", "recalc", "dispense")
    ]
    return [
        Record(
            f"n{node}",
            f"{node:012x}",
            s + 1,
            begin + s * 1000.0,
            "second",
            {
                "ms": 1000.0,
                "totals": rows,
                "runs": {"match": [40, 300, 500, 640]},
                "b": 0.02,
                "limit": 12.0,
                "mu": 30.1,
                "lambda": 29.0,
                "held": 3,
                "running": 6,
                "calls_in_hand": 2,
                "keys": 90,
                "connections": 30,
                "memory_mb": 24.0,
                "gauges": {"core_use": 0.9},
                "floors": {"1": 2.0, "2": 2.2},
            },
        )
        for s in range(seconds)
    ]


def reading(nodes: int, seconds: int, rng: random.Random) -> dict[str, float]:
    """Records a second, and the most memory at once, of a merge over so many nodes' files."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for n in range(nodes):
            records = nodes_seconds(n, seconds, rng)
            for part in range(0, seconds, 1800):
                path = folder / f"n{n}-1-{n:012x}-{part // 1800 + 1:06d}{SUFFIX}"
                path.write_bytes(b"".join(encode(r) for r in records[part : part + 1800]))
        size = sum(p.stat().st_size for p in folder.iterdir())
        began, count, last, findings = time.perf_counter(), 0, 0.0, Findings()
        for record in merge([folder], findings):
            assert record.at >= last
            last, count = record.at, count + 1
        took = time.perf_counter() - began
        tracemalloc.start()
        for _ in merge([folder], Findings()):
            pass
        peak = tracemalloc.get_traced_memory()[1] / 2**20
        tracemalloc.stop()
    assert count == nodes * seconds and not findings.holes
    return {
        "nodes": nodes,
        "records": count,
        "records_per_s": count / took,
        "mb_per_s": size / took / 1e6,
        "peak_mb": peak,
        "bytes_per_record": size / count,
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true", help="ends within 45 s")
    options = parser.parse_args()
    short: bool = options.short
    rng = random.Random(options.seed)
    out: dict[str, Any] = {"seed": options.seed, "short": short}
    out["cost"] = cost(1 if short else 6, 600.0, 4.0 if short else 10.0)
    small, large = reading(20, 120, rng), reading(20, 600 if short else 3600, rng)
    out["reading"], out["memory_growth"] = large, large["peak_mb"] / small["peak_mb"]
    aims = {
        "under 3 % more CPU (10 % short)": out["cost"]["ratio"] <= (1.10 if short else 1.03),
        "memory of a merge does not grow": out["memory_growth"] <= 4.0,
    }
    out["missed"] = [aim for aim, kept in aims.items() if not kept]
    for name, value in out.items():
        print(f"{name}: {value}", file=sys.stderr)
    print(json.dumps(out))
    return 1 if out["missed"] else 0


if __name__ == "__main__":
    sys.exit(main())
