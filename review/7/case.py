"""Replies of the index bring a second copy behind them, which is written a little later than the reply."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "second"))

from standins import (
    TROUBLE,
    Balancer,
    Case,
    CaseNotRunError,
    Index,
    IndexCall,
    Platform,
    Roster,
    Run,
    Runtime,
    Try,
    free_port,
    http_reply,
    play,
    reply_of,
    result_of,
)

SECONDS = 30.0
READS_PER_S = 25.0
SURPLUS_SHARE = 0.1  # of the replies
PIECE_GAP_S = (0.02, 0.1)  # between the end of the reply and the copy behind it


def work(_run: Run) -> tuple[float, int]:
    """Return 40 ms of work and one call."""
    return 40.0, 1


def check_replies(platform: Platform, tries: list[Try]) -> None:
    """Compare each reply at the runtime, and each served result, with the request that it was made for."""
    for run in platform.runs:
        for reply in run.replies:
            if reply != reply_of(run.uid):
                platform.fault(f"run {run.uid} was given {reply.decode()!r}")
    for made in tries:
        own = (result_of(made.body, []), result_of(made.body, [reply_of(made.uid)]))
        if made.outcome == "served" and made.answers[0][2][0] not in own:
            platform.fault(f"request {made.uid} was served {made.answers[0][2][0].decode()!r}")


async def scene(case: Case) -> None:
    """Send reads at an even rate while some replies bring a second copy.

    Raises:
        CaseNotRunError: the process was not ready, or served nothing.
    """
    platform = case.platform
    generator = random.Random(6)
    copies = 0

    async def answer(call: IndexCall, writer: asyncio.StreamWriter) -> bool:
        nonlocal copies
        writer.write(http_reply(call))
        if generator.random() < SURPLUS_SHARE and TROUBLE:
            await asyncio.sleep(generator.uniform(*PIECE_GAP_S))
            copies += 1
            platform.record.line(
                f"index second copy of the reply for {call.uid} connection {call.connection}"
            )
            writer.write(http_reply(call))
        return True

    runtime, index, roster = Runtime(platform, work), Index(platform, answer), Roster(platform)
    for part in (runtime, index, roster):
        await part.listen()
    port = free_port()
    node = case.start("process-1", case.config(runtime, index, roster, port))
    if not await node.ready(30.0):
        raise CaseNotRunError("the process was not ready")
    balancer = Balancer(platform, port)
    tries = []
    for number in range(int(SECONDS * READS_PER_S)):
        tries.append(await balancer.send("match", b"colour %d" % number))
        await asyncio.sleep(1.0 / READS_PER_S)
    await asyncio.gather(*(asyncio.wait_for(made.ended.wait(), 6.0) for made in tries))
    check_replies(platform, tries)
    served = sum(made.outcome == "served" for made in tries)
    platform.record.line(f"copies {copies}, requests {len(tries)}, served {served}")
    if not served:
        raise CaseNotRunError("nothing was served")


play(Path(__file__).resolve().parent, scene)
