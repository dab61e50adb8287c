"""Emulate the balancers of a fleet and their clients as one process of the lab.

``python -m emulators.balancers PLAN_JSON`` reads the plan (see :mod:`emulators.traffic_plan`), prints
``balancers: ready``, and then executes commands from standard input:

    go          starts the traffic
    down NAME   records that this node was killed, stopped or cut off; its open attempts may stay unanswered
    report      prints the outcomes of the requests as one line of JSON
    (end)       the end of the input ends the process

The balancers poll the registry every 300 ms. They send requests to the listed nodes by the weights that the
nodes report in their answers (``say``). They avoid a node that rejected a request for its Retry-After time
(``after``). A rejected request is sent to another node unless the answer forbids it (``last``). If the
connection of an attempt is lost, a request without an idempotency key is sent to another node. A request with
a key is sent to **the same node** again, because it may have run there and another node would run it a second
time. A client's repeat of a request with a key goes to the node of its first attempt.
"""

from __future__ import annotations

import json
import random
import sys
from functools import partial
from pathlib import Path
from typing import Any

from emulators.load_generator import CONNECTION_LOST, LoadGenerator, SentRequest
from emulators.machine import OMITTED_SUFFIX
from emulators.node_router import NodeRouter
from emulators.request_protocol import PLAIN_BODY, REJECTED, SERVED, keyed_body
from emulators.stdin_commands import handle_commands
from emulators.traffic_plan import RequestClass, TrafficPlan
from emulators.traffic_statistics import (
    LATE_TOLERANCE_MS,
    Attempt,
    ClientRequest,
    Outcome,
    TrafficStatistics,
    UnansweredAttempt,
)
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop

BALANCER_COUNT = 3  # Number of balancers; each has a source address of its own.
RETRY_DELAY_MS = 250.0  # Delay before a request with an idempotency key is sent to the same node again.
ATTEMPTS_MAX = 4  # Maximum number of attempts for a request, without those for its client's repeat.
ATTEMPT_TIME_MIN_MS = 5.0  # Minimum time left until its deadline for a request to be attempted again.
MS_PER_S = 1000.0


class Balancers:
    """Sends the traffic of all clients to the nodes, and collects its statistics."""

    def __init__(self, loop: EventLoop, plan: TrafficPlan) -> None:
        """Poll the registry, but send no requests before the command ``go``."""
        self._loop = loop
        self._plan = plan
        self._generator = random.Random(plan.seed)
        self._sources = [f"{plan.source_network}.{number + 2}" for number in range(BALANCER_COUNT)]
        self._own_load_generators = self._create_load_generators(plan.own_balancer_number)
        self._foreign_load_generators = self._create_load_generators(plan.foreign_balancer_number)
        self._router = NodeRouter(loop, plan, self._generator)
        self._statistics = TrafficStatistics(plan)
        self._attempts: dict[SentRequest, Attempt] = {}  # Attempts that have no answer yet.

    def _create_load_generators(self, balancer_number: int) -> dict[str, LoadGenerator]:
        """Return a load generator for each node, by node name."""
        load_generators = {}
        for name, address in self._plan.nodes.items():
            load_generator = LoadGenerator(
                address, self._sources, loop=self._loop, balancer_number=balancer_number
            )
            load_generator.puts_key_in_body = True
            load_generator.on_answer = partial(self._handle_answer, name)
            load_generators[name] = load_generator
        return load_generators

    def handle(self, command: str, argument: str) -> None:
        """Execute a command from standard input."""
        match command:
            case "go":
                self._schedule_traffic()
            case "down":
                self._statistics.record_outage(argument, self._loop.clock.now())
            case "report":
                print(json.dumps(self._statistics.report(self._overdue_attempts())), flush=True)

    # Sends the requests of the clients to nodes.

    def _schedule_traffic(self) -> None:
        """Schedule all requests of the plan from now on, as a Poisson process."""
        generator = self._generator
        plan = self._plan
        begin_ms = self._loop.clock.now()
        self._statistics.begin_ms = begin_ms
        at_ms = begin_ms
        while at_ms < begin_ms + plan.seconds * MS_PER_S:
            at_ms += generator.expovariate(plan.per_s) * MS_PER_S
            request_class = self._draw_class()
            is_foreign = generator.random() < plan.foreign_share
            key = (
                f"{'f' if is_foreign else '0'}{generator.getrandbits(64):016x}"
                if request_class.has_key
                else ""
            )
            repeated = bool(key) and generator.random() < plan.repeated_share
            repeat_after_ms = generator.uniform(*plan.repeat_after_ms) if repeated else 0.0
            source = generator.choice(self._sources)
            start = partial(self._start_request, request_class, key, source, is_foreign, repeat_after_ms)
            self._loop.call_at(at_ms, start)

    def _draw_class(self) -> RequestClass:
        """Return a random class: the one with idempotency keys, or one of the others by their shares."""
        class_with_key = next(candidate for candidate in self._plan.classes if candidate.has_key)
        if self._generator.random() < self._plan.keyed_share:
            return class_with_key
        others = [candidate for candidate in self._plan.classes if not candidate.has_key]
        return self._generator.choices(others, [candidate.share for candidate in others])[0]

    def _start_request(
        self, request_class: RequestClass, key: str, source: str, is_foreign: bool, repeat_after_ms: float
    ) -> None:
        request = ClientRequest(request_class, key, self._loop.clock.now(), source, is_foreign)
        self._statistics.requests.append(request)
        self._attempt(request)
        if repeat_after_ms:
            self._loop.call_at(request.sent_ms + repeat_after_ms, partial(self._repeat, request))

    def _attempt(self, request: ClientRequest) -> None:
        """Send a request to a node.

        If the node accepts no connection, nothing ran there, and the next node is tried. The request is
        finished without an answer if no node, attempt or time is left for it.
        """
        left_ms = request.sent_ms + request.request_class.deadline_ms - self._loop.clock.now()
        while request.outcome is None:
            node = request.sticky_node or self._router.choose(request)
            if node is None or request.attempts >= ATTEMPTS_MAX or left_ms < ATTEMPT_TIME_MIN_MS:
                request.finish(Outcome.FAILED if request.sticky_node else Outcome.REJECTED)
                return
            request.attempts += 1
            if self._send(request, node, left_ms):
                return
            if request.sticky_node:
                self._attempt_after(request, RETRY_DELAY_MS)
                return
            request.nodes_tried.append(node)

    def _attempt_after(self, request: ClientRequest, delay_ms: float) -> None:
        self._loop.call_at(self._loop.clock.now() + delay_ms, partial(self._attempt, request))

    def _send(self, request: ClientRequest, node: str, left_ms: float) -> bool:
        """Send an attempt to a node; return False if the node accepts no connection."""
        sender = (self._foreign_load_generators if request.is_foreign else self._own_load_generators)[node]
        try:
            sent = sender.send(request.source, request.request_class.name, request.idempotency_key, left_ms)
        except OSError:
            sender.sent_requests.pop()
            return False
        # Attempts are recorded in this class; the load generator's list would only grow for the whole run.
        sender.sent_requests.clear()
        if request.idempotency_key:
            request.sticky_node = node
        self._attempts[sent] = Attempt(request, node, sent.sent_ms + left_ms)
        self._statistics.counts["tries"] += 1
        return True

    def _repeat(self, request: ClientRequest) -> None:
        """Send a client's repeat of a request with an idempotency key to the node that may have run it."""
        node = request.sticky_node
        if node and self._send(request, node, request.request_class.deadline_ms):
            self._statistics.counts["repeats"] += 1

    # Handles the nodes' answers.

    def _handle_answer(self, node: str, sent: SentRequest, outcome: str, message: Any, /) -> None:
        """Process the answer to an attempt, or the loss of its connection."""
        if len(sent.answers) > 1:
            self._statistics.counts["answered twice"] += 1
            return
        attempt = self._attempts.pop(sent, None)
        if attempt is None:
            return
        request = attempt.request
        now = self._loop.clock.now()
        if outcome == CONNECTION_LOST:
            self._statistics.connections_lost.append(UnansweredAttempt(node, sent.sent_ms, now))
            self._retry_after_connection_loss(request, node)
            return
        self._statistics.counts[outcome] += 1
        self._statistics.counts["late"] += self._statistics.is_late(attempt, sent.sent_ms, now)
        fields = message[2][1] if message[2] else message[3][1]
        if "say" in fields:
            self._router.set_weight(node, float(fields["say"]))
        if outcome == SERVED:
            self._handle_result(request, message[3][0], now)
        elif outcome == REJECTED:
            self._handle_rejection(request, node, fields)
        else:
            request.finish(Outcome.FAILED)

    def _retry_after_connection_loss(self, request: ClientRequest, node: str) -> None:
        if not request.idempotency_key:
            request.nodes_tried.append(node)
        if request.outcome is None:
            self._attempt_after(request, RETRY_DELAY_MS if request.idempotency_key else 0.0)

    def _handle_result(self, request: ClientRequest, body: bytes, now: float) -> None:
        expected = keyed_body(request.idempotency_key) if request.idempotency_key else PLAIN_BODY
        self._statistics.counts["spoilt"] += not body.startswith(expected)
        value = request.request_class.answer_value(now - request.sent_ms, body.endswith(OMITTED_SUFFIX))
        request.value = max(request.value, value)
        request.finish(Outcome.SERVED)

    def _handle_rejection(self, request: ClientRequest, node: str, fields: dict[str, str]) -> None:
        self._router.avoid(request.source, node, float(fields.get("after", 0.0)))
        request.nodes_tried.append(node)
        if request.sticky_node == node and request.attempts <= 1:
            request.sticky_node = ""  # The node rejected the only attempt, so the request has not run there.
        if request.outcome is not None:
            return
        if fields.get("last") == "1" or request.sticky_node:
            request.finish(Outcome.REJECTED)
        else:
            self._attempt(request)

    def _overdue_attempts(self) -> list[UnansweredAttempt]:
        """Return the attempts without an answer whose deadline and tolerance for late answers have passed."""
        now = self._loop.clock.now()
        return [
            UnansweredAttempt(attempt.node, sent.sent_ms, attempt.deadline_ms)
            for sent, attempt in self._attempts.items()
            if now > attempt.deadline_ms + LATE_TOLERANCE_MS
        ]


def main(path: str) -> None:
    """Run the balancers of a plan until standard input ends."""
    loop = EventLoop(Clock())
    balancers = Balancers(loop, TrafficPlan.from_json(json.loads(Path(path).read_text())))
    print("balancers: ready", flush=True)
    handle_commands(loop, balancers.handle)
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
