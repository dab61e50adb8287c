"""A test harness: a replicator and emulated directories on one event loop, with a manual clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

import hcl2

from emulators.directory import Capabilities, Directory
from snowthread import config, hcl
from snowthread.address import Address
from snowthread.net.clock import ManualClock
from snowthread.net.loop import EventLoop
from snowthread.tenants.changes import TenantChanges, TenantLogLine
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantState

START = 1_800_000_000_000.0
EXAMPLE = Path(__file__).parents[2] / "examples" / "node.json"


def settings(servers: list[str], extra: str = "") -> TenantSettings:
    """Return the settings of a block ``tenants`` with these servers and the further keys in ``extra``."""
    text = f"""tenants {{
      servers = [{", ".join(f'"{server}"' for server in servers)}]
      base = "ou=tenants,dc=example"
      spread = "1ms"
      {extra}
    }}
    """
    block = hcl.Block("test.hcl", "", hcl2.loads(text)).block("tenants")
    assert block is not None
    return TenantSettings.read(block, config.load({"NODE_CONFIG": str(EXAMPLE)}))


class DirectoryHarness:
    """Emulated directories with the same content and, after ``start``, a replicator that uses them."""

    def __init__(
        self, directories: int = 1, tenants: int = 10, capabilities: Capabilities | None = None
    ) -> None:
        self.clock = ManualClock(START)
        self.loop = EventLoop(self.clock)
        self.directories = [
            Directory(self.loop, Address("127.0.0.1", 0), capabilities=capabilities)
            for _ in range(directories)
        ]
        first = self.directories[0]
        for index in range(tenants):
            first.put(f"t{index}", snowthreadNetwork=[f"10.{index}.0.0/16"], snowthreadQuota=index + 1)
        for replica in self.directories[1:]:
            first.copy_to(replica)
        self.log_lines: list[TenantLogLine] = []
        self.tenants: TenantState
        self.replicator: DirectoryReplicator

    @property
    def now(self) -> float:
        return self.clock.now_ms

    @property
    def urls(self) -> list[str]:
        return [f"ldap://{directory.address}" for directory in self.directories]

    @property
    def tenant_names(self) -> set[str]:
        return {tenant.name for tenant in self.tenants.table.tenants.values()}

    def start(self, extra: str = "", seed: int = 1, servers: list[str] | None = None) -> DirectoryHarness:
        """Start a replicator of ``servers`` (default: all directories) with the settings in ``extra``."""
        tenant_settings = settings(servers or self.urls, extra)
        self.tenants = TenantState(tenant_settings.rules)
        self.replicator = DirectoryReplicator(
            self.loop, tenant_settings, self.tenants, random.Random(seed), self._collect
        )
        return self

    def run(self, duration_ms: float, step_ms: float = 50.0) -> None:
        """Run the event loop and advance the clock in steps, for a total of ``duration_ms``."""
        end = self.clock.now_ms + duration_ms
        while self.clock.now_ms < end:
            for _ in range(3):
                self.loop.run_once(0.0)
            self.clock.now_ms = min(end, self.clock.now_ms + step_ms)

    def wait_until(
        self, condition: Callable[[], bool], timeout_ms: float = 60_000.0, step_ms: float = 20.0
    ) -> float:
        """Run until the condition is true and return how many milliseconds of clock time that took."""
        started_at = self.clock.now_ms
        while not condition():
            assert self.clock.now_ms - started_at < timeout_ms, "the condition never became true"
            self.run(step_ms, step_ms)
        return self.clock.now_ms - started_at

    def wait_for_refresh(self) -> None:
        """Run until the first refresh is complete."""
        self.wait_until(lambda: self.tenants.counters.refreshes > 0)

    def log_texts(self, event: str) -> list[str]:
        """Return the texts of the log lines of an event."""
        return [line.text for line in self.log_lines if line.event == event]

    def close(self) -> None:
        """End all tasks and close the listeners, so that no descriptor stays open for the next test."""
        self.loop.end_all_tasks()
        for directory in self.directories:
            directory._listener.close()

    def _collect(self, changes: TenantChanges) -> None:
        self.log_lines += changes.log_lines
