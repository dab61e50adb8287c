"""Emulate the balancers of a fleet and their clients as one process of the lab.

``python -m emulators.balancers PLAN_JSON`` reads the plan (see :mod:`emulators.traffic_plan`), prints
``balancers: ready``, and then takes commands on standard input:

    go          the traffic begins
    down NAME   this node was killed, stopped or cut off: what is open there may stay without an answer
    report      prints one JSON line: what became of the requests
    (end)       the process ends

The balancers send to the nodes that the registry lists, which they poll every 300 ms, by the weights that the
nodes report (``say``). They give a node that rejected a request its Retry-After time (``after``). A rejected
request goes on to another node unless the answer says ``last``. An attempt without a key whose connection was
lost goes on to another node; one with a key goes to **the same node** again, since it might run twice
elsewhere. The client's repeat of a keyed request goes to the node that took the first attempt.
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
from emulators.traffic_accounts import (
    LATE_TOLERANCE_MS,
    Accounts,
    Attempt,
    ClientRequest,
    Outcome,
    Unanswered,
)
from emulators.traffic_plan import RequestClass, TrafficPlan
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop

BALANCERS = 3  # each with a source address of its own
RETRY_DELAY_MS = 250.0  # until an attempt with a key is sent to its node again
ATTEMPTS_MAX = 4  # of a request, the client's repeat not counted
ATTEMPT_TIME_MIN_MS = 5.0  # left until the deadline; with less, a request is given up
MS_PER_S = 1000.0


class Balancers:
    """Sends the traffic of all clients, and records the accounts."""

    def __init__(self, loop: EventLoop, plan: TrafficPlan) -> None:
        """Send nothing yet."""
        self._loop = loop
        self._plan = plan
        self._generator = random.Random(plan.seed)
        self._sources = [f"{plan.source_network}.{number + 2}" for number in range(BALANCERS)]
        self._own_loads = self._create_loads(plan.own_balancer)
        self._foreign_loads = self._create_loads(plan.foreign_balancer)
        self._router = NodeRouter(loop, plan, self._generator)
        self._accounts = Accounts(plan)
        self._attempts: dict[SentRequest, Attempt] = {}  # without an answer yet

    def _create_loads(self, balancer_number: int) -> dict[str, LoadGenerator]:
        loads = {}
        for name, address in self._plan.nodes.items():
            load = LoadGenerator(address, self._sources, loop=self._loop, balancer_number=balancer_number)
            load.puts_key_in_body = True
            load.on_answer = partial(self._take_answer, name)
            loads[name] = load
        return loads

    def handle(self, command: str, argument: str) -> None:
        """Carry out a command of standard input."""
        match command:
            case "go":
                self._schedule_traffic()
            case "down":
                self._accounts.note_down(argument, self._loop.clock.now())
            case "report":
                print(json.dumps(self._accounts.report(self._overdue())), flush=True)

    # Requests of the clients.

    def _schedule_traffic(self) -> None:
        """Schedule Poisson arrivals of all requests of the plan from now on."""
        generator = self._generator
        plan = self._plan
        begin_ms = self._loop.clock.now()
        self._accounts.begin_ms = begin_ms
        at_ms = begin_ms
        while at_ms < begin_ms + plan.seconds * MS_PER_S:
            at_ms += generator.expovariate(plan.per_s) * MS_PER_S
            kind = self._draw_class()
            foreign = generator.random() < plan.foreign_share
            key = f"{'f' if foreign else '0'}{generator.getrandbits(64):016x}" if kind.keyed else ""
            repeated = bool(key) and generator.random() < plan.repeated_share
            repeat_after_ms = generator.uniform(*plan.repeat_after_ms) if repeated else 0.0
            source = generator.choice(self._sources)
            start = partial(self._start_request, kind, key, source, foreign, repeat_after_ms)
            self._loop.call_at(at_ms, start)

    def _draw_class(self) -> RequestClass:
        keyed = next(kind for kind in self._plan.classes if kind.keyed)
        if self._generator.random() < self._plan.keyed_share:
            return keyed
        others = [kind for kind in self._plan.classes if not kind.keyed]
        return self._generator.choices(others, [kind.share for kind in others])[0]

    def _start_request(
        self, kind: RequestClass, key: str, source: str, foreign: bool, repeat_after_ms: float
    ) -> None:
        request = ClientRequest(kind, key, self._loop.clock.now(), source, foreign)
        self._accounts.requests.append(request)
        self._attempt(request)
        if repeat_after_ms:
            self._loop.call_at(request.sent_ms + repeat_after_ms, partial(self._repeat, request))

    def _attempt(self, request: ClientRequest) -> None:
        """Send to a node, and where it takes no connection, so that nothing ran there, to the next."""
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
        """Send an attempt; return False where the node takes no connection."""
        load = (self._foreign_loads if request.foreign else self._own_loads)[node]
        try:
            sent = load.send(request.source, request.request_class.name, request.key, left_ms)
        except OSError:
            load.sent_requests.pop()
            return False
        load.sent_requests.clear()  # the accounts have it
        if request.key:
            request.sticky_node = node
        self._attempts[sent] = Attempt(request, node, sent.sent_ms + left_ms)
        self._accounts.counts["tries"] += 1
        return True

    def _repeat(self, request: ClientRequest) -> None:
        """Repeat a keyed request for its client, at the node that may have run it."""
        node = request.sticky_node
        if node and self._send(request, node, request.request_class.deadline_ms):
            self._accounts.counts["repeats"] += 1

    # Answers of the nodes.

    def _take_answer(self, node: str, sent: SentRequest, outcome: str, message: Any, /) -> None:
        """Take an answer, or the loss of a connection, for one attempt."""
        if len(sent.answers) > 1:
            self._accounts.counts["answered twice"] += 1
            return
        attempt = self._attempts.pop(sent, None)
        if attempt is None:
            return
        request = attempt.request
        now = self._loop.clock.now()
        if outcome == CONNECTION_LOST:
            self._accounts.connections_lost.append(Unanswered(node, sent.sent_ms, now))
            self._retry_lost(request, node)
            return
        self._accounts.counts[outcome] += 1
        self._accounts.counts["late"] += self._accounts.is_late(attempt, sent.sent_ms, now)
        fields = message[2][1] if message[2] else message[3][1]
        if "say" in fields:
            self._router.set_weight(node, float(fields["say"]))
        if outcome == SERVED:
            self._take_result(request, message[3][0], now)
        elif outcome == REJECTED:
            self._take_rejection(request, node, fields)
        else:
            request.finish(Outcome.FAILED)

    def _retry_lost(self, request: ClientRequest, node: str) -> None:
        if not request.key:
            request.nodes_tried.append(node)
        if request.outcome is None:
            self._attempt_after(request, RETRY_DELAY_MS if request.key else 0.0)

    def _take_result(self, request: ClientRequest, body: bytes, now: float) -> None:
        expected = keyed_body(request.key) if request.key else PLAIN_BODY
        self._accounts.counts["spoilt"] += not body.startswith(expected)
        value = request.request_class.answer_value(now - request.sent_ms, body.endswith(OMITTED_SUFFIX))
        request.value = max(request.value, value)
        request.finish(Outcome.SERVED)

    def _take_rejection(self, request: ClientRequest, node: str, fields: dict[str, str]) -> None:
        self._router.avoid(request.source, node, float(fields.get("after", 0.0)))
        request.nodes_tried.append(node)
        if request.sticky_node == node and request.attempts <= 1:
            request.sticky_node = ""  # it never ran there
        if request.outcome is not None:
            return
        if fields.get("last") == "1" or request.sticky_node:
            request.finish(Outcome.REJECTED)
        else:
            self._attempt(request)

    def _overdue(self) -> list[Unanswered]:
        """Return the attempts whose answer has not come in time."""
        now = self._loop.clock.now()
        return [
            Unanswered(attempt.node, sent.sent_ms, attempt.deadline_ms)
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
