"""Which node an emulated balancer sends a request to: by the registry's list and what the nodes answered."""

from __future__ import annotations

import random
import socket

from emulators.traffic_accounts import ClientRequest
from emulators.traffic_plan import TrafficPlan
from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

REGISTRY_POLL_MS = 300.0
WEIGHT_MIN = 0.02  # so that a node is heard of again
DATAGRAM_BYTES_MAX = 65536


class NodeRouter:
    """Chooses nodes for requests; nodes that rejected one are avoided for their Retry-After time."""

    def __init__(self, loop: EventLoop, plan: TrafficPlan, generator: random.Random) -> None:
        """Begin with all nodes of the plan, and poll the registry from now on."""
        self._loop = loop
        self._generator = generator
        self._known = frozenset(plan.nodes)
        self._listed = sorted(plan.nodes)
        self._weights: dict[str, float] = {}
        self._avoid_until: dict[tuple[str, str], float] = {}  # by source and node
        self._sock = Address("127.0.0.1", 0).open(socket.SOCK_DGRAM)
        loop.spawn(self._poll_registry(Address.parse(plan.registry)))

    def _poll_registry(self, registry: Address) -> Coroutine:
        while True:
            try:
                self._sock.sendto(b"LIST", registry)
                yield Wait(self._sock.fileno(), READABLE, self._loop.clock.now() + REGISTRY_POLL_MS)
                names = self._sock.recv(DATAGRAM_BYTES_MAX).decode().split()[1:]
                if names:  # an empty list names nobody better than those known
                    self._listed = [name for name in names if name in self._known]
            except OSError:
                pass
            yield Wait(until_ms=self._loop.clock.now() + REGISTRY_POLL_MS)

    def choose(self, request: ClientRequest) -> str | None:
        """Return a node that was not tried yet; None where there is none."""
        now = self._loop.clock.now()
        untried = [name for name in self._listed if name not in request.nodes_tried]
        preferred = [name for name in untried if self._avoid_until.get((request.source, name), 0.0) <= now]
        candidates = preferred or untried
        if not candidates:
            return None
        weights = [max(WEIGHT_MIN, self._weights.get(name, 1.0)) for name in candidates]
        return self._generator.choices(candidates, weights)[0]

    def set_weight(self, node: str, weight: float) -> None:
        """Set the weight that a node reported."""
        self._weights[node] = weight

    def avoid(self, source: str, node: str, for_ms: float) -> None:
        """Let a balancer prefer other nodes for so long."""
        self._avoid_until[source, node] = self._loop.clock.now() + for_ms
