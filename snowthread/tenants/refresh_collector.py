"""Collect the messages of a refresh until it completes, without I/O.

A refresh takes effect only when it is complete. If it is interrupted, its collector is discarded, so that it
adds and removes no tenants, and its cookie is not used.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.tenants.directory_query import DirectoryQuery
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import Tenant
from snowthread.tenants.sync_events import RefreshCompleted

MAX_REPORTED_BAD_ENTRIES = 100


@dataclass(slots=True)
class RefreshCollector:
    """The messages of one refresh; if it ``is_full``, entries that it does not mention are deleted."""

    is_full: bool = True
    upserts: dict[str, Tenant] = field(default_factory=dict)
    present_ids: set[str] = field(default_factory=set)
    removed_ids: set[str] = field(default_factory=set)
    bad_entries: list[BadEntry] = field(default_factory=list)
    network_count: int = 0
    cookie: bytes | None = None

    def add_entry(self, entry: Tenant | BadEntry) -> None:
        """Add an entry that was received with its content."""
        if isinstance(entry, BadEntry):
            self._add_bad_entry(entry)
            return
        self.upserts[entry.id] = entry
        self.removed_ids.discard(entry.id)
        self.network_count += len(entry.networks)

    def mark_present(self, tenant_ids: tuple[str, ...]) -> None:
        """Add entries that exist and have not changed since the cookie."""
        self.present_ids.update(tenant_ids)

    def mark_removed(self, tenant_ids: tuple[str, ...]) -> None:
        """Add entries that were deleted since the cookie."""
        self.removed_ids.update(tenant_ids)
        for tenant_id in tenant_ids:
            self.upserts.pop(tenant_id, None)
            self.present_ids.discard(tenant_id)

    def save_cookie(self, cookie: bytes | None) -> None:
        """Store the cookie of a message if it has one; the last cookie is valid for the complete refresh."""
        self.cookie = cookie or self.cookie

    def limit_violation(self, query: DirectoryQuery) -> str:
        """Return which limit of the query is exceeded, or an empty string if none is."""
        id_count = max(len(self.upserts), len(self.present_ids), len(self.removed_ids))
        if id_count > query.max_tenants:
            return f"refresh has more than {query.max_tenants} tenants, the limit in limits.tenants"
        if self.network_count > query.max_networks:
            return f"refresh has more than {query.max_networks} networks, the limit in limits.networks"
        return ""

    def completed(self) -> RefreshCompleted:
        """Return the event for the completed refresh."""
        return RefreshCompleted(
            upserts=self.upserts,
            present_ids=frozenset(self.present_ids),
            removed_ids=frozenset(self.removed_ids),
            is_full=self.is_full,
            bad_entries=tuple(self.bad_entries),
        )

    def _add_bad_entry(self, entry: BadEntry) -> None:
        # The entry exists in the directory, so a known tenant is not removed and keeps its previous values.
        if entry.tenant_id:
            self.present_ids.add(entry.tenant_id)
        if len(self.bad_entries) < MAX_REPORTED_BAD_ENTRIES:
            self.bad_entries.append(entry)
