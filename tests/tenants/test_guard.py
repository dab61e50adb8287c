"""Removals, age, strangers: what is believed and for how long."""

from __future__ import annotations

from dataclasses import replace
from ipaddress import ip_network

from snowthread.tenants.model import DEFAULT_TENANT_ID, Status, Tenant
from snowthread.tenants.removal_guard import RemovalGuard, RemovalRules
from snowthread.tenants.staleness import StalenessRules, StalenessStage, StalenessTracker
from snowthread.tenants.state import TenantRules, TenantState
from snowthread.tenants.sync import EntriesChanged, RefreshCompleted
from snowthread.tenants.unknown_clients import UnknownClientRules, UnknownClients, lookup_filter

RULES = RemovalRules(max_share=0.1, min_allowance=2, confirm_after_ms=60_000.0)


def ids(*numbers: int) -> frozenset[str]:
    return frozenset(f"t{n}" for n in numbers)


def at_home() -> RemovalGuard:
    guard = RemovalGuard(RULES)
    guard.judge_full_refresh((), 100, "a", 0.0)
    return guard


def test_few_removals_from_the_known_server_are_believed_and_many_are_held() -> None:
    guard = at_home()
    assert guard.judge_full_refresh(ids(1, 2), 100, "a", 1.0).removed_ids == ids(1, 2)
    verdict = guard.judge_full_refresh(ids(*range(10, 30)), 98, "a", 2.0)
    assert not verdict.removed_ids and verdict.newly_held and verdict.held is not None
    assert guard.confirmation_due_at() == 2.0 + 60_000.0


def test_slow_removal_of_everything_is_held_too() -> None:
    guard, removed = at_home(), 0
    for n in range(100):  # one by one, as a script that empties the tree would
        removed += len(guard.judge_deletions(ids(n), 100 - removed, "a", n * 1000.0).removed_ids)
    assert removed == 10


def test_a_second_refresh_confirms_only_what_it_misses_too_and_only_in_time() -> None:
    guard = at_home()
    guard.judge_full_refresh(ids(*range(50)), 100, "a", 0.0)
    assert not guard.judge_full_refresh(ids(*range(50)), 100, "a", 59_000.0).removed_ids
    verdict = guard.judge_full_refresh(ids(*range(10, 60)), 100, "a", 60_000.0)
    assert verdict.removed_ids == ids(*range(10, 50))
    assert verdict.held is not None and verdict.held.tenant_ids == ids(*range(50, 60))  # for the first time


def test_what_comes_back_is_missing_no_more() -> None:
    guard = at_home()
    guard.judge_full_refresh(ids(*range(50)), 100, "a", 0.0)
    guard.mark_present(ids(*range(49)))
    assert guard.held is not None and guard.held.tenant_ids == ids(49)
    assert not guard.judge_full_refresh((), 100, "a", 1.0).held


def test_another_servers_word_alone_removes_nothing() -> None:
    guard = at_home()
    verdict = guard.judge_full_refresh(ids(1), 100, "b", 1.0)
    assert not verdict.removed_ids and verdict.held is not None and "another server" in verdict.held.reason
    assert (
        guard.judge_full_refresh(ids(1), 100, "b", 61_000.0).removed_ids == ids(1)
        and guard.source_server == "b"
    )


def test_an_operator_accepts_by_digest_and_nobody_else_can_where_so_set() -> None:
    guard = RemovalGuard(RemovalRules(confirm_by_refresh=False))
    guard.source_server = "a"
    held = guard.judge_full_refresh(ids(*range(50)), 100, "a", 0.0).held
    assert held is not None and guard.confirmation_due_at() is None
    assert not guard.judge_full_refresh(ids(*range(50)), 100, "a", 1e9).removed_ids
    guard.rules = RemovalRules(confirm_by_refresh=False, accepted_digest="000000000000")
    assert not guard.take_accepted(ids(*range(100)))
    guard.rules = RemovalRules(confirm_by_refresh=False, accepted_digest=held.digest)
    assert guard.take_accepted(ids(*range(100))) == ids(*range(50)) and guard.held is None


def test_the_ladder_goes_down_with_age_and_up_at_once() -> None:
    ladder = StalenessTracker(StalenessRules(stale_ms=1000.0, old_ms=5000.0))
    assert ladder.take_stage_change(0.0) is None and ladder.stage(0.0) is StalenessStage.NONE
    ladder.confirm(100.0)
    seen = [ladder.take_stage_change(t) for t in (100.0, 1100.0, 1101.0, 5100.0, 5101.0)]
    assert seen == [StalenessStage.FRESH, None, StalenessStage.STALE, None, StalenessStage.OLD]
    assert ladder.age_ms(50.0) == 0.0  # a clock set back makes nothing older
    ladder.confirm(6000.0)
    assert ladder.take_stage_change(6000.0) is StalenessStage.FRESH


def tenancy(**more: object) -> TenantState:
    rules = TenantRules(
        removal=RULES, staleness=StalenessRules(1000.0, 5000.0, default_when_old=True), **more
    )  # type: ignore[arg-type]
    out = TenantState(rules)
    made = {
        f"t{n}": Tenant(
            f"t{n}",
            f"name{n}",
            Status.SUSPENDED if n == 2 else Status.ACTIVE,
            5.0,
            (ip_network(f"10.{n}.0.0/16"),),
            modified_at=f"2026010100000{n}",
        )
        for n in range(4)
    }
    out.apply_refresh(RefreshCompleted(made, frozenset(), frozenset(), True), "a", 0.0)
    return out


def test_old_knowledge_shares_the_default_part_where_so_set_but_a_suspension_holds() -> None:
    t = tenancy()
    assert t.identify("10.1.0.1", None, 5000.0).tenant_id == "t1"
    assert t.identify("10.1.0.1", None, 5001.0).tenant_id == DEFAULT_TENANT_ID
    assert t.identify("10.2.0.1", None, 5001.0).tenant_id == "t2"


def test_older_contents_change_nothing_and_a_spoilt_entry_leaves_what_was() -> None:
    t = tenancy()
    old = t.table.tenants["t1"]
    t.apply_change(
        EntriesChanged({"t1": replace(old, quota_per_s=9.0, modified_at="20250101000000Z")}), "a", 1.0
    )
    assert t.table.tenants["t1"] == old and t.counters.outdated_entries == 1
    news = t.apply_change(
        EntriesChanged({"t1": replace(old, quota_per_s=9.0, name="other", modified_at="2027")}), "a", 2.0
    )
    assert [s.quota_per_s for s in news.quotas] == [9.0] and news.log_lines[0].event == "tenants.renamed"
    again = EntriesChanged({"t1": replace(old, quota_per_s=9.0, name="x", modified_at="2027")})
    assert not t.apply_change(again, "a", 3.0).quotas


def test_one_question_a_caller_and_a_no_is_remembered_for_a_while() -> None:
    u = UnknownClients(
        UnknownClientRules(
            negative_ttl_ms=1000.0,
            max_negative_entries=3,
            max_waiting=4,
            max_in_flight=2,
            lookups_per_s=100.0,
        )
    )
    assert u.request_lookup("10.0.0.1", 0.0) and not u.request_lookup("10.0.0.1", 0.0)
    assert (
        u.start_next_lookup(10.0) == "10.0.0.1"
        and u.start_next_lookup(10.0) is None
        and not u.request_lookup("10.0.0.1", 11.0)
    )
    u.finish_lookup("10.0.0.1", False, 20.0)
    assert not u.request_lookup("10.0.0.1", 1019.0) and u.request_lookup("10.0.0.1", 1020.0)
    for n in range(50):  # a crowd of strangers
        u.request_lookup(f"10.1.0.{n}", 1020.0)
    assert u.waiting == 4 and u.lookups_dropped == 47
    assert (
        u.start_next_lookup(1030.0) and u.start_next_lookup(1030.0) and u.start_next_lookup(1030.0) is None
    )  # two in flight
    u.abort_lookups()
    for n in range(9):
        u.finish_lookup(f"10.2.0.{n}", False, 1040.0)
    assert u.negative_cache_size == 3
    u.clear_negative_cache()
    assert u.negative_cache_size == 0


def test_questions_a_second_are_bounded() -> None:
    u = UnknownClients(UnknownClientRules(max_in_flight=32, lookups_per_s=5.0, max_waiting=1000))
    sent = 0
    for ms in range(0, 10_000, 10):
        u.request_lookup(f"10.{ms // 2560}.{ms // 10 % 256}.1", float(ms))
        address = u.start_next_lookup(float(ms))
        if address:
            sent += 1
            u.finish_lookup(address, True, float(ms))
    assert sent <= 5 * 10 + 5


def test_a_question_names_every_prefix_round_the_caller() -> None:
    made = lookup_filter("10.1.2.3", "net", UnknownClientRules(ipv4_prefix_lengths=(8, 24, 32)))
    assert made is not None
    assert [t[1]["value"] for t in made[1]] == [b"10.0.0.0/8", b"10.1.2.0/24", b"10.1.2.3/32", b"10.1.2.3"]
    assert lookup_filter("nonsense", "net", UnknownClientRules()) is None


def test_strangers_never_take_a_tenant_away_or_change_one() -> None:
    t = tenancy()
    t.unknown_clients.request_lookup("11.0.0.1", 0.0)
    assert t.unknown_clients.start_next_lookup(100.0) == "11.0.0.1"
    news = t.apply_lookup("11.0.0.1", [replace(t.table.tenants["t1"], quota_per_s=1e6)], (), 100.0)
    assert not news.quotas and t.table.tenants["t1"].quota_per_s == 5.0 and t.counters.lookups_not_found == 1
