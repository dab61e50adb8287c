"""Membership of a node in its fleet, tracked from the registry's answers to the node's reports.

Pure: takes the bytes of answers, and returns the status and the suffix of the next report.

Each report ends with the node's incarnation and ``cold`` or ``warm``. The registry answers with
``FLEET generation listed cold highest``. ``listed`` and ``cold`` count nodes, and ``highest`` is the highest
incarnation that the registry knows for the name of the reporting node. "Own" is this process's incarnation.

| status      | answer                               | next status                                           |
| ----------- | ------------------------------------ | ----------------------------------------------------- |
| UNCONFIRMED | ``highest`` at most own, own not 0   | MEMBER                                                |
| UNCONFIRMED | ``highest`` is above own             | MEMBER with incarnation ``highest + 1``, because the  |
|             |                                      | stored incarnation was lost                           |
| UNCONFIRMED | own is 0                             | MEMBER with incarnation ``highest + 1``: nothing was  |
|             |                                      | stored, or this is the node's first start             |
| MEMBER      | ``highest`` at most own              | MEMBER                                                |
| MEMBER      | ``highest`` is above own             | REPLACED: another process uses the node's name        |
| REPLACED    | any                                  | REPLACED, permanently; the node stays unlisted        |
| any         | malformed                            | unchanged; the answer is counted as invalid           |
| any         | generation below one received before | unchanged; the outdated answer is counted as invalid  |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

REGISTRY_TIMEOUT_MS = 3000.0  # After this time without an answer the registry counts as silent.
MAX_INCARNATION = 2**31


class MembershipStatus(Enum):
    """Whether the registry has confirmed the node, or knows another process by the same name."""

    UNCONFIRMED = "unheard"
    MEMBER = "member"
    REPLACED = "replaced"


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as described by the registry's last valid answer.

    ``received_at_ms`` is the wall clock time of the answer in ms.
    """

    generation: int
    listed_nodes: int
    cold_nodes: int
    received_at_ms: float


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of listed nodes, and how many of them are cold."""

    listed_nodes: int
    cold_nodes: int


@dataclass(slots=True)
class FleetMembership:
    """The membership of one node in its fleet.

    ``incarnation`` is 0 if none was stored; the registry may still know an earlier one. The 0 is reported as
    it is, because restarting the count at 1 could repeat the number of an earlier incarnation.
    """

    incarnation: int
    # Configured size of the fleet; until the registry answers, all of these nodes count as cold.
    configured_nodes: int
    status: MembershipStatus = MembershipStatus.UNCONFIRMED
    view: FleetView | None = None
    invalid_answers: int = 0

    def report_suffix(self, is_cold: bool) -> str:
        """Return the end of a report to the registry: the incarnation and ``cold`` or ``warm``."""
        return f"{self.incarnation} {'cold' if is_cold else 'warm'}"

    def handle_answer(self, data: bytes, now_ms: float) -> bool:
        """Update the membership from an answer of the registry.

        Args:
            data: The datagram.
            now_ms: Wall clock time in ms at which it was received.

        Returns:
            Whether the answer is valid; an invalid one is counted and changes nothing else.
        """
        words = data.split()
        try:
            generation, listed_nodes, cold_nodes, highest_incarnation = (int(word) for word in words[1:])
        except ValueError:
            self.invalid_answers += 1
            return False
        known_generation = self.view.generation if self.view is not None else 0
        is_plausible = 0 <= cold_nodes <= listed_nodes and 0 <= highest_incarnation <= MAX_INCARNATION
        if words[0] != b"FLEET" or not is_plausible or generation < known_generation:
            self.invalid_answers += 1
            return False
        self.view = FleetView(generation, listed_nodes, cold_nodes, now_ms)
        if highest_incarnation > self.incarnation or not self.incarnation:
            if self.status is MembershipStatus.UNCONFIRMED:
                self.incarnation = highest_incarnation + 1
            else:
                self.status = MembershipStatus.REPLACED
        if self.status is MembershipStatus.UNCONFIRMED:
            self.status = MembershipStatus.MEMBER
        return True

    def fleet_size(self) -> FleetSize:
        """Return the fleet size last reported; before the first answer all configured nodes count as cold."""
        if self.view is None:
            return FleetSize(self.configured_nodes, self.configured_nodes)
        return FleetSize(max(1, self.view.listed_nodes), self.view.cold_nodes)

    def is_registry_silent(self, now_ms: float) -> bool:
        """Return whether the registry has not answered for ``REGISTRY_TIMEOUT_MS``."""
        return self.view is None or now_ms - self.view.received_at_ms > REGISTRY_TIMEOUT_MS
