"""Claims of several tenants to the same network or balancer's number."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_RECORDED_RESOURCES = 1000


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two tenants claim the same network or number; ``owner`` has it."""

    resource: str
    owner: str
    other_claimant: str

    def describe(self) -> str:
        """Return one line for the log."""
        return f"{self.resource} is claimed by {self.owner}, who has it, and by {self.other_claimant}"


class ConflictRegister:
    """The present conflicts, as far as they are recorded."""

    def __init__(self) -> None:
        self._by_resource: dict[str, tuple[Conflict, ...]] = {}

    def current(self) -> list[Conflict]:
        """Return the present conflicts."""
        return [conflict for group in self._by_resource.values() for conflict in group]

    def record_claimants(self, resource: str, claimants: Sequence[str]) -> list[Conflict]:
        """Record the present claimants of a resource, its owner first, and return the new conflicts."""
        old = self._by_resource.pop(resource, ())
        present = tuple(Conflict(resource, claimants[0], other) for other in claimants[1:])
        if present and len(self._by_resource) < MAX_RECORDED_RESOURCES:
            self._by_resource[resource] = present
        return [conflict for conflict in present if conflict not in old]
