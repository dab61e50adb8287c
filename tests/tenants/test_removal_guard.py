"""Which removals are applied at once, pending, confirmed by a refresh or accepted by the operator."""

from __future__ import annotations

from snowthread.tenants.removal_guard import RemovalGuard, RemovalRules

RULES = RemovalRules(max_share=0.1, min_allowance=2, confirm_after_ms=60_000.0)
OPERATOR_ONLY = RemovalRules(confirm_by_refresh=False)
TENANTS = 100


def ids(*numbers: int) -> frozenset[str]:
    return frozenset(f"t{number}" for number in numbers)


def guard_of_server_a() -> RemovalGuard:
    guard = RemovalGuard(RULES)
    guard.evaluate_full_refresh((), TENANTS, "a", 0.0)
    return guard


def test_few_removals_are_applied_and_many_are_pending() -> None:
    guard = guard_of_server_a()
    assert guard.evaluate_full_refresh(ids(1, 2), TENANTS, "a", 1.0).removed_ids == ids(1, 2)
    decision = guard.evaluate_full_refresh(ids(*range(10, 30)), 98, "a", 2.0)
    assert not decision.removed_ids and decision.newly_pending and decision.pending is not None
    assert guard.confirmation_due_at() == 2.0 + 60_000.0


def test_a_slow_removal_of_everything_is_pending_too() -> None:
    guard = guard_of_server_a()
    removed = 0
    for number in range(TENANTS):  # one at a time, like a script that deletes all entries
        decision = guard.evaluate_deletions(ids(number), TENANTS - removed, "a", number * 1000.0)
        removed += len(decision.removed_ids)
    assert removed == 10


def test_a_second_refresh_confirms_only_what_it_misses_too_and_only_when_due() -> None:
    guard = guard_of_server_a()
    guard.evaluate_full_refresh(ids(*range(50)), TENANTS, "a", 0.0)
    assert not guard.evaluate_full_refresh(ids(*range(50)), TENANTS, "a", 59_000.0).removed_ids
    decision = guard.evaluate_full_refresh(ids(*range(10, 60)), TENANTS, "a", 60_000.0)
    assert decision.removed_ids == ids(*range(10, 50))
    assert decision.pending is not None
    assert decision.pending.tenant_ids == ids(*range(50, 60))  # missing for the first time


def test_a_tenant_that_reappears_is_no_longer_pending() -> None:
    guard = guard_of_server_a()
    guard.evaluate_full_refresh(ids(*range(50)), TENANTS, "a", 0.0)
    guard.mark_present(ids(*range(49)))
    assert guard.pending is not None and guard.pending.tenant_ids == ids(49)
    assert not guard.evaluate_full_refresh((), TENANTS, "a", 1.0).pending


def test_another_servers_report_alone_removes_nothing() -> None:
    guard = guard_of_server_a()
    decision = guard.evaluate_full_refresh(ids(1), TENANTS, "b", 1.0)
    assert not decision.removed_ids and decision.pending is not None
    assert "another server" in decision.pending.reason
    assert guard.evaluate_full_refresh(ids(1), TENANTS, "b", 61_000.0).removed_ids == ids(1)
    assert guard.source_server == "b"


def test_only_the_operator_confirms_by_digest_if_so_configured() -> None:
    guard = RemovalGuard(OPERATOR_ONLY)
    guard.source_server = "a"
    removal = guard.evaluate_full_refresh(ids(*range(50)), TENANTS, "a", 0.0).pending
    assert removal is not None and guard.confirmation_due_at() is None
    assert not guard.evaluate_full_refresh(ids(*range(50)), TENANTS, "a", 1e9).removed_ids
    known = ids(*range(TENANTS))
    guard.rules = RemovalRules(confirm_by_refresh=False, accepted_digest="000000000000")
    assert not guard.take_accepted(known)
    guard.rules = RemovalRules(confirm_by_refresh=False, accepted_digest=removal.digest)
    assert guard.take_accepted(known) == ids(*range(50)) and guard.pending is None


def test_a_refresh_that_misses_what_the_operator_accepted_removes_it() -> None:
    guard = RemovalGuard(OPERATOR_ONLY)
    removal = guard.evaluate_full_refresh(ids(*range(50)), TENANTS, "a", 0.0).pending
    assert removal is not None
    guard.rules = RemovalRules(confirm_by_refresh=False, accepted_digest=removal.digest)
    assert guard.evaluate_full_refresh(ids(*range(50)), TENANTS, "a", 1.0).removed_ids == ids(*range(50))
