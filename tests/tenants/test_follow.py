"""The follower against stand-in directories that stall, cut, lie and come back, on a clock the test moves."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import pytest
from support.directory_world import World, settings

from emulators.directory import Habits
from snowthread.ldap.circuit_breaker import CircuitState
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.staleness import StalenessStage
from snowthread.tenants.state import TenantState
from snowthread.tenants.sync import ReplicationMode, ReplicationState

ALL = {f"t{n}" for n in range(10)}
QUICK = 'operation = "2s"\n probe = "1s"\n poll = "5s"\n'


@pytest.fixture
def worlds() -> Iterator[Callable[..., World]]:
    made: list[World] = []

    def make(*args: object, **more: object) -> World:
        made.append(World(*args, **more))  # type: ignore[arg-type]
        return made[-1]

    yield make
    for world in made:
        world.close()


def test_it_refreshes_then_follows_each_change(worlds: Callable[..., World]) -> None:
    w = worlds().start(QUICK)
    w.synced()
    assert w.names == ALL and w.follower.sync.state is ReplicationState.FOLLOWING
    d = w.directories[0]
    d.put("t1", snowthreadNetwork=["11.0.0.0/8"], snowthreadQuota=7)
    d.remove("t2")
    d.rename("t3", "t3b")
    w.run(200.0)
    assert w.names == ALL - {"t2", "t3"} | {"t3b"}
    assert w.tenancy.identify("11.2.3.4", None, w.clock.now_ms).tenant_id != "default"
    assert w.tenancy.identify("10.1.0.1", None, w.clock.now_ms).tenant_id == "default"
    assert d.searches == 1 and w.tenancy.counters.refreshes == 1


@pytest.mark.parametrize(
    ("habits", "mode"),
    [(Habits(persist=False), ReplicationMode.REFRESH), (Habits(sync=False), ReplicationMode.PAGED)],
)
def test_a_server_that_lacks_a_way_is_asked_the_next(
    worlds: Callable[..., World], habits: Habits, mode: ReplicationMode
) -> None:
    w = worlds(tenants=25, habits=habits).start(QUICK + "page_size = 10\n removal { share = 0.5 }")
    w.synced()
    assert len(w.names) == 25 and w.follower.sync.mode is mode
    w.directories[0].put("new", snowthreadQuota=1)
    w.directories[0].remove("t7")
    w.until(lambda: "new" in w.names and "t7" not in w.names, most=7_000.0)  # with the next period
    assert w.follower.sync.mode is mode and w.follower.connection_failures == 0


@pytest.mark.parametrize("at", [0, 1, 14, 40, 120, 700, 1500, 2400])
def test_a_stall_of_30_s_at_any_byte_is_survived(
    worlds: Callable[..., World], at: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # 0: it accepts and says nothing; 14: the bind's answer; later: mid-entry and mid-refresh.
    w = worlds(habits=Habits(passwords={"cn=node": "pw"}))
    monkeypatch.setenv("WORLD_PASSWORD", "pw")
    w.start(QUICK + 'bind {\n dn = "cn=node"\n password_env = "WORLD_PASSWORD"\n }\n retry { open = "1s" }')
    w.directories[0].faults.stall_at = at
    w.run(30_000.0)
    assert not w.names and w.follower.connection_failures >= 3
    assert w.tenancy.staleness.stage(w.clock.now_ms) is StalenessStage.NONE
    w.directories[0].faults.stall_at = None
    w.directories[0].nudge()
    assert w.until(lambda: w.names == ALL) <= 30_000.0


def test_a_stall_while_following_is_noticed_known_tenants_stay_and_it_catches_up(
    worlds: Callable[..., World],
) -> None:
    w = worlds().start(QUICK + 'staleness { stale_after = "5s"\n old_after = "20s"\n }')
    w.synced()
    d = w.directories[0]
    d.faults.stall = True
    d.remove("t9")
    w.run(6_000.0)
    assert w.tenancy.staleness.stage(w.clock.now_ms) is StalenessStage.STALE
    w.run(24_000.0)
    assert w.names == ALL and w.tenancy.staleness.stage(w.clock.now_ms) is StalenessStage.OLD
    assert w.tenancy.identify("10.9.0.1", None, w.clock.now_ms).tenant_id != "default"
    d.faults.stall = False
    d.nudge()
    w.until(lambda: w.names == ALL - {"t9"}, most=60_000.0)  # by its cookie, and t9's removal is named
    assert w.tenancy.staleness.stage(w.clock.now_ms) is StalenessStage.FRESH


@pytest.mark.parametrize("cut", range(10))
def test_a_refresh_cut_at_any_message_changes_nothing(worlds: Callable[..., World], cut: int) -> None:
    w = worlds().start(QUICK + 'removal { share = 1.0 }\n retry { open = "1s" }')
    w.synced()
    d = w.directories[0]
    d.faults.stall = True  # what changes now is not heard by following
    d.remove("t0")
    d.remove("t1")
    d.put("late", snowthreadQuota=1)
    d.expire_cookies()
    for peer in list(d.peers):
        w.loop.end_task(peer.task)
    # At the second try nine entries and the word that the refresh is through: ten messages.
    d.faults.stall, d.faults.cut_at = False, cut
    w.run(5_000.0)
    assert w.names == ALL and w.follower.connection_failures >= 2 and w.tenancy.counters.refreshes == 1
    d.faults.cut_at = None
    w.until(lambda: w.names == ALL - {"t0", "t1"} | {"late"})


def test_fail_over_to_a_server_with_older_contents_forgets_nothing(worlds: Callable[..., World]) -> None:
    w = worlds(2)
    first, second = w.directories
    first.put("newest", snowthreadNetwork=["12.0.0.0/8"], snowthreadQuota=3)
    first.put("t1", snowthreadNetwork=["10.1.0.0/16"], snowthreadQuota=99)
    w.start(QUICK + 'removal { confirm_after = "1h" }')
    w.synced()
    cookie = w.follower.sync.cookie
    first.faults.refuse = True
    first.notice()
    w.until(lambda: w.follower.sync.cookie_server == f"ldap://{second.address}")
    assert "newest" in w.names and w.follower.server_selector.fail_overs == 1
    assert w.follower.sync.cookie != cookie  # each server's own
    quota = {t.name: t.quota_per_s for t in w.tenancy.table.tenants.values()}
    assert quota["t1"] == 99.0  # the older entry did not win
    assert w.said("tenants.removal_held") and w.tenancy.guard.held is not None
    first.faults.refuse = False
    second.faults.refuse = True
    second.notice()
    w.until(lambda: w.follower.connected_server == f"ldap://{first.address}" and w.tenancy.guard.held is None)
    assert "newest" in w.names


def test_fail_over_in_the_middle_of_a_refresh(worlds: Callable[..., World]) -> None:
    w = worlds(2).start(QUICK)
    w.directories[0].faults.stall_at = 900
    w.until(lambda: w.names == ALL, most=10_000.0)
    assert w.follower.connected_server == f"ldap://{w.directories[1].address}"
    assert w.follower.sync.cookie_server == w.follower.connected_server


def test_an_expired_cookie_means_a_whole_refresh(worlds: Callable[..., World]) -> None:
    w = worlds().start(QUICK)
    w.synced()
    d = w.directories[0]
    d.faults.stall = True  # nothing of this is heard
    d.remove("t1")
    d.expire_cookies()
    d.gone.clear()
    w.run(4_000.0)
    d.faults.stall = False
    d.nudge()
    w.until(lambda: w.names == ALL - {"t1"})
    assert w.tenancy.counters.refreshes == 2


def test_an_emptied_tree_takes_nobody_away_until_confirmed(worlds: Callable[..., World]) -> None:
    w = worlds().start(QUICK + 'removal { confirm_after = "20s" }')
    w.synced()
    d = w.directories[0]
    for n in range(10):
        d.remove(f"t{n}")
    w.run(10_000.0)
    assert len(w.names) == 8  # the first two went as single removals may
    d.put("t9", snowthreadNetwork=["10.9.0.0/16"])
    w.until(lambda: w.names == {"t9"}, most=40_000.0)


@pytest.mark.parametrize("code", [3, 10, 50, 51, 52, 80])
def test_a_search_that_ends_in_an_error_deletes_nothing_and_is_not_hammered(
    worlds: Callable[..., World], code: int
) -> None:
    w = worlds().start(QUICK + 'retry { open = "2s"\n open_most = "8s" }')
    w.synced()
    d = w.directories[0]
    d.faults.search_code = code
    searches = d.searches
    d.notice()
    w.run(60_000.0)
    assert w.names == ALL and 2 <= d.searches - searches <= 30
    d.faults.search_code = 0
    w.until(lambda: w.tenancy.counters.refreshes == 2)


def test_a_size_limit_leads_to_pages(worlds: Callable[..., World]) -> None:
    w = worlds(tenants=40)
    w.directories[0].faults.size_limit = 15
    w.start(QUICK + "page_size = 10")
    w.synced()
    assert len(w.names) == 40 and w.follower.sync.mode is ReplicationMode.PAGED


HOSTILE: dict[str, Callable[[int, bytes], bytes | None]] = {
    "wrong number": lambda n, data: data[:4] + bytes([data[4] + 1]) + data[5:] if data[1] < 0x80 else b"\x30",
    "garbage": lambda n, data: b"\x9f\x85" * 400,
    "truncated": lambda n, data: data[:-3],
    "3 GB": lambda n, data: b"\x30\x84\xc0\x00\x00\x00" + b"x" * 5000,
    "nested": lambda n, data: b"\x30\x82\x0f\xa0" + b"\x30\x82\x0f\x00" * 1000,
    "endless": lambda n, data: b"\x30\x83\x07\xff\xff" + b"\x04\x00" * 30_000,
    "closed": lambda n, data: None,
    "inner length": lambda n, data: data[:5] + b"\x64\x7f" + data[7:],
    "half now and then": lambda n, data: data if n % 2 else data[:10],
}


@pytest.mark.parametrize("kind", HOSTILE)
def test_a_hostile_server_costs_bounded_memory_and_no_tenant(worlds: Callable[..., World], kind: str) -> None:
    w = worlds().start(QUICK + 'retry { open = "2s" }\n limits { message_bytes = 65536 }')
    w.synced()
    d = w.directories[0]
    d.faults.mangle = HOSTILE[kind]
    for peer in list(d.peers):
        w.loop.end_task(peer.task)
    held = 0
    for _ in range(60):
        w.run(500.0, 100.0)
        link = w.follower._task.steps
        assert link is not None
        held = max(held, sum(len(p._out) for p in d.peers))
    assert w.names == ALL and w.follower.connection_failures >= 2
    d.faults.mangle = None
    w.until(lambda: w.tenancy.counters.refreshes >= 2 and w.follower.connected_server != "")


def test_a_slow_drip_is_left_after_the_time_for_a_whole_refresh(worlds: Callable[..., World]) -> None:
    w = worlds(2).start('operation = "15s"\n refresh = "20s"')
    w.directories[0].faults.drip_ms = 20.0  # an entry in seven seconds or so: never silent for long
    w.until(lambda: w.names == ALL, most=30_000.0)
    assert w.follower.connected_server == f"ldap://{w.directories[1].address}"


def test_nodes_that_start_at_once_do_not_ask_at_once(worlds: Callable[..., World]) -> None:
    w = worlds()
    made = replace(settings(w.urls), start_jitter_ms=2000.0)
    for seed in range(30):
        DirectoryReplicator(w.loop, made, TenantState(made.rules), Random(seed), lambda news: None)
    w.run(2_500.0, 10.0)
    at = sorted(w.directories[0].opened_at)
    assert len(at) == 30 and at[-1] - at[0] > 1_200.0
    assert max(sum(1 for t in at if a <= t < a + 100.0) for a in at) <= 8  # of 30, in any tenth of a second


def test_after_an_outage_a_fleet_does_not_come_back_in_one_instant(worlds: Callable[..., World]) -> None:
    w = worlds()
    made = settings(w.urls, QUICK)
    for seed in range(30):
        DirectoryReplicator(w.loop, made, TenantState(made.rules), Random(seed), lambda news: None)
    w.run(500.0, 10.0)
    d = w.directories[0]
    d.opened_at.clear()
    d.notice()
    w.run(2_000.0, 10.0)
    at = sorted(d.opened_at)
    assert len(at) == 30 and max(sum(1 for t in at if a <= t < a + 20.0) for a in at) <= 9


def test_questions_about_strangers_find_whom_polling_has_not_seen(worlds: Callable[..., World]) -> None:
    w = worlds(habits=Habits(sync=False)).start(QUICK.replace('"5s"', '"1h"'))
    w.synced()
    d = w.directories[0]
    d.put("fresh", snowthreadNetwork=["13.1.0.0/16"], snowthreadQuota=1)
    now = w.clock.now_ms
    assert w.tenancy.identify("13.1.2.3", None, now).tenant_id == "default"
    assert w.tenancy.unknown_clients.request_lookup(
        "13.1.2.3", now
    ) and w.tenancy.unknown_clients.request_lookup("14.0.0.1", now)
    w.follower.wake()
    w.run(400.0)
    assert "fresh" in w.names and w.tenancy.identify("13.1.2.3", None, now).tenant_id != "default"
    assert w.tenancy.counters.lookups_not_found == 1 and not w.tenancy.unknown_clients.request_lookup(
        "14.0.0.1", w.clock.now_ms
    )


def test_questions_into_a_stall_end_in_time_and_are_not_piled_up(worlds: Callable[..., World]) -> None:
    w = worlds().start(QUICK)
    w.synced()
    w.directories[0].faults.stall = True
    for n in range(500):
        w.tenancy.unknown_clients.request_lookup(f"13.0.{n >> 8}.{n & 255}", w.clock.now_ms)
    w.follower.wake()
    w.run(10_000.0)
    assert w.tenancy.unknown_clients.waiting <= 256 and len(w.tenancy.unknown_clients) <= 256 + 8


def test_servers_and_credentials_move_in_the_middle_of_a_refresh(worlds: Callable[..., World]) -> None:
    w = worlds(2).start(QUICK, servers=None)
    first, second = w.directories
    first.faults.stall_at = 900
    w.run(500.0)
    w.follower.apply_settings(settings([f"ldap://{second.address}"], QUICK))
    w.until(lambda: w.names == ALL, most=2_000.0)
    assert w.follower.connected_server == f"ldap://{second.address}"


def test_a_wrong_password_is_left_to_people_and_never_logged(
    worlds: Callable[..., World], monkeypatch: pytest.MonkeyPatch
) -> None:
    from loguru import logger

    monkeypatch.setenv("WORLD_PASSWORD", "hunter2")
    logged: list[str] = []
    sink = logger.add(lambda m: logged.append(str(m) + json.dumps(m.record["extra"], default=str)), level=0)
    w = worlds(habits=Habits(passwords={"cn=node": "other"}))
    w.start(QUICK + 'bind {\n dn = "cn=node"\n password_env = "WORLD_PASSWORD"\n }')
    w.run(20_000.0)
    logger.remove(sink)
    assert 1 <= w.directories[0].binds <= 4 and any("code 49" in line for line in logged)
    assert w.follower.server_selector.breakers[0].state(w.clock.now_ms - 1e6) is CircuitState.OPEN
    assert not any("hunter2" in line for line in logged) and "hunter2" not in repr(w.follower.settings)


def test_a_directory_down_at_a_cold_start_is_waited_for(worlds: Callable[..., World]) -> None:
    w = worlds()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        w.start(QUICK, servers=["ldap://{}:{}".format(*taken.getsockname()), *w.urls])
        w.until(lambda: w.names == ALL, most=5_000.0)
    assert w.follower.connection_failures == 1
