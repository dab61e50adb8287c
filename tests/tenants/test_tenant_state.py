"""The tenant state: OLD data, outdated entries, lookups, refreshes in slices, bounded log lines."""

from __future__ import annotations

from dataclasses import replace
from ipaddress import ip_network

import pytest

from snowthread.tenants.changes import MAX_LOG_LINES, TenantChanges
from snowthread.tenants.model import DEFAULT_TENANT_ID, Tenant, TenantStatus
from snowthread.tenants.removal_guard import RemovalRules
from snowthread.tenants.rules import TenantRules
from snowthread.tenants.staleness import StalenessRules
from snowthread.tenants.state import TenantState
from snowthread.tenants.sync_events import EntriesChanged, RefreshCompleted
from snowthread.tenants.table_rebuild import ITEMS_PER_SLICE

SERVER = "a"
SUSPENDED_ID = "t2"
RULES = TenantRules(
    removal=RemovalRules(max_share=0.1, min_allowance=2, confirm_after_ms=60_000.0),
    staleness=StalenessRules(1000.0, 5000.0, default_when_old=True),
)


def tenant(number: int) -> Tenant:
    return Tenant(
        f"t{number}",
        f"name{number}",
        TenantStatus.SUSPENDED if f"t{number}" == SUSPENDED_ID else TenantStatus.ACTIVE,
        5.0,
        (ip_network(f"10.{number >> 8}.{number & 255}.0/24"),),
        modified_at=f"2026010100000{number}",
    )


def full_refresh(count: int) -> RefreshCompleted:
    upserts = {f"t{number}": tenant(number) for number in range(count)}
    return RefreshCompleted(upserts, frozenset(), frozenset(), is_full=True)


@pytest.fixture
def tenants() -> TenantState:
    state = TenantState(RULES)
    state.apply_refresh(full_refresh(4), SERVER, 0.0)
    return state


def test_old_tenant_data_leads_to_the_default_tenant_if_so_configured_but_a_suspension_holds(
    tenants: TenantState,
) -> None:
    assert tenants.identify("10.0.1.1", None, 5000.0).tenant_id == "t1"
    assert tenants.identify("10.0.1.1", None, 5001.0).tenant_id == DEFAULT_TENANT_ID
    assert tenants.identify("10.0.2.1", None, 5001.0).tenant_id == SUSPENDED_ID


def test_an_outdated_entry_changes_nothing(tenants: TenantState) -> None:
    known = tenants.table.tenants["t1"]
    outdated = replace(known, quota_per_s=9.0, modified_at="20250101000000Z")
    tenants.apply_change(EntriesChanged({"t1": outdated}), SERVER, 1.0)
    assert tenants.table.tenants["t1"] == known and tenants.counters.outdated_entries == 1


def test_a_changed_entry_changes_the_quota_and_a_rename_alone_does_not(tenants: TenantState) -> None:
    changed = replace(tenants.table.tenants["t1"], quota_per_s=9.0, name="other", modified_at="2027")
    changes = tenants.apply_change(EntriesChanged({"t1": changed}), SERVER, 2.0)
    assert [quota.quota_per_s for quota in changes.quotas] == [9.0]
    assert changes.log_lines[0].event == "tenants.renamed"
    renamed = replace(changed, name="x")
    assert not tenants.apply_change(EntriesChanged({"t1": renamed}), SERVER, 3.0).quotas


def test_a_lookup_never_removes_or_changes_a_tenant(tenants: TenantState) -> None:
    tenants.unknown_clients.queue_lookup("11.0.0.1", 0.0)
    assert tenants.unknown_clients.start_next_lookup(100.0) == "11.0.0.1"
    larger = replace(tenants.table.tenants["t1"], quota_per_s=1e6)
    changes = tenants.apply_lookup("11.0.0.1", [larger], (), 100.0)
    assert not changes.quotas and tenants.table.tenants["t1"].quota_per_s == 5.0
    assert tenants.counters.lookups_not_found == 1


def test_a_large_refresh_is_applied_in_slices_and_changes_nothing_before_the_last() -> None:
    count = 2 * ITEMS_PER_SLICE
    state = TenantState(RULES)
    slices = state.apply_refresh_in_slices(full_refresh(count), SERVER, 0.0)
    pauses = 0
    while True:
        try:
            next(slices)
        except StopIteration as finished:
            changes: TenantChanges = finished.value
            break
        pauses += 1
        assert len(state.table) == 0
    assert pauses >= 3 and len(state.table) == count
    assert len(changes.quotas) == count
    assert state.identify("10.0.1.1", None, 0.0).tenant_id == "t1"


def test_the_log_lines_of_one_step_are_bounded() -> None:
    changes = TenantChanges()
    for number in range(100):
        changes.add_log_line("tenants.removed", str(number))
    assert len(changes.log_lines) == MAX_LOG_LINES + 1
    assert changes.log_lines[-1].event == "tenants.more"
