"""The node as a member of its fleet: its incarnation on disk and the answers of the registry."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from snowthread.core import events
from snowthread.recovery import storage
from snowthread.recovery.membership import FleetMembership, FleetSize, FleetView, MembershipStatus
from snowthread.recovery.settings import RecoverySettings


class RegistryMember:
    """Stores the incarnation, takes the registry's answers and logs when the registry falls silent."""

    def __init__(
        self,
        settings: RecoverySettings,
        configured_nodes: int,
        post: Callable[[events.Event], None],
        report: Callable[[], None],
    ) -> None:
        """Count this start; ``report`` has the node report itself to the registry at once."""
        self._folder = settings.folder
        self._post = post
        self._report = report
        earlier = storage.read_incarnation(self._folder)
        incarnation = earlier + 1 if earlier else 0  # 0: the registry may know a count that was lost here
        self._membership = FleetMembership(incarnation, configured_nodes)
        self._is_registry_silent = True  # until it answers
        if incarnation:
            storage.log_write_failure(storage.write_incarnation(self._folder, incarnation))

    @property
    def incarnation(self) -> int:
        """This start's number among those of the node; 0 while it is not known."""
        return self._membership.incarnation

    @property
    def view(self) -> FleetView | None:
        """The fleet as the registry reported it last."""
        return self._membership.view

    @property
    def is_replaced(self) -> bool:
        """Whether another process has this node's name."""
        return self._membership.status is MembershipStatus.REPLACED

    def fleet_size(self) -> FleetSize:
        """Return the nodes listed and cold as last reported; before any answer all are cold."""
        return self._membership.fleet_size()

    def report_suffix(self, is_cold: bool) -> str:
        """Return what a report says after the node's state."""
        return self._membership.report_suffix(is_cold)

    def handle_answer(self, data: bytes, now_ms: float) -> bool:
        """Take an answer of the registry; return False where it is not valid."""
        membership = self._membership
        incarnation = membership.incarnation
        was_replaced = self.is_replaced
        if not membership.handle_answer(data, now_ms):
            return False
        if membership.incarnation != incarnation:
            self._take_incarnation(incarnation)
        if self.is_replaced and not was_replaced:
            logger.bind(event="recovery.replaced").error(
                "another process has this name now: registration withdrawn"
            )
            self._post(events.DrainRequested(True))
        return True

    def _take_incarnation(self, earlier: int) -> None:
        incarnation = self._membership.incarnation
        if incarnation > 1:
            logger.bind(event="recovery.incarnation").warning(
                "the registry knows a later incarnation than {}: continues as {}", earlier, incarnation
            )
        storage.log_write_failure(storage.write_incarnation(self._folder, incarnation))
        self._report()

    def log_silence(self, now_ms: float) -> None:
        """Log where the registry has fallen silent or answers again."""
        is_registry_silent = self._membership.is_registry_silent(now_ms)
        if is_registry_silent != self._is_registry_silent:
            self._is_registry_silent = is_registry_silent
            logger.bind(event="recovery.registry").info(
                "the registry {}",
                "is silent: what it reported last holds" if is_registry_silent else "answers",
            )
