"""A follower and stand-in directories on one loop, on a clock that the test moves."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

from emulators.directory import Directory, Habits
from snowthread import config
from snowthread.address import Address
from snowthread.net.clock import ManualClock
from snowthread.net.loop import EventLoop
from snowthread.operator import hcl
from snowthread.tenants.changes import TenantChanges, TenantLogLine
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantState

START = 1_800_000_000_000.0
EXAMPLE = Path(__file__).parents[2] / "examples" / "node.json"


def settings(servers: list[str], more: str = "", folder: Path | None = None) -> TenantSettings:
    """The block ``tenants`` with these servers and further keys."""
    text = f"""tenants {{
      servers = [{", ".join(f'"{s}"' for s in servers)}]
      base = "ou=tenants,dc=example"
      spread = "1ms"
      {more}
    }}
    """
    import hcl2

    block = hcl.Block("test.hcl", "", hcl2.loads(text)).block("tenants")
    assert block is not None
    return TenantSettings.read(block, config.load({"NODE_CONFIG": str(EXAMPLE)}))


class World:
    """Directories and, once started, a follower."""

    def __init__(self, count: int = 1, tenants: int = 10, habits: Habits | None = None) -> None:
        self.clock = ManualClock(START)
        self.loop = EventLoop(self.clock)
        self.directories = [
            Directory(self.loop, Address("127.0.0.1", 0), habits=habits) for _ in range(count)
        ]
        for n in range(tenants):
            self.directories[0].put(f"t{n}", snowthreadNetwork=[f"10.{n}.0.0/16"], snowthreadQuota=n + 1)
        for other in self.directories[1:]:
            self.directories[0].copy_to(other)
        self.lines: list[TenantLogLine] = []
        self.tenancy: TenantState
        self.follower: DirectoryReplicator

    @property
    def urls(self) -> list[str]:
        return [f"ldap://{d.address}" for d in self.directories]

    def start(self, more: str = "", seed: int = 1, servers: list[str] | None = None) -> World:
        made = settings(servers or self.urls, more)
        self.tenancy = TenantState(made.rules)
        self.follower = DirectoryReplicator(self.loop, made, self.tenancy, random.Random(seed), self._tell)
        return self

    def _tell(self, news: TenantChanges) -> None:
        self.lines += news.log_lines

    def run(self, ms: float, step: float = 50.0) -> None:
        """Let so much time go by, in steps."""
        end = self.clock.now_ms + ms
        while self.clock.now_ms < end:
            for _ in range(3):
                self.loop.run_once(0.0)
            self.clock.now_ms = min(end, self.clock.now_ms + step)

    def until(self, holds: Callable[[], bool], most: float = 60_000.0, step: float = 20.0) -> float:
        """Run until it holds; how long that took."""
        began = self.clock.now_ms
        while not holds():
            assert self.clock.now_ms - began < most, "it never held"
            self.run(step, step)
        return self.clock.now_ms - began

    def synced(self) -> None:
        """The first refresh is through."""
        self.until(lambda: self.tenancy.counters.refreshes > 0)

    @property
    def names(self) -> set[str]:
        return {t.name for t in self.tenancy.table.tenants.values()}

    def said(self, event: str) -> list[str]:
        return [line.text for line in self.lines if line.event == event]

    def close(self) -> None:
        """Put away what is open, so that one test's descriptors are not another's."""
        self.loop._close_tasks()
        for directory in self.directories:
            directory._listener.close()
