"""FleetMembership of a node in its fleet by the registry's answers, with generations and incarnations.

Pure: bytes of answers in, status and report suffix out.

The suffix of a report is the node's incarnation and ``cold`` or ``warm``; the answer to each report is
``FLEET generation listed cold highest`` where ``highest`` is the highest incarnation heard for this name.

| state        | answer                              | next                                                  |
| ------------ | ----------------------------------- | ----------------------------------------------------- |
| unheard      | ``highest`` is ours, above 0        | member                                                |
| unheard      | ``highest`` is above ours, or ours  | member with ``highest + 1``: our count was lost, or   |
|              | is 0 (no count was stored)          | this is the first incarnation                         |
| member       | ``highest`` is ours                 | member                                                |
| member       | ``highest`` is above ours           | replaced: another process has our name                |
| replaced     | any                                 | replaced: off the list for good                       |
| any          | not an answer                       | the same, counted                                     |
| any          | a generation below one heard before | the same, counted: an old answer                      |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

REGISTRY_TIMEOUT_MS = 3000.0  # without an answer, until the registry counts as silent
MAX_INCARNATION = 2**31


class MembershipStatus(Enum):
    """Whether the registry has answered, and whether another process has this node's name."""

    UNCONFIRMED = "unheard"
    MEMBER = "member"
    REPLACED = "replaced"


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as the registry reported it last."""

    generation: int
    listed_nodes: int
    cold_nodes: int
    received_at_ms: float


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many nodes are listed and how many of them are cold."""

    listed_nodes: int
    cold_nodes: int


@dataclass(slots=True)
class FleetMembership:
    """One node's place in the fleet.

    ``incarnation`` 0 says that no count was stored and the registry may know one. It is reported as it is: a
    count begun anew would pass for that of an earlier incarnation.
    """

    incarnation: int
    configured_nodes: int  # nodes of the fleet by the settings: all count as cold until the registry answers
    status: MembershipStatus = MembershipStatus.UNCONFIRMED
    view: FleetView | None = None
    invalid_answers: int = 0

    def report_suffix(self, cold: bool) -> str:
        """Return what a report says after the node's state: incarnation and cold or warm."""
        return f"{self.incarnation} {'cold' if cold else 'warm'}"

    def handle_answer(self, data: bytes, now_ms: float) -> bool:
        """Read an answer that came at wall time ``now_ms``.

        Returns True where it is valid, and the status or the view may have changed.
        """
        words = data.split()
        try:
            generation, listed, cold, highest = (int(word) for word in words[1:])
        except ValueError:
            self.invalid_answers += 1
            return False
        known_generation = self.view.generation if self.view is not None else 0
        is_plausible = 0 <= cold <= listed and 0 <= highest <= MAX_INCARNATION
        if words[0] != b"FLEET" or not is_plausible or generation < known_generation:
            self.invalid_answers += 1
            return False
        self.view = FleetView(generation, listed, cold, now_ms)
        if highest > self.incarnation or not self.incarnation:
            if self.status is MembershipStatus.UNCONFIRMED:
                self.incarnation = highest + 1
            else:
                self.status = MembershipStatus.REPLACED
        if self.status is MembershipStatus.UNCONFIRMED:
            self.status = MembershipStatus.MEMBER
        return True

    def fleet_size(self) -> FleetSize:
        """Return the nodes listed and cold as last reported; before any answer all are cold."""
        if self.view is None:
            return FleetSize(self.configured_nodes, self.configured_nodes)
        return FleetSize(max(1, self.view.listed_nodes), self.view.cold_nodes)

    def is_registry_silent(self, now_ms: float) -> bool:
        """Return whether the registry has not answered for ``REGISTRY_TIMEOUT_MS``."""
        return self.view is None or now_ms - self.view.received_at_ms > REGISTRY_TIMEOUT_MS
