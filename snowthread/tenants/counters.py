"""What a node counts about tenants."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TenantCounters:
    """Counts since the start of the node; the names are those of the log line ``tenants.state``."""

    known_requests: int = 0
    unknown_requests: int = 0
    refreshes: int = 0
    changes: int = 0
    removals_held: int = 0  # that waited for their confirmation
    conflicts: int = 0
    bad_entries: int = 0
    outdated_entries: int = 0  # of servers with older content
    lookups_found: int = 0
    lookups_not_found: int = 0
