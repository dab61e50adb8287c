"""What is asked of the directory, and the bounds of what is accepted from it."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.ldap.messages import Control, Scope, SearchRequest
from snowthread.ldap.search_filter import Filter
from snowthread.tenants.entry import AttributeNames
from snowthread.tenants.replication_mode import ReplicationMode


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """The search that finds the tenants; ``max_tenants`` and ``max_networks`` bound a refresh."""

    base: str
    filter: Filter
    attribute_names: AttributeNames
    scope: Scope = Scope.SUB
    initial_mode: ReplicationMode = ReplicationMode.PERSIST
    page_size: int = 500  # entries
    max_tenants: int = 100_000
    max_networks: int = 1_000_000
    time_limit_s: int = 0  # 0: none

    def search(self, control: Control) -> SearchRequest:
        """Return the search request with the control of a replication mode."""
        return SearchRequest(
            self.base,
            self.scope,
            self.filter,
            self.attribute_names.all(),
            time_limit_s=self.time_limit_s,
            controls=(control,),
        )
