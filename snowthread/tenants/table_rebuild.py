"""Build a table of tenants in slices, with a pause for other tasks after each. Pure.

A table of a hundred thousand networks takes most of a second to build, too long for requests to wait.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Sequence
from dataclasses import dataclass

from snowthread.tenants.model import Network, Tenant
from snowthread.tenants.table import TableChanges, TenantTable

MAX_ITEMS_PER_SLICE = 300  # tenants and networks: one or two milliseconds


@dataclass(frozen=True, slots=True)
class RebuiltTable:
    """A new table, and how it differs from the old one."""

    table: TenantTable
    changes: TableChanges


def fits_in_one_slice(upserts: Collection[Tenant], removed_ids: Collection[str]) -> bool:
    """Return whether the present table can take these changes without a pause."""
    return sum(map(_item_count, upserts)) + len(removed_ids) <= MAX_ITEMS_PER_SLICE


def rebuild_in_slices(
    old: TenantTable,
    upserts: list[Tenant],
    removed_ids: Collection[str],
    trusted_networks: Sequence[Network],
) -> Generator[None, None, RebuiltTable]:
    """Build a table with these changes, yielding between slices; the old table is not touched."""
    tenants = {**old.tenants, **{tenant.id: tenant for tenant in upserts}}
    for tenant_id in removed_ids:
        del tenants[tenant_id]
    table = TenantTable(trusted_networks)
    table.version = old.version
    conflicts = []
    item_count = 0
    for tenant in tenants.values():
        conflicts += table.apply((tenant,)).conflicts
        item_count += _item_count(tenant)
        if item_count >= MAX_ITEMS_PER_SLICE:
            item_count = 0
            yield
    known_conflicts = set(old.conflicts)
    removed = [old.tenants[tenant_id] for tenant_id in removed_ids]
    new_conflicts = [conflict for conflict in conflicts if conflict not in known_conflicts]
    return RebuiltTable(table, TableChanges(upserts, removed, new_conflicts))


def _item_count(tenant: Tenant) -> int:
    """Return the tenant's part of a slice: itself and its networks."""
    return 1 + len(tenant.networks)
