"""The tenant counters of a node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TenantCounters:
    """Counts since the node started.

    The field names appear as they are in the log event ``tenants.state``.
    """

    known_requests: int = 0  # requests from clients that a tenant owns
    unknown_requests: int = 0  # requests from clients that no tenant owns
    refreshes: int = 0  # completed refreshes of the tenants from the directory
    changes: int = 0  # changes received between refreshes
    removals_held: int = 0  # removals that had to wait for confirmation
    conflicts: int = 0  # new conflicts between claims of tenants
    bad_entries: int = 0  # entries that could not be parsed into a tenant
    outdated_entries: int = 0  # entries ignored because a server sent an older version than the known one
    lookups_found: int = 0  # lookups of unknown clients that found a tenant
    lookups_not_found: int = 0  # answered lookups that found none; timed out ones are not counted
