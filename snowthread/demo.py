"""``snowthread demo``: a small fleet on loopback, a scripted rough minute, and the report of it.

Three nodes with stand-ins round them serve modest traffic. Then the index becomes slow, later a rolling
deploy replaces the nodes one by one, and one is killed; their clocks are up to a second apart. What the
console shows and the report tells comes from the nodes' records alone. Everything is on loopback and ends
by itself.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import click

from snowthread.config import ConfigError
from snowthread.net.loop import TaskSteps, Wait

if TYPE_CHECKING:
    from emulators.load_generator import Load

ROOT = Path(__file__).parent.parent
NODES, CORES, RUN_MS, PER_NODE = 3, 4, 20.0, 60.0
SKEWS_S = 0.4, -0.6, 0.0  # the nodes' machines have their clocks so far off
INDEX_MS, SLOW_MS = 15.0, 150.0
# What happens when, as parts of the whole time.
CALM, SLOW_UNTIL, DEPLOY, KILL = 0.25, 0.45, 0.6, 0.85


class Fleet:
    """The demo's processes."""

    def __init__(self, stack: ExitStack, folder: Path) -> None:
        self.folder, self.records = folder, folder / "records"
        self._stack = stack
        self.records.mkdir(parents=True, exist_ok=True)
        self.file = folder / "demo.hcl"
        self.file.write_text(f'records {{\n  folder = "{self.records}"\n}}\n')
        self.configs = [self._config(n) for n in range(NODES)]
        self.sites = [self._start("emulators.site", str(c), str(CORES), str(RUN_MS)) for c in self.configs]
        for made in self.sites:
            assert made.stdout is not None
            made.stdout.readline()
        self.nodes = [self.node(n) for n in range(NODES)]

    def _config(self, n: int) -> Path:
        fields = json.loads((ROOT / "examples" / "node.json").read_bytes())
        for name, kind in (
            ("listen", socket.SOCK_STREAM),
            ("runtime", socket.SOCK_STREAM),
            ("index", socket.SOCK_STREAM),
            ("roster", socket.SOCK_DGRAM),
        ):
            fields[name] = _free(kind)
        fields["settings"]["domain"]["cores"] = CORES
        path = self.folder / f"node{n + 1}.json"
        path.write_text(json.dumps(fields | {"name": f"n{n + 1}", "stop_ms": 1500}))
        return path

    def _start(self, *words: str, **environment: str) -> subprocess.Popen[str]:
        made = subprocess.Popen(
            [sys.executable, "-m", *words],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": str(ROOT)} | environment,
        )
        self._stack.callback(_end, made)
        return made

    def _serve(self, n: int) -> subprocess.Popen[str]:
        return self._start(
            "emulators.skewed_clock",
            str(SKEWS_S[n]),
            "serve",
            "--with",
            str(self.file),
            NODE_CONFIG=str(self.configs[n]),
        )

    def node(self, n: int) -> subprocess.Popen[str]:
        """Start a node; it listens when this returns."""
        made, until = self._serve(n), time.monotonic() + 20.0
        while not self.listens(n):
            if time.monotonic() >= until:
                raise ConfigError(f"the demo's node {n + 1} did not start")
            time.sleep(0.05)
        return made

    def again(self, n: int, load: Load) -> TaskSteps:
        """Start a node's successor once it is gone, and send it requests once it listens."""
        clock = load.loop.clock
        while self.nodes[n].poll() is None:
            yield Wait(until=clock.now() + 50.0)
        self.nodes[n] = self._serve(n)
        until = clock.now() + 20_000.0
        while not self.listens(n) and clock.now() < until:
            yield Wait(until=clock.now() + 50.0)
        load.paused = False

    def listens(self, n: int) -> bool:
        """Does it take connections?"""
        host, _, port = self.address(n).rpartition(":")
        try:
            socket.create_connection((host, int(port)), 0.2).close()
        except OSError:
            return False
        return True

    def address(self, n: int) -> str:
        """Where a node listens."""
        listen: str = json.loads(self.configs[n].read_text())["listen"]
        return listen

    def index(self, ms: float) -> None:
        """Have the index take so long."""
        for site in self.sites:
            assert site.stdin is not None
            site.stdin.write(f"index {ms}\n")
            site.stdin.flush()


def _free(kind: socket.SocketKind) -> str:
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", random.randrange(20_000, 32_000)))
            except OSError:
                continue
            return "{}:{}".format(*sock.getsockname())


def _end(process: subprocess.Popen[str]) -> None:
    process.kill()
    process.wait()


def _plan(fleet: Fleet, loads: list[Load], seconds: float) -> list[tuple[float, str, Callable[[], None]]]:
    """What happens, as (seconds from the start, words, action)."""
    plan: list[tuple[float, str, Callable[[], None]]] = [
        (CALM * seconds, "the index becomes slow", lambda: fleet.index(SLOW_MS)),
        (SLOW_UNTIL * seconds, "the index is as before", lambda: fleet.index(INDEX_MS)),
    ]

    def leave(n: int) -> Callable[[], None]:
        def go() -> None:
            loads[n].paused = True  # what a list of servers does a moment after the notice
            fleet.nodes[n].send_signal(signal.SIGTERM)

        return go

    def back(n: int) -> Callable[[], None]:
        def go() -> None:
            loads[n].loop.spawn(fleet.again(n, loads[n]))

        return go

    def kill(n: int) -> Callable[[], None]:
        def go() -> None:
            loads[n].paused = True
            fleet.nodes[n].kill()

        return go

    for n in range(NODES):
        at = DEPLOY * seconds + n * 3.0
        plan += [
            (at, f"node n{n + 1} is told to leave", leave(n)),
            (at + 2.0, f"n{n + 1} comes back", back(n)),
        ]
    at = max(KILL * seconds, DEPLOY * seconds + NODES * 3.0 + 2.0)
    return sorted(
        [*plan, (at, "n2 is killed", kill(1)), (at + 4.0, "n2 comes back", back(1))], key=lambda step: step[0]
    )


@click.command()
@click.option(
    "-o",
    "--output",
    default="demo-report.html",
    type=click.Path(dir_okay=False, path_type=Path),
    show_default=True,
    help="The report to write.",
)
@click.option(
    "--seconds",
    default=40.0,
    type=click.FloatRange(24.0, 600.0),
    show_default=True,
    help="How long the traffic lasts.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Keep the records in this folder.",
)
def demo(output: Path, seconds: float, keep: Path | None) -> None:
    """Run a fleet of three on loopback through a slow index, a rolling deploy and a crash; report on it."""
    if not (ROOT / "emulators").is_dir():
        raise ConfigError("the demo needs the repository round it: run it from a clone")
    from emulators.load_generator import Load
    from snowthread.incident.report import Report
    from snowthread.net.clock import Clock
    from snowthread.net.loop import EventLoop

    with ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        click.echo("starting three nodes and what stands round them...", err=True)
        fleet = Fleet(stack, folder)
        loop, rng = EventLoop(Clock()), random.Random(1)
        loads = [
            Load(fleet.address(n), ["127.0.0.1", "127.0.0.2"], loop=loop, caller=10) for n in range(NODES)
        ]
        for load in loads:
            load.others = [other for other in loads if other is not load]
        plan = _plan(fleet, loads, seconds)
        seconds = max(seconds, plan[-1][0] + 6.0)
        fleet.index(INDEX_MS)
        _play(fleet, loads, plan, rng, seconds)
        for node in fleet.nodes:
            node.send_signal(signal.SIGTERM)
        for node in fleet.nodes:
            node.wait(10.0)
        time.sleep(0.5)  # the writers end a moment after their nodes
        made = Report([fleet.records])
        output.write_text(made.html(), encoding="utf-8")
        output.with_suffix(".json").write_bytes(made.json())
        click.echo("\nWhat the records tell:")
        for sentence in made.story.sentences:
            click.echo(f"- {sentence.text}")
        click.echo(f"{output} has it with its charts.")


def _play(
    fleet: Fleet,
    loads: list[Load],
    plan: list[tuple[float, str, Callable[[], None]]],
    rng: random.Random,
    seconds: float,
) -> None:
    """Traffic and events, and a picture each half second where there is a terminal."""
    from rich.console import Console
    from rich.live import Live

    from snowthread.console.model import Fleet as Shown
    from snowthread.console.screen import Look, draw
    from snowthread.console.tail import Tail

    shown, tail, screen = Shown(), Tail([fleet.records]), Console()
    loop = loads[0].loop
    begin = loop.clock.now()
    for load in loads:
        load.arrivals(rng, PER_NODE, seconds, {"match": 0.5, "recalc": 0.2, "dispense": 0.3})
    live = Live(console=screen, auto_refresh=False, transient=True) if screen.is_terminal else None
    if live is not None:
        live.start()
    try:
        looked = 0.0
        while (now := (loop.clock.now() - begin) / 1000.0) < seconds:
            loop.run_once(0.02)
            while plan and plan[0][0] <= now:
                _, words, action = plan.pop(0)
                if live is None:
                    click.echo(f"{now:5.1f} s: {words}", err=True)
                action()
            if live is not None and now - looked >= 0.5:
                looked = now
                for record in tail.poll():
                    shown.take(record)
                live.update(draw(shown, Look(), screen.width, min(24, screen.height)), refresh=True)
    finally:
        if live is not None:
            live.stop()
    for load in loads:
        load.close()
