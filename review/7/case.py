"""A balancer goes silent within a message while a request and its repeat are open on that connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "second"))

from standins import TROUBLE, Balancer, Case, CaseNotRunError, Index, Roster, Run, Runtime, free_port, play

LONG_RUN_MS = 4200.0
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def work(run: Run) -> tuple[float, int]:
    """Return the work of a run: a ``match`` keeps a core for long, a ``dispense`` does not."""
    return (LONG_RUN_MS if run.lane == "match" else 150.0), 0


async def scene(case: Case) -> None:
    """Fill both cores, send a request and its repeat, then stop within a message.

    Raises:
        CaseNotRunError: the process was not ready.
    """
    platform = case.platform
    runtime, index, roster = Runtime(platform, work), Index(platform), Roster(platform)
    for part in (runtime, index, roster):
        await part.listen()
    port = free_port()
    node = case.start("process-1", case.config(runtime, index, roster, port))
    if not await node.ready(30.0):
        raise CaseNotRunError("the process was not ready")
    others, balancer = Balancer(platform, port, 1), Balancer(platform, port, 2)
    busy = [await others.send("match", b"slow %d" % number, wait_ms=8000.0) for number in range(2)]
    await asyncio.sleep(0.3)
    link = await balancer.connect()
    first = await balancer.send("dispense", b"a warm grey", KEY, 5000.0, link)
    await asyncio.sleep(0.3)
    repeat = await balancer.send("dispense", b"a warm grey", KEY, 5000.0, link)
    await asyncio.sleep(0.2)
    if TROUBLE:
        unfinished, data = balancer.prepare(link, "recalc", b"a cold grey", None, 5000.0)
        del link.open[unfinished.number], platform.tries[unfinished.uid]
        link.writer.write(data[: len(data) // 2])
        platform.record.line("the balancer goes silent within a message")
    await asyncio.gather(*(asyncio.wait_for(made.ended.wait(), 10.0) for made in (first, repeat, *busy)))
    await asyncio.sleep(1.0)
    for name, made in (("first", first), ("repeat", repeat)):
        if len(made.answers) != 1:
            platform.fault(f"{name} {made.uid} got {len(made.answers)} answers")


play(Path(__file__).resolve().parent, scene)
