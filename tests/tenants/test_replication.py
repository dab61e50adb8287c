"""The replicator against emulated directories that stall, disconnect, send invalid data and recover."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import pytest
from support.directory_harness import DirectoryHarness, settings

from emulators.directory import Capabilities
from snowthread.ldap.circuit_breaker import CircuitState
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.replication_mode import ReplicationMode
from snowthread.tenants.staleness import StalenessStage
from snowthread.tenants.state import TenantState
from snowthread.tenants.sync import ReplicationState

NewHarness = Callable[..., DirectoryHarness]

ALL_TENANTS = {f"t{n}" for n in range(10)}
MESSAGE_BYTES = 65536  # message size limit in the test of hostile servers
SHORT_TIMEOUTS = 'operation = "2s"\n probe = "1s"\n poll = "5s"\n'


@pytest.fixture
def new_harness() -> Iterator[NewHarness]:
    harnesses: list[DirectoryHarness] = []

    def make(*args: object, **options: object) -> DirectoryHarness:
        harnesses.append(DirectoryHarness(*args, **options))  # type: ignore[arg-type]
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.close()


def test_it_refreshes_then_follows_each_change(new_harness: NewHarness) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS)
    harness.wait_for_refresh()
    assert harness.tenant_names == ALL_TENANTS and harness.replicator.sync.state is ReplicationState.FOLLOWING
    directory = harness.directories[0]
    directory.put("t1", snowthreadNetwork=["11.0.0.0/8"], snowthreadQuota=7)
    directory.remove("t2")
    directory.rename("t3", "t3b")
    harness.run(200.0)
    assert harness.tenant_names == ALL_TENANTS - {"t2", "t3"} | {"t3b"}
    assert harness.tenants.identify("11.2.3.4", None, harness.now).tenant_id != "default"
    assert harness.tenants.identify("10.1.0.1", None, harness.now).tenant_id == "default"
    assert directory.search_count == 1 and harness.tenants.counters.refreshes == 1


@pytest.mark.parametrize(
    ("capabilities", "mode"),
    [
        (Capabilities(persist=False), ReplicationMode.REFRESH),
        (Capabilities(sync=False), ReplicationMode.PAGED),
    ],
)
def test_a_server_that_lacks_a_mode_is_followed_in_the_next(
    new_harness: NewHarness, capabilities: Capabilities, mode: ReplicationMode
) -> None:
    harness = new_harness(tenants=25, capabilities=capabilities).start(
        SHORT_TIMEOUTS + "page_size = 10\n removal { share = 0.5 }"
    )
    harness.wait_for_refresh()
    assert len(harness.tenant_names) == 25 and harness.replicator.sync.mode is mode
    harness.directories[0].put("new", snowthreadQuota=1)
    harness.directories[0].remove("t7")
    # The next poll brings both changes.
    harness.wait_until(
        lambda: "new" in harness.tenant_names and "t7" not in harness.tenant_names, timeout_ms=7_000.0
    )
    assert harness.replicator.sync.mode is mode and harness.replicator.connection_failures == 0


@pytest.mark.parametrize("at", [0, 1, 14, 40, 120, 700, 1500, 2400])
def test_it_recovers_from_a_stall_of_30_s_at_any_byte(
    new_harness: NewHarness, at: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # 0: the server accepts and sends nothing; 14: it sends the bind response; more: part of the refresh.
    harness = new_harness(capabilities=Capabilities(passwords={"cn=node": "pw"}))
    monkeypatch.setenv("DIRECTORY_PASSWORD", "pw")
    harness.start(
        SHORT_TIMEOUTS
        + 'bind {\n dn = "cn=node"\n password_env = "DIRECTORY_PASSWORD"\n }\n retry { open = "1s" }'
    )
    harness.directories[0].faults.stall_after_bytes = at
    harness.run(30_000.0)
    assert not harness.tenant_names and harness.replicator.connection_failures >= 3
    assert harness.tenants.staleness.stage(harness.now) is StalenessStage.NONE
    harness.directories[0].faults.stall_after_bytes = None
    harness.directories[0].wake_connections()
    assert harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS) <= 30_000.0


def test_a_stall_while_following_is_detected_and_known_tenants_stay_until_it_catches_up(
    new_harness: NewHarness,
) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS + 'staleness { stale_after = "5s"\n old_after = "20s"\n }')
    harness.wait_for_refresh()
    directory = harness.directories[0]
    directory.faults.stall = True
    directory.remove("t9")
    harness.run(6_000.0)
    assert harness.tenants.staleness.stage(harness.now) is StalenessStage.STALE
    harness.run(24_000.0)
    assert (
        harness.tenant_names == ALL_TENANTS
        and harness.tenants.staleness.stage(harness.now) is StalenessStage.OLD
    )
    assert harness.tenants.identify("10.9.0.1", None, harness.now).tenant_id != "default"
    directory.faults.stall = False
    directory.wake_connections()
    # A refresh from the cookie reports the removal of t9.
    harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS - {"t9"}, timeout_ms=60_000.0)
    assert harness.tenants.staleness.stage(harness.now) is StalenessStage.FRESH


@pytest.mark.parametrize("cut", range(10))
def test_a_refresh_interrupted_at_any_message_changes_nothing(new_harness: NewHarness, cut: int) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS + 'removal { share = 1.0 }\n retry { open = "1s" }')
    harness.wait_for_refresh()
    directory = harness.directories[0]
    directory.faults.stall = True  # the open connection does not receive the following changes
    directory.remove("t0")
    directory.remove("t1")
    directory.put("late", snowthreadQuota=1)
    directory.expire_cookies()
    directory.drop_connections()
    # The second refresh has ten messages: nine entries and the search result done.
    directory.faults.stall = False
    directory.faults.close_after_messages = cut
    harness.run(5_000.0)
    assert (
        harness.tenant_names == ALL_TENANTS
        and harness.replicator.connection_failures >= 2
        and harness.tenants.counters.refreshes == 1
    )
    directory.faults.close_after_messages = None
    harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS - {"t0", "t1"} | {"late"})


def test_fail_over_to_a_server_with_older_content_removes_nothing(new_harness: NewHarness) -> None:
    harness = new_harness(2)
    first, second = harness.directories
    first.put("newest", snowthreadNetwork=["12.0.0.0/8"], snowthreadQuota=3)
    first.put("t1", snowthreadNetwork=["10.1.0.0/16"], snowthreadQuota=99)
    harness.start(SHORT_TIMEOUTS + 'removal { confirm_after = "1h" }')
    harness.wait_for_refresh()
    cookie = harness.replicator.sync.cookie.value
    first.faults.refuse_connections = True
    first.disconnect_all()
    harness.wait_until(lambda: harness.replicator.sync.cookie.server == f"ldap://{second.address}")
    assert "newest" in harness.tenant_names and harness.replicator.server_selector.fail_overs == 1
    assert harness.replicator.sync.cookie.value != cookie  # each server has its own cookie
    quota = {t.name: t.quota_per_s for t in harness.tenants.table.tenants.values()}
    assert quota["t1"] == 99.0  # the older entry of the second server was ignored
    assert harness.log_texts("tenants.removal_held") and harness.tenants.removal_guard.pending is not None
    first.faults.refuse_connections = False
    second.faults.refuse_connections = True
    second.disconnect_all()
    harness.wait_until(
        lambda: (
            harness.replicator.connected_server == f"ldap://{first.address}"
            and harness.tenants.removal_guard.pending is None
        )
    )
    assert "newest" in harness.tenant_names


def test_fail_over_in_the_middle_of_a_refresh(new_harness: NewHarness) -> None:
    harness = new_harness(2).start(SHORT_TIMEOUTS)
    harness.directories[0].faults.stall_after_bytes = 900
    harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS, timeout_ms=10_000.0)
    assert harness.replicator.connected_server == f"ldap://{harness.directories[1].address}"
    assert harness.replicator.sync.cookie.server == harness.replicator.connected_server


def test_an_expired_cookie_leads_to_a_full_refresh(new_harness: NewHarness) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS)
    harness.wait_for_refresh()
    directory = harness.directories[0]
    directory.faults.stall = True  # the open connection does not receive the removal
    directory.remove("t1")
    directory.expire_cookies()
    directory.removed.clear()
    harness.run(4_000.0)
    directory.faults.stall = False
    directory.wake_connections()
    harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS - {"t1"})
    assert harness.tenants.counters.refreshes == 2


def test_an_emptied_directory_removes_no_tenant_until_confirmed(new_harness: NewHarness) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS + 'removal { confirm_after = "20s" }')
    harness.wait_for_refresh()
    directory = harness.directories[0]
    for n in range(10):
        directory.remove(f"t{n}")
    harness.run(10_000.0)
    assert len(harness.tenant_names) == 8  # two removals are within the allowance
    directory.put("t9", snowthreadNetwork=["10.9.0.0/16"])
    harness.wait_until(lambda: harness.tenant_names == {"t9"}, timeout_ms=40_000.0)


@pytest.mark.parametrize("code", [3, 10, 50, 51, 52, 80])
def test_a_search_that_fails_removes_nothing_and_is_retried_at_a_bounded_rate(
    new_harness: NewHarness, code: int
) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS + 'retry { open = "2s"\n open_most = "8s" }')
    harness.wait_for_refresh()
    directory = harness.directories[0]
    directory.faults.search_code = code
    searches = directory.search_count
    directory.disconnect_all()
    harness.run(60_000.0)
    assert harness.tenant_names == ALL_TENANTS and 2 <= directory.search_count - searches <= 30
    directory.faults.search_code = 0
    harness.wait_until(lambda: harness.tenants.counters.refreshes == 2)


def test_a_size_limit_leads_to_paged_results(new_harness: NewHarness) -> None:
    harness = new_harness(tenants=40)
    harness.directories[0].faults.size_limit = 15
    harness.start(SHORT_TIMEOUTS + "page_size = 10")
    harness.wait_for_refresh()
    assert len(harness.tenant_names) == 40 and harness.replicator.sync.mode is ReplicationMode.PAGED


HOSTILE: dict[str, Callable[[int, bytes], bytes | None]] = {
    "wrong message id": lambda _n, data: (
        data[:4] + bytes([data[4] + 1]) + data[5:] if data[1] < 0x80 else b"\x30"
    ),
    "garbage": lambda _n, _data: b"\x9f\x85" * 400,
    "truncated": lambda _n, data: data[:-3],
    "length of 3 GB": lambda _n, _data: b"\x30\x84\xc0\x00\x00\x00" + b"x" * 5000,
    "deeply nested": lambda _n, _data: b"\x30\x82\x0f\xa0" + b"\x30\x82\x0f\x00" * 1000,
    "too many elements": lambda _n, _data: b"\x30\x83\x07\xff\xff" + b"\x04\x00" * 30_000,
    "connection closed": lambda _n, _data: None,
    "wrong inner length": lambda _n, data: data[:5] + b"\x64\x7f" + data[7:],
    "every other message truncated": lambda n, data: data if n % 2 else data[:10],
}


@pytest.mark.parametrize("kind", HOSTILE)
def test_a_hostile_server_causes_bounded_buffering_and_removes_no_tenant(
    new_harness: NewHarness, kind: str
) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS + 'retry { open = "2s" }\n limits { message_bytes = 65536 }')
    harness.wait_for_refresh()
    directory = harness.directories[0]
    directory.faults.rewrite_message = HOSTILE[kind]
    directory.drop_connections()
    buffered_bytes = 0
    for _ in range(60):
        harness.run(500.0, 100.0)
        assert harness.replicator._task.coroutine is not None
        session = harness.replicator._session
        if session is not None:
            buffered_bytes = max(buffered_bytes, session._connection._session.buffered_bytes)
    assert buffered_bytes <= MESSAGE_BYTES
    assert harness.tenant_names == ALL_TENANTS and harness.replicator.connection_failures >= 2
    directory.faults.rewrite_message = None
    harness.wait_until(
        lambda: harness.tenants.counters.refreshes >= 2 and harness.replicator.connected_server != ""
    )


def test_a_server_that_sends_one_byte_at_a_time_is_left_after_the_refresh_timeout(
    new_harness: NewHarness,
) -> None:
    harness = new_harness(2).start('operation = "15s"\n refresh = "20s"')
    # An entry takes about seven seconds, so the server is never silent for the operation timeout.
    harness.directories[0].faults.byte_delay_ms = 20.0
    harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS, timeout_ms=30_000.0)
    assert harness.replicator.connected_server == f"ldap://{harness.directories[1].address}"


def max_in_window(times: list[float], window_ms: float) -> int:
    """Return the largest number of connections in any window of this length."""
    return max(sum(start <= time < start + window_ms for time in times) for start in times)


def test_nodes_that_start_together_connect_spread_over_time(new_harness: NewHarness) -> None:
    harness = new_harness()
    tenant_settings = replace(settings(harness.urls), start_jitter_ms=2000.0)
    for seed in range(30):
        DirectoryReplicator(
            harness.loop,
            tenant_settings,
            TenantState(tenant_settings.rules),
            Random(seed),
            lambda _changes: None,
        )
    harness.run(2_500.0, 10.0)
    times = sorted(harness.directories[0].accepted_at_ms)
    assert len(times) == 30 and times[-1] - times[0] > 1_200.0
    assert max_in_window(times, 100.0) <= 8


def test_after_an_outage_a_fleet_reconnects_spread_over_time(new_harness: NewHarness) -> None:
    harness = new_harness()
    tenant_settings = settings(harness.urls, SHORT_TIMEOUTS)
    for seed in range(30):
        DirectoryReplicator(
            harness.loop,
            tenant_settings,
            TenantState(tenant_settings.rules),
            Random(seed),
            lambda _changes: None,
        )
    harness.run(500.0, 10.0)
    directory = harness.directories[0]
    directory.accepted_at_ms.clear()
    directory.disconnect_all()
    harness.run(2_000.0, 10.0)
    times = sorted(directory.accepted_at_ms)
    assert len(times) == 30 and max_in_window(times, 20.0) <= 9


def test_lookups_of_unknown_clients_find_tenants_that_polling_has_not_seen(new_harness: NewHarness) -> None:
    harness = new_harness(capabilities=Capabilities(sync=False)).start(SHORT_TIMEOUTS.replace('"5s"', '"1h"'))
    harness.wait_for_refresh()
    directory = harness.directories[0]
    directory.put("fresh", snowthreadNetwork=["13.1.0.0/16"], snowthreadQuota=1)
    now = harness.now
    assert harness.tenants.identify("13.1.2.3", None, now).tenant_id == "default"
    assert harness.tenants.unknown_clients.queue_lookup(
        "13.1.2.3", now
    ) and harness.tenants.unknown_clients.queue_lookup("14.0.0.1", now)
    harness.replicator.wake()
    harness.run(400.0)
    assert (
        "fresh" in harness.tenant_names
        and harness.tenants.identify("13.1.2.3", None, now).tenant_id != "default"
    )
    assert (
        harness.tenants.counters.lookups_not_found == 1
        and not harness.tenants.unknown_clients.queue_lookup("14.0.0.1", harness.now)
    )


def test_lookups_during_a_stall_time_out_and_stay_bounded(new_harness: NewHarness) -> None:
    harness = new_harness().start(SHORT_TIMEOUTS)
    harness.wait_for_refresh()
    harness.directories[0].faults.stall = True
    for n in range(500):
        harness.tenants.unknown_clients.queue_lookup(f"13.0.{n >> 8}.{n & 255}", harness.now)
    harness.replicator.wake()
    harness.run(10_000.0)
    assert (
        harness.tenants.unknown_clients.waiting_count <= 256
        and len(harness.tenants.unknown_clients) <= 256 + 8
    )


def test_new_server_settings_apply_in_the_middle_of_a_refresh(new_harness: NewHarness) -> None:
    harness = new_harness(2).start(SHORT_TIMEOUTS, servers=None)
    first, second = harness.directories
    first.faults.stall_after_bytes = 900
    harness.run(500.0)
    harness.replicator.apply_settings(settings([f"ldap://{second.address}"], SHORT_TIMEOUTS))
    harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS, timeout_ms=2_000.0)
    assert harness.replicator.connected_server == f"ldap://{second.address}"


def test_a_wrong_password_needs_the_operator_and_is_never_logged(
    new_harness: NewHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    from loguru import logger

    monkeypatch.setenv("DIRECTORY_PASSWORD", "hunter2")
    logged: list[str] = []
    sink = logger.add(lambda m: logged.append(str(m) + json.dumps(m.record["extra"], default=str)), level=0)
    harness = new_harness(capabilities=Capabilities(passwords={"cn=node": "other"}))
    harness.start(SHORT_TIMEOUTS + 'bind {\n dn = "cn=node"\n password_env = "DIRECTORY_PASSWORD"\n }')
    harness.run(20_000.0)
    logger.remove(sink)
    assert 1 <= harness.directories[0].bind_count <= 4 and any("code 49" in line for line in logged)
    assert harness.replicator.server_selector.breakers[0].state(harness.now - 1e6) is CircuitState.OPEN
    assert not any("hunter2" in line for line in logged) and "hunter2" not in repr(
        harness.replicator.settings
    )


def test_a_cold_start_waits_for_a_directory_that_is_down(new_harness: NewHarness) -> None:
    harness = new_harness()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        harness.start(SHORT_TIMEOUTS, servers=["ldap://{}:{}".format(*taken.getsockname()), *harness.urls])
        harness.wait_until(lambda: harness.tenant_names == ALL_TENANTS, timeout_ms=5_000.0)
    assert harness.replicator.connection_failures == 1
