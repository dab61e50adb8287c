"""Identification of a node's clients, and the log event ``tenants.state``."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields, replace
from typing import TYPE_CHECKING

import pytest
from loguru import logger
from support.directory_harness import START, settings

from snowthread.core import events
from snowthread.net.clock import ManualClock
from snowthread.net.loop import EventLoop
from snowthread.tenants.counters import TenantCounters
from snowthread.tenants.identification import TenantIdentification

if TYPE_CHECKING:
    import loguru

UNREACHABLE = ["ldap://127.0.0.1:1"]


@pytest.fixture
def state_records() -> Iterator[list[dict[str, object]]]:
    """Collect the fields of each ``tenants.state`` event."""
    records: list[dict[str, object]] = []

    def collect(message: loguru.Message) -> None:
        extra = message.record["extra"]
        if extra.get("event") == "tenants.state":
            records.append(extra)

    sink = logger.add(collect, level=0)
    yield records
    logger.remove(sink)


def test_the_state_line_has_each_counter_also_after_a_failed_lookup_and_a_pending_removal(
    state_records: list[dict[str, object]],
) -> None:
    clock = ManualClock(START)
    loop = EventLoop(clock)
    posted: list[events.Event] = []
    identification = TenantIdentification(
        loop, replace(settings(UNREACHABLE), report_interval_ms=1000.0), 1, posted.append
    )
    identification.start(lambda _connection: "10.0.0.1")
    identification.tenant_state.apply_lookup("10.0.0.1", [], (), START)
    identification.tenant_state.counters.removals_held = 2
    for _ in range(20):
        loop.run_once(0.0)
        clock.now_ms += 100.0
    loop.end_all_tasks()
    assert state_records
    line = state_records[-1]
    assert line["lookups_not_found"] == 1 and line["removals_held"] == 2
    assert line["negative_cache"] == 1 and line["held"] == 0
    assert {field.name for field in fields(TenantCounters)} <= line.keys()
