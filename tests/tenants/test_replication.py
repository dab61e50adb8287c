"""The replicator against emulated directories that stall, close, lie and recover."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import pytest
from support.directory_world import DirectoryWorld, settings

from emulators.directory import Capabilities
from snowthread.ldap.circuit_breaker import CircuitState
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.replication_mode import ReplicationMode
from snowthread.tenants.staleness import StalenessStage
from snowthread.tenants.state import TenantState
from snowthread.tenants.sync import ReplicationState

NewWorld = Callable[..., DirectoryWorld]

ALL = {f"t{n}" for n in range(10)}
MESSAGE_BYTES = 65536  # the limit in the test of hostile servers
QUICK = 'operation = "2s"\n probe = "1s"\n poll = "5s"\n'


@pytest.fixture
def new_world() -> Iterator[NewWorld]:
    worlds: list[DirectoryWorld] = []

    def make(*args: object, **more: object) -> DirectoryWorld:
        worlds.append(DirectoryWorld(*args, **more))  # type: ignore[arg-type]
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()


def test_it_refreshes_then_follows_each_change(new_world: NewWorld) -> None:
    world = new_world().start(QUICK)
    world.wait_for_refresh()
    assert world.tenant_names == ALL and world.replicator.sync.state is ReplicationState.FOLLOWING
    directory = world.directories[0]
    directory.put("t1", snowthreadNetwork=["11.0.0.0/8"], snowthreadQuota=7)
    directory.remove("t2")
    directory.rename("t3", "t3b")
    world.run(200.0)
    assert world.tenant_names == ALL - {"t2", "t3"} | {"t3b"}
    assert world.tenants.identify("11.2.3.4", None, world.now).tenant_id != "default"
    assert world.tenants.identify("10.1.0.1", None, world.now).tenant_id == "default"
    assert directory.searches == 1 and world.tenants.counters.refreshes == 1


@pytest.mark.parametrize(
    ("capabilities", "mode"),
    [
        (Capabilities(persist=False), ReplicationMode.REFRESH),
        (Capabilities(sync=False), ReplicationMode.PAGED),
    ],
)
def test_a_server_that_lacks_a_mode_is_followed_in_the_next(
    new_world: NewWorld, capabilities: Capabilities, mode: ReplicationMode
) -> None:
    world = new_world(tenants=25, capabilities=capabilities).start(
        QUICK + "page_size = 10\n removal { share = 0.5 }"
    )
    world.wait_for_refresh()
    assert len(world.tenant_names) == 25 and world.replicator.sync.mode is mode
    world.directories[0].put("new", snowthreadQuota=1)
    world.directories[0].remove("t7")
    world.wait_until(
        lambda: "new" in world.tenant_names and "t7" not in world.tenant_names, timeout_ms=7_000.0
    )  # with the next period
    assert world.replicator.sync.mode is mode and world.replicator.connection_failures == 0


@pytest.mark.parametrize("at", [0, 1, 14, 40, 120, 700, 1500, 2400])
def test_it_recovers_from_a_stall_of_30_s_at_any_byte(
    new_world: NewWorld, at: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # 0: it accepts and says nothing; 14: the bind's answer; later: mid-entry and mid-refresh.
    world = new_world(capabilities=Capabilities(passwords={"cn=node": "pw"}))
    monkeypatch.setenv("WORLD_PASSWORD", "pw")
    world.start(
        QUICK + 'bind {\n dn = "cn=node"\n password_env = "WORLD_PASSWORD"\n }\n retry { open = "1s" }'
    )
    world.directories[0].faults.stall_at = at
    world.run(30_000.0)
    assert not world.tenant_names and world.replicator.connection_failures >= 3
    assert world.tenants.staleness.stage(world.now) is StalenessStage.NONE
    world.directories[0].faults.stall_at = None
    world.directories[0].wake_connections()
    assert world.wait_until(lambda: world.tenant_names == ALL) <= 30_000.0


def test_a_stall_while_following_is_detected_and_known_tenants_stay_until_it_catches_up(
    new_world: NewWorld,
) -> None:
    world = new_world().start(QUICK + 'staleness { stale_after = "5s"\n old_after = "20s"\n }')
    world.wait_for_refresh()
    directory = world.directories[0]
    directory.faults.stall = True
    directory.remove("t9")
    world.run(6_000.0)
    assert world.tenants.staleness.stage(world.now) is StalenessStage.STALE
    world.run(24_000.0)
    assert world.tenant_names == ALL and world.tenants.staleness.stage(world.now) is StalenessStage.OLD
    assert world.tenants.identify("10.9.0.1", None, world.now).tenant_id != "default"
    directory.faults.stall = False
    directory.wake_connections()
    world.wait_until(
        lambda: world.tenant_names == ALL - {"t9"}, timeout_ms=60_000.0
    )  # by its cookie, and t9's removal is named
    assert world.tenants.staleness.stage(world.now) is StalenessStage.FRESH


@pytest.mark.parametrize("cut", range(10))
def test_a_refresh_interrupted_at_any_message_changes_nothing(new_world: NewWorld, cut: int) -> None:
    world = new_world().start(QUICK + 'removal { share = 1.0 }\n retry { open = "1s" }')
    world.wait_for_refresh()
    directory = world.directories[0]
    directory.faults.stall = True  # following does not see these changes
    directory.remove("t0")
    directory.remove("t1")
    directory.put("late", snowthreadQuota=1)
    directory.expire_cookies()
    directory.drop_connections()
    # The second refresh has nine entries and its end: ten messages.
    directory.faults.stall = False
    directory.faults.cut_at = cut
    world.run(5_000.0)
    assert (
        world.tenant_names == ALL
        and world.replicator.connection_failures >= 2
        and world.tenants.counters.refreshes == 1
    )
    directory.faults.cut_at = None
    world.wait_until(lambda: world.tenant_names == ALL - {"t0", "t1"} | {"late"})


def test_fail_over_to_a_server_with_older_content_removes_nothing(new_world: NewWorld) -> None:
    world = new_world(2)
    first, second = world.directories
    first.put("newest", snowthreadNetwork=["12.0.0.0/8"], snowthreadQuota=3)
    first.put("t1", snowthreadNetwork=["10.1.0.0/16"], snowthreadQuota=99)
    world.start(QUICK + 'removal { confirm_after = "1h" }')
    world.wait_for_refresh()
    cookie = world.replicator.sync.cookie.value
    first.faults.refuse = True
    first.disconnect_all()
    world.wait_until(lambda: world.replicator.sync.cookie.server == f"ldap://{second.address}")
    assert "newest" in world.tenant_names and world.replicator.server_selector.fail_overs == 1
    assert world.replicator.sync.cookie.value != cookie  # each server's own
    quota = {t.name: t.quota_per_s for t in world.tenants.table.tenants.values()}
    assert quota["t1"] == 99.0  # the older entry did not win
    assert world.log_texts("tenants.removal_held") and world.tenants.guard.pending is not None
    first.faults.refuse = False
    second.faults.refuse = True
    second.disconnect_all()
    world.wait_until(
        lambda: (
            world.replicator.connected_server == f"ldap://{first.address}"
            and world.tenants.guard.pending is None
        )
    )
    assert "newest" in world.tenant_names


def test_fail_over_in_the_middle_of_a_refresh(new_world: NewWorld) -> None:
    world = new_world(2).start(QUICK)
    world.directories[0].faults.stall_at = 900
    world.wait_until(lambda: world.tenant_names == ALL, timeout_ms=10_000.0)
    assert world.replicator.connected_server == f"ldap://{world.directories[1].address}"
    assert world.replicator.sync.cookie.server == world.replicator.connected_server


def test_an_expired_cookie_leads_to_a_full_refresh(new_world: NewWorld) -> None:
    world = new_world().start(QUICK)
    world.wait_for_refresh()
    directory = world.directories[0]
    directory.faults.stall = True  # following does not see this
    directory.remove("t1")
    directory.expire_cookies()
    directory.removed.clear()
    world.run(4_000.0)
    directory.faults.stall = False
    directory.wake_connections()
    world.wait_until(lambda: world.tenant_names == ALL - {"t1"})
    assert world.tenants.counters.refreshes == 2


def test_an_emptied_directory_removes_no_tenant_until_confirmed(new_world: NewWorld) -> None:
    world = new_world().start(QUICK + 'removal { confirm_after = "20s" }')
    world.wait_for_refresh()
    directory = world.directories[0]
    for n in range(10):
        directory.remove(f"t{n}")
    world.run(10_000.0)
    assert len(world.tenant_names) == 8  # the first two are within the allowance
    directory.put("t9", snowthreadNetwork=["10.9.0.0/16"])
    world.wait_until(lambda: world.tenant_names == {"t9"}, timeout_ms=40_000.0)


@pytest.mark.parametrize("code", [3, 10, 50, 51, 52, 80])
def test_a_search_that_fails_removes_nothing_and_is_retried_at_a_bounded_rate(
    new_world: NewWorld, code: int
) -> None:
    world = new_world().start(QUICK + 'retry { open = "2s"\n open_most = "8s" }')
    world.wait_for_refresh()
    directory = world.directories[0]
    directory.faults.search_code = code
    searches = directory.searches
    directory.disconnect_all()
    world.run(60_000.0)
    assert world.tenant_names == ALL and 2 <= directory.searches - searches <= 30
    directory.faults.search_code = 0
    world.wait_until(lambda: world.tenants.counters.refreshes == 2)


def test_a_size_limit_leads_to_paged_results(new_world: NewWorld) -> None:
    world = new_world(tenants=40)
    world.directories[0].faults.size_limit = 15
    world.start(QUICK + "page_size = 10")
    world.wait_for_refresh()
    assert len(world.tenant_names) == 40 and world.replicator.sync.mode is ReplicationMode.PAGED


HOSTILE: dict[str, Callable[[int, bytes], bytes | None]] = {
    "wrong number": lambda _n, data: (
        data[:4] + bytes([data[4] + 1]) + data[5:] if data[1] < 0x80 else b"\x30"
    ),
    "garbage": lambda _n, _data: b"\x9f\x85" * 400,
    "truncated": lambda _n, data: data[:-3],
    "3 GB": lambda _n, _data: b"\x30\x84\xc0\x00\x00\x00" + b"x" * 5000,
    "nested": lambda _n, _data: b"\x30\x82\x0f\xa0" + b"\x30\x82\x0f\x00" * 1000,
    "endless": lambda _n, _data: b"\x30\x83\x07\xff\xff" + b"\x04\x00" * 30_000,
    "closed": lambda _n, _data: None,
    "inner length": lambda _n, data: data[:5] + b"\x64\x7f" + data[7:],
    "half now and then": lambda n, data: data if n % 2 else data[:10],
}


@pytest.mark.parametrize("kind", HOSTILE)
def test_a_hostile_server_costs_bounded_memory_and_no_tenant(new_world: NewWorld, kind: str) -> None:
    world = new_world().start(QUICK + 'retry { open = "2s" }\n limits { message_bytes = 65536 }')
    world.wait_for_refresh()
    directory = world.directories[0]
    directory.faults.mangle = HOSTILE[kind]
    directory.drop_connections()
    buffered_bytes = 0
    for _ in range(60):
        world.run(500.0, 100.0)
        assert world.replicator._task.steps is not None
        session = world.replicator._session
        if session is not None:
            buffered_bytes = max(buffered_bytes, session._connection._session.buffered_bytes)
    assert buffered_bytes <= MESSAGE_BYTES
    assert world.tenant_names == ALL and world.replicator.connection_failures >= 2
    directory.faults.mangle = None
    world.wait_until(
        lambda: world.tenants.counters.refreshes >= 2 and world.replicator.connected_server != ""
    )


def test_a_server_that_drips_is_left_after_the_refresh_timeout(new_world: NewWorld) -> None:
    world = new_world(2).start('operation = "15s"\n refresh = "20s"')
    world.directories[0].faults.drip_ms = 20.0  # an entry in seven seconds or so: never silent for long
    world.wait_until(lambda: world.tenant_names == ALL, timeout_ms=30_000.0)
    assert world.replicator.connected_server == f"ldap://{world.directories[1].address}"


def most_within(times: list[float], window_ms: float) -> int:
    """Return the most connections in any window of this length."""
    return max(sum(start <= time < start + window_ms for time in times) for start in times)


def test_nodes_that_start_together_connect_spread_over_time(new_world: NewWorld) -> None:
    world = new_world()
    made = replace(settings(world.urls), start_jitter_ms=2000.0)
    for seed in range(30):
        DirectoryReplicator(world.loop, made, TenantState(made.rules), Random(seed), lambda _changes: None)
    world.run(2_500.0, 10.0)
    times = sorted(world.directories[0].accepted_at)
    assert len(times) == 30 and times[-1] - times[0] > 1_200.0
    assert most_within(times, 100.0) <= 8


def test_after_an_outage_a_fleet_reconnects_spread_over_time(new_world: NewWorld) -> None:
    world = new_world()
    made = settings(world.urls, QUICK)
    for seed in range(30):
        DirectoryReplicator(world.loop, made, TenantState(made.rules), Random(seed), lambda _changes: None)
    world.run(500.0, 10.0)
    directory = world.directories[0]
    directory.accepted_at.clear()
    directory.disconnect_all()
    world.run(2_000.0, 10.0)
    times = sorted(directory.accepted_at)
    assert len(times) == 30 and most_within(times, 20.0) <= 9


def test_lookups_of_unknown_clients_find_tenants_that_polling_has_not_seen(new_world: NewWorld) -> None:
    world = new_world(capabilities=Capabilities(sync=False)).start(QUICK.replace('"5s"', '"1h"'))
    world.wait_for_refresh()
    directory = world.directories[0]
    directory.put("fresh", snowthreadNetwork=["13.1.0.0/16"], snowthreadQuota=1)
    now = world.now
    assert world.tenants.identify("13.1.2.3", None, now).tenant_id == "default"
    assert world.tenants.unknown_clients.request_lookup(
        "13.1.2.3", now
    ) and world.tenants.unknown_clients.request_lookup("14.0.0.1", now)
    world.replicator.wake()
    world.run(400.0)
    assert (
        "fresh" in world.tenant_names and world.tenants.identify("13.1.2.3", None, now).tenant_id != "default"
    )
    assert world.tenants.counters.lookups_not_found == 1 and not world.tenants.unknown_clients.request_lookup(
        "14.0.0.1", world.now
    )


def test_lookups_during_a_stall_time_out_and_stay_bounded(new_world: NewWorld) -> None:
    world = new_world().start(QUICK)
    world.wait_for_refresh()
    world.directories[0].faults.stall = True
    for n in range(500):
        world.tenants.unknown_clients.request_lookup(f"13.0.{n >> 8}.{n & 255}", world.now)
    world.replicator.wake()
    world.run(10_000.0)
    assert world.tenants.unknown_clients.waiting <= 256 and len(world.tenants.unknown_clients) <= 256 + 8


def test_other_servers_are_taken_up_in_the_middle_of_a_refresh(new_world: NewWorld) -> None:
    world = new_world(2).start(QUICK, servers=None)
    first, second = world.directories
    first.faults.stall_at = 900
    world.run(500.0)
    world.replicator.apply_settings(settings([f"ldap://{second.address}"], QUICK))
    world.wait_until(lambda: world.tenant_names == ALL, timeout_ms=2_000.0)
    assert world.replicator.connected_server == f"ldap://{second.address}"


def test_a_wrong_password_needs_the_operator_and_is_never_logged(
    new_world: NewWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    from loguru import logger

    monkeypatch.setenv("WORLD_PASSWORD", "hunter2")
    logged: list[str] = []
    sink = logger.add(lambda m: logged.append(str(m) + json.dumps(m.record["extra"], default=str)), level=0)
    world = new_world(capabilities=Capabilities(passwords={"cn=node": "other"}))
    world.start(QUICK + 'bind {\n dn = "cn=node"\n password_env = "WORLD_PASSWORD"\n }')
    world.run(20_000.0)
    logger.remove(sink)
    assert 1 <= world.directories[0].binds <= 4 and any("code 49" in line for line in logged)
    assert world.replicator.server_selector.breakers[0].state(world.now - 1e6) is CircuitState.OPEN
    assert not any("hunter2" in line for line in logged) and "hunter2" not in repr(world.replicator.settings)


def test_a_cold_start_waits_for_a_directory_that_is_down(new_world: NewWorld) -> None:
    world = new_world()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        world.start(QUICK, servers=["ldap://{}:{}".format(*taken.getsockname()), *world.urls])
        world.wait_until(lambda: world.tenant_names == ALL, timeout_ms=5_000.0)
    assert world.replicator.connection_failures == 1
