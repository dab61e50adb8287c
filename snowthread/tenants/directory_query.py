"""The directory search that finds the tenants, and the limits on its result."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.ldap.messages import Control, Scope, SearchRequest
from snowthread.ldap.search_filter import Filter
from snowthread.tenants.entry import AttributeNames
from snowthread.tenants.replication_mode import ReplicationMode


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """The parameters of the search for tenants.

    A refresh that brings more than ``max_tenants`` tenants or ``max_networks`` networks is aborted.
    """

    base: str
    filter: Filter
    attribute_names: AttributeNames
    scope: Scope = Scope.SUB
    initial_mode: ReplicationMode = ReplicationMode.PERSIST  # tried first at each server
    page_size: int = 500  # entries per page
    max_tenants: int = 100_000
    max_networks: int = 1_000_000
    time_limit_s: int = 0  # seconds that the server may search; 0: no limit

    def search(self, control: Control) -> SearchRequest:
        """Return the search request with ``control``, which selects a replication mode."""
        return SearchRequest(
            self.base,
            self.scope,
            self.filter,
            self.attribute_names.all(),
            time_limit_s=self.time_limit_s,
            controls=(control,),
        )
