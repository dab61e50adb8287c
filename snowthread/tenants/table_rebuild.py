"""Build a tenant table in slices, so that other tasks can run between them, without I/O.

A table of a hundred thousand networks takes most of a second to build, too long to block requests.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Sequence
from dataclasses import dataclass

from snowthread.tenants.model import Network, Tenant
from snowthread.tenants.table import TableChanges, TenantTable

# Tenants and networks after which a slice ends; the tenant that reaches this number is still in the slice.
# A slice takes one or two milliseconds.
ITEMS_PER_SLICE = 300


@dataclass(frozen=True, slots=True)
class RebuiltTable:
    """A new table and its differences from the old one."""

    table: TenantTable
    changes: TableChanges


def fits_in_one_slice(upserts: Collection[Tenant], removed_ids: Collection[str]) -> bool:
    """Return whether these changes are few enough to be applied to the existing table without a pause."""
    return sum(map(_item_count, upserts)) + len(removed_ids) <= ITEMS_PER_SLICE


def rebuild_in_slices(
    old: TenantTable,
    upserts: list[Tenant],
    removed_ids: Collection[str],
    trusted_networks: Sequence[Network],
) -> Generator[None, None, RebuiltTable]:
    """Build a table with these changes, yielding between slices; the old table is not modified."""
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
        if item_count >= ITEMS_PER_SLICE:
            item_count = 0
            yield
    known_conflicts = set(old.conflicts)
    removed = [old.tenants[tenant_id] for tenant_id in removed_ids]
    new_conflicts = [conflict for conflict in conflicts if conflict not in known_conflicts]
    return RebuiltTable(table, TableChanges(upserts, removed, new_conflicts))


def _item_count(tenant: Tenant) -> int:
    """Return how many items of a slice a tenant counts as: itself and its networks."""
    return 1 + len(tenant.networks)
