"""Selects the node for a request of an emulated balancer from the registry's list and the nodes' answers."""

from __future__ import annotations

import random
import socket

from emulators.traffic_plan import TrafficPlan
from emulators.traffic_statistics import ClientRequest
from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

REGISTRY_POLL_MS = 300.0
# A node that reports weight 0 still gets a few requests, because only an answer can report a new weight.
WEIGHT_MIN = 0.02
DATAGRAM_BYTES_MAX = 65536


class NodeRouter:
    """Chooses nodes at random by weight; a node that rejects a request is avoided for a time."""

    def __init__(self, loop: EventLoop, plan: TrafficPlan, generator: random.Random) -> None:
        """Start with all nodes of the plan as listed, and poll the registry from now on."""
        self._loop = loop
        self._generator = generator
        self._known_nodes = frozenset(plan.nodes)
        self._listed_nodes = sorted(plan.nodes)
        self._weights: dict[str, float] = {}
        # Time of the loop's clock in ms until which a node is avoided, by source address and node name.
        self._avoid_until_ms: dict[tuple[str, str], float] = {}
        self._sock = Address("127.0.0.1", 0).open(socket.SOCK_DGRAM)
        loop.spawn(self._poll_registry(Address.parse(plan.registry)))

    def _poll_registry(self, registry: Address) -> Coroutine:
        while True:
            try:
                self._sock.sendto(b"LIST", registry)
                yield Wait(self._sock.fileno(), READABLE, self._loop.clock.now() + REGISTRY_POLL_MS)
                names = self._sock.recv(DATAGRAM_BYTES_MAX).decode().split()[1:]
                if names:  # An empty list does not replace the last one: there would be no node to choose.
                    self._listed_nodes = [name for name in names if name in self._known_nodes]
            except OSError:
                pass
            yield Wait(until_ms=self._loop.clock.now() + REGISTRY_POLL_MS)

    def choose(self, request: ClientRequest) -> str | None:
        """Return a node that the request has not tried yet, or None if it has tried all listed nodes.

        Nodes that are avoided for the request's source are chosen only if there is no other.
        """
        now = self._loop.clock.now()
        untried = [name for name in self._listed_nodes if name not in request.nodes_tried]
        preferred = [name for name in untried if self._avoid_until_ms.get((request.source, name), 0.0) <= now]
        candidates = preferred or untried
        if not candidates:
            return None
        weights = [max(WEIGHT_MIN, self._weights.get(name, 1.0)) for name in candidates]
        return self._generator.choices(candidates, weights)[0]

    def set_weight(self, node: str, weight: float) -> None:
        """Store the weight that a node reported; a node without one has weight 1."""
        self._weights[node] = weight

    def avoid(self, source: str, node: str, for_ms: float) -> None:
        """Prefer other nodes for requests from a source address, for ``for_ms`` milliseconds."""
        self._avoid_until_ms[source, node] = self._loop.clock.now() + for_ms
