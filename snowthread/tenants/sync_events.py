"""What a synchronisation with the directory reports: completed refreshes, changes, ends of a search."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from snowthread.ldap.health import Reaction
from snowthread.ldap.messages import SearchRequest
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import Tenant


@dataclass(frozen=True, slots=True)
class RefreshCompleted:
    """A refresh is complete.

    If it ``is_full``, tenants that are neither in ``upserts`` nor in ``present_ids`` are deleted; else
    only those in ``removed_ids`` are.
    """

    upserts: Mapping[str, Tenant]  # by tenant id
    present_ids: frozenset[str]
    removed_ids: frozenset[str]
    is_full: bool
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries changed after the refresh."""

    upserts: Mapping[str, Tenant]  # by tenant id
    removed_ids: frozenset[str] = frozenset()
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class NextPage:
    """The search for the next page, to be sent now."""

    search: SearchRequest


@dataclass(frozen=True, slots=True)
class SearchEnded:
    """The search ended without a result that can be used, or after following for a while."""

    reason: str
    reaction: Reaction


SyncEvent = RefreshCompleted | EntriesChanged | NextPage | SearchEnded
