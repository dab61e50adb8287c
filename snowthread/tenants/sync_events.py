"""The events of directory synchronisation: completed refreshes, changes, further pages, ended searches."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from snowthread.ldap.health import Reaction
from snowthread.ldap.messages import SearchRequest
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import Tenant


@dataclass(frozen=True, slots=True)
class RefreshCompleted:
    """A refresh completed.

    If ``is_full``, all known tenants that are neither in ``upserts`` nor in ``present_ids`` were deleted from
    the directory; otherwise only those in ``removed_ids`` were.
    """

    upserts: Mapping[str, Tenant]  # tenants by tenant id
    present_ids: frozenset[str]
    removed_ids: frozenset[str]
    is_full: bool
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries were added, changed or deleted after the refresh."""

    upserts: Mapping[str, Tenant]  # tenants by tenant id
    removed_ids: frozenset[str] = frozenset()
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class NextPage:
    """A page ended; ``search`` is the request for the next one, to be sent now."""

    search: SearchRequest


@dataclass(frozen=True, slots=True)
class SearchEnded:
    """The search failed, or the server ended it while changes were being received.

    ``reaction`` is what the client should do about ``reason``.
    """

    reason: str
    reaction: Reaction


SyncEvent = RefreshCompleted | EntriesChanged | NextPage | SearchEnded
