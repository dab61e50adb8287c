"""Effects during a hot restart, when a successor process replaces the predecessor of the same node.

Both processes have the same listening socket, and share the node's limit of descriptors.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from snowthread.clients.database import DatabaseClient
from snowthread.core import effects, events
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.hot_restart.channel import HotRestartChannel
from snowthread.node.descriptors import PROCESS_DESCRIPTORS, DescriptorBudget
from snowthread.node.effect_handlers import EffectHandlers


class HotRestartEffects:
    """Carries out the effects that concern the two processes of a hot restart."""

    def __init__(
        self,
        channel: HotRestartChannel,
        balancers: BalancerServer,
        database: DatabaseClient,
        descriptors: DescriptorBudget,
        resume_accepting: Callable[[], None],
    ) -> None:
        self._channel = channel
        self._balancers = balancers
        self._database = database
        self._descriptors = descriptors
        self._resume_accepting = resume_accepting

    def handlers(self) -> EffectHandlers:
        """Return the handlers by type of effect."""
        return {
            effects.SendToPeerProcess: self._send_to_peer_process,
            effects.SendHandoverComplete: self._channel.send_handover_complete,
            effects.SetAccepting: self._set_accepting,
            effects.ReserveDescriptors: self._reserve_descriptors,
        }

    def _send_to_peer_process(self, effect: effects.SendToPeerProcess) -> None:
        message = effect.message
        if isinstance(message, events.PeerLoadReported):
            in_use = self._balancers.count() + self._database.connection_count() + PROCESS_DESCRIPTORS
            effect = effects.SendToPeerProcess(replace(message, descriptors=in_use))
        self._channel.send(effect)

    def _set_accepting(self, effect: effects.SetAccepting) -> None:
        if effect.accepting:
            self._resume_accepting()
        else:
            self._balancers.pause_accepting()
            self._balancers.send_farewell_to_all()

    def _reserve_descriptors(self, effect: effects.ReserveDescriptors) -> None:
        self._balancers.set_max_connections(self._descriptors.balancer_connections_with_peer(effect.count))
