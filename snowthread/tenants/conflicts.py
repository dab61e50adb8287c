"""Conflicts: several tenants that claim the same network or balancer number."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_RECORDED_RESOURCES = 1000


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two tenants that claim the same resource, a network or a balancer number.

    The resource belongs to ``owner``; the claim of ``other_claimant`` is ignored while the conflict lasts.
    """

    resource: str
    owner: str
    other_claimant: str

    def describe(self) -> str:
        """Return the log message that describes the conflict."""
        return f"{self.resource} is claimed by {self.owner}, which owns it, and by {self.other_claimant}"


class ConflictRegister:
    """The current conflicts, for at most ``MAX_RECORDED_RESOURCES`` resources."""

    def __init__(self) -> None:
        self._by_resource: dict[str, tuple[Conflict, ...]] = {}

    def current(self) -> list[Conflict]:
        """Return the current conflicts."""
        return [conflict for group in self._by_resource.values() for conflict in group]

    def record_claimants(self, resource: str, claimants: Sequence[str]) -> list[Conflict]:
        """Record the current claimants of a resource, its owner first, and return the new conflicts."""
        old = self._by_resource.pop(resource, ())
        current = tuple(Conflict(resource, claimants[0], other) for other in claimants[1:])
        if current and len(self._by_resource) < MAX_RECORDED_RESOURCES:
            self._by_resource[resource] = current
        return [conflict for conflict in current if conflict not in old]
