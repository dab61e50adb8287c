"""A client of a keyed request gives up, the node hears of it late, and the client's retry runs again."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    TROUBLE,
    Balancer,
    Index,
    Node,
    NotRunError,
    Platform,
    Roster,
    Runtime,
    free_address,
    healthy,
    run_case,
)

WINDOW_MS = 17_562.0
REQUESTS = 12
GIVE_UP_MS = 600.0
CANCEL_AFTER_MS = 1500.0
RETRY_MS = 1000.0


async def client(balancer: Balancer, number: int) -> None:
    """Send a keyed request; give up while its run stands at a call, and try again as clients do."""
    once = f"{number:032x}"
    body = f"accept quote {number}".encode()
    first = balancer.send("accept", body, once=once)
    if TROUBLE:
        await asyncio.sleep(GIVE_UP_MS / 1000)
        balancer.give_up(first, CANCEL_AFTER_MS)
        await asyncio.sleep(RETRY_MS / 1000 - GIVE_UP_MS / 1000)
    else:
        await first.done.wait()
    second = balancer.send("accept", body, once=once)
    await second.done.wait()


async def case(platform: Platform, temporary: Path, nodes: list[Node]) -> list[str]:
    """Play the case and return the breaches of the rule.

    Raises:
        NotRunError: the situation did not arise.
    """
    runtime = Runtime(
        platform, "runtime", work_ms={"quote": 300.0, "accept": 300.0}, calls={"quote": 1, "accept": 1}
    )
    index = Index(platform, call_ms=700.0)
    roster = Roster(platform)
    for peer in (runtime, index, roster):
        await peer.listen()
    listen = free_address()
    config = {
        "name": "n1",
        "listen": listen,
        "runtime": runtime.address,
        "roster": roster.address,
        "index": index.address,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": json.loads((FOLDER / "settings.json").read_text()),
    }
    path = temporary / "config.json"
    path.write_text(json.dumps(config))
    node = Node("n1", temporary / "n1.log")
    nodes.append(node)
    await node.start(
        {"NODE_CONFIG": str(path), "NODE_NAME": "n1", "NODE_LISTEN": listen, "TMPDIR": str(temporary)}
    )
    await healthy(platform, listen)
    balancer = Balancer(platform, "balancer")
    await balancer.connect(listen)
    await asyncio.sleep(1.0)
    clients = []
    for number in range(1, REQUESTS + 1):
        clients.append(asyncio.create_task(client(balancer, number)))
        await asyncio.sleep(1.0)
    await asyncio.gather(*clients)
    if TROUBLE and not any(
        run.end == "aborted" for attempt in platform.tries.values() for run in attempt.runs
    ):
        raise NotRunError("no run stood at its call when its client gave up")
    return platform.runs_twice(WINDOW_MS)


run_case(FOLDER, case)
