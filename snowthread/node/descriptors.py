"""How the file descriptors of the process are divided among the parts of a node."""

from __future__ import annotations

import resource
from dataclasses import dataclass

PROCESS_DESCRIPTORS = 16
"""Descriptors that any process of a node has open: standard streams, epoll, listeners, files."""

RESERVED_DESCRIPTORS = 32
"""Descriptors reserved for everything that is neither a balancer's connection nor a database call."""

DATABASE_CALLS_DIVISOR = 8
"""One descriptor in this many is for calls to the database."""

DATABASE_CALLS_MIN = 4
BALANCER_CONNECTIONS_MIN = 8


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The most connections that each part may have open at once."""

    database_calls: int
    balancer_connections: int

    @classmethod
    def for_process(cls, max_sockets: int) -> DescriptorBudget:
        """Divide ``max_sockets``, or what the process may open where that is less."""
        total = min(max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        database_calls = max(DATABASE_CALLS_MIN, total // DATABASE_CALLS_DIVISOR)
        remaining = total - database_calls - RESERVED_DESCRIPTORS
        return cls(database_calls, max(BALANCER_CONNECTIONS_MIN, remaining))

    def balancer_connections_with_peer(self, peer_descriptors: int) -> int:
        """Return the most balancer connections while a peer process has so many descriptors open.

        Both processes of a node share its limit. Descriptors that the reserve covers are not subtracted.
        """
        covered = RESERVED_DESCRIPTORS - PROCESS_DESCRIPTORS
        return self.balancer_connections - max(0, peer_descriptors - covered)
