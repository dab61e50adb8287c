"""Divides the file descriptors of the process among the parts of a node."""

from __future__ import annotations

import resource
from dataclasses import dataclass

PROCESS_DESCRIPTORS = 16
"""Descriptors that every process of a node has open: standard streams, epoll, listeners, files."""

RESERVED_DESCRIPTORS = 32
"""Descriptors reserved for everything except balancers' connections and database calls."""

DATABASE_CALLS_DIVISOR = 8
"""The share of the descriptors that database calls may use is 1 divided by this."""

DATABASE_CALLS_MIN = 4  # database calls get at least this many descriptors
BALANCER_CONNECTIONS_MIN = 8  # balancers get at least this many connections


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The maximum number of connections for database calls, and of balancers' connections."""

    database_calls: int
    balancer_connections: int

    @classmethod
    def for_process(cls, max_sockets: int) -> DescriptorBudget:
        """Divide ``max_sockets`` descriptors, or the process limit (RLIMIT_NOFILE) if that is lower."""
        total = min(max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        database_calls = max(DATABASE_CALLS_MIN, total // DATABASE_CALLS_DIVISOR)
        remaining = total - database_calls - RESERVED_DESCRIPTORS
        return cls(database_calls, max(BALANCER_CONNECTIONS_MIN, remaining))

    def balancer_connections_with_peer(self, peer_descriptors: int) -> int:
        """Return the limit of balancer connections while a peer process has ``peer_descriptors`` open.

        The two processes of a hot restart share the node's limit. Descriptors that the reserve covers are not
        subtracted.
        """
        covered = RESERVED_DESCRIPTORS - PROCESS_DESCRIPTORS
        return self.balancer_connections - max(0, peer_descriptors - covered)
