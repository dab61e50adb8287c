"""Connects the node's fleet membership to the incarnation file, the registry's answers and the log."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from snowthread.core import events
from snowthread.recovery import storage
from snowthread.recovery.membership import FleetMembership, FleetSize, FleetView, MembershipStatus
from snowthread.recovery.settings import RecoverySettings


class RegistryMember:
    """Stores the node's incarnation, handles the registry's answers, and logs changes of the membership.

    Args:
        settings: Has the state folder.
        configured_nodes: Size of the fleet by the configuration.
        post: Posts an event to the reducer.
        report_now: Sends a report to the registry at once.
    """

    def __init__(
        self,
        settings: RecoverySettings,
        configured_nodes: int,
        post: Callable[[events.Event], None],
        report_now: Callable[[], None],
    ) -> None:
        """Read the incarnation that the previous start stored, add 1 and store the result.

        If none was stored, the incarnation is 0 and nothing is stored until the registry has answered.
        """
        self._folder = settings.folder
        self._post = post
        self._report_now = report_now
        earlier = storage.read_incarnation(self._folder)
        # 0 means unknown: the stored incarnation may have been lost, and the registry may know it.
        incarnation = earlier + 1 if earlier else 0
        self._membership = FleetMembership(incarnation, configured_nodes)
        self._is_registry_silent = True  # The registry counts as silent until its first answer.
        if incarnation:
            storage.log_write_failure(storage.write_incarnation(self._folder, incarnation))

    @property
    def incarnation(self) -> int:
        """The number of this start among all starts of the node; 0 while it is unknown."""
        return self._membership.incarnation

    @property
    def view(self) -> FleetView | None:
        """The fleet as described by the registry's last valid answer; None before the first."""
        return self._membership.view

    @property
    def is_replaced(self) -> bool:
        """Whether another process has registered under this node's name."""
        return self._membership.status is MembershipStatus.REPLACED

    def fleet_size(self) -> FleetSize:
        """Return the fleet size last reported; before the first answer all configured nodes count as cold."""
        return self._membership.fleet_size()

    def report_suffix(self, is_cold: bool) -> str:
        """Return the end of a report to the registry: the incarnation and ``cold`` or ``warm``."""
        return self._membership.report_suffix(is_cold)

    def handle_answer(self, data: bytes, now_ms: float) -> bool:
        """Handle a datagram from the registry, received at ``now_ms`` (wall clock ms).

        Returns:
            Whether it is a valid answer.
        """
        membership = self._membership
        incarnation = membership.incarnation
        was_replaced = self.is_replaced
        if not membership.handle_answer(data, now_ms):
            return False
        if membership.incarnation != incarnation:
            self._store_incarnation(incarnation)
        if self.is_replaced and not was_replaced:
            logger.bind(event="recovery.replaced").error(
                "another process has registered under this node's name; withdrawing this node's registration"
            )
            self._post(events.NameTaken())
        return True

    def _store_incarnation(self, earlier: int) -> None:
        incarnation = self._membership.incarnation
        if incarnation > 1:
            logger.bind(event="recovery.incarnation").warning(
                "the registry knows a later incarnation of this node than {} (0: none was stored); "
                "continuing as incarnation {}",
                earlier,
                incarnation,
            )
        storage.log_write_failure(storage.write_incarnation(self._folder, incarnation))
        self._report_now()

    def log_registry_change(self, now_ms: float) -> None:
        """Log if the registry has stopped answering or answers again.

        Args:
            now_ms: Current wall clock time in ms.
        """
        is_registry_silent = self._membership.is_registry_silent(now_ms)
        if is_registry_silent != self._is_registry_silent:
            self._is_registry_silent = is_registry_silent
            logger.bind(event="recovery.registry").info(
                "the registry {}",
                "does not answer; using the fleet size that it reported last"
                if is_registry_silent
                else "answers",
            )
