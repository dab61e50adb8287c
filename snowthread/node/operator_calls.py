"""Handlers of the administration interface: readiness, drain and resume."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from snowthread.core import events
from snowthread.core.drain import is_confirmed, next_call_time_ns
from snowthread.core.state import NodeState
from snowthread.frontends.admin.routes import AdminResponse, PendingResponse, Route, RouteTable
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.hot_restart.channel import HotRestartChannel
from snowthread.net.clock import Clock
from snowthread.net.loop import Wait

ANSWER_WITHIN_MS = 800.0  # operators wait 1 s for the answer to a call
POLL_INTERVAL_MS = 5.0  # interval between checks whether a call can be taken, and whether it is confirmed

# Reply texts, part of the administration interface, sent to operators: they must not change. The first one
# means that the call was not carried out, the second one that the peer process may not have heard of it.
NOT_TAKEN = AdminResponse(
    HTTPStatus.SERVICE_UNAVAILABLE,
    "not done: this process has not joined the other one of its node; call again",
)
NOT_CONFIRMED = AdminResponse(
    HTTPStatus.SERVICE_UNAVAILABLE, "not confirmed by the other process of the node; call again"
)
SHUTTING_DOWN = AdminResponse(
    HTTPStatus.CONFLICT, "this process has been told to leave: it can't go back to work"
)


class OperatorCalls:
    """Answers operators' HTTP requests, each with a status and one line of text."""

    def __init__(
        self,
        clock: Clock,
        state: NodeState,
        balancers: BalancerServer,
        hot_restart: HotRestartChannel | None,
        post: Callable[[events.Event], None],
    ) -> None:
        self._clock = clock
        self._state = state
        self._balancers = balancers
        self._hot_restart = hot_restart
        self._post = post

    def routes(self) -> RouteTable:
        """Return the HTTP method and the handler of each path."""
        return {
            "/-/ready": Route("GET", self.ready),
            "/-/drain": Route("POST", self.drain),
            "/-/resume": Route("POST", self.resume),
        }

    def ready(self) -> AdminResponse:
        """Report whether this process accepts clients."""
        if self._balancers.accepting and (self._hot_restart is None or self._hot_restart.takeover_complete):
            return AdminResponse(HTTPStatus.OK, "ready")
        # Reply text, part of the administration interface, sent to operators: it must not change. It means
        # that this process does not accept clients.
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients")

    def drain(self) -> PendingResponse:
        """Withdraw the node's registration; requests that still arrive are served."""
        return self._set_drained(True, AdminResponse(HTTPStatus.OK, "draining"))

    def resume(self) -> PendingResponse:
        """Register the node again; answer 409 (Conflict) if this process is shutting down."""
        return self._set_drained(False, AdminResponse(HTTPStatus.OK, "back to work"))

    def _set_drained(self, drained: bool, success: AdminResponse) -> PendingResponse:
        """Carry out a call, and return ``success`` once all processes of the node hold it.

        A call that is not confirmed in time stays in effect here, and at the peer process if it hears of it:
        the operator has to call again.
        """
        answer_by_ms = self._clock.now() + ANSWER_WITHIN_MS
        while not self._state.knows_drain_state:
            if self._clock.now() >= answer_by_ms:
                return NOT_TAKEN
            yield self._next_poll()
        if not drained and self._state.shutting_down:
            return SHUTTING_DOWN
        called_at_ns = self._post_call(drained)
        while not is_confirmed(self._state, called_at_ns):
            if self._clock.now() >= answer_by_ms:
                logger.bind(event="node.drain_unconfirmed", peer="hot_restart").warning(
                    "the peer process has not confirmed the operator's {}", _name_of(drained)
                )
                return NOT_CONFIRMED
            yield self._next_poll()
        return success

    def _post_call(self, drained: bool) -> int:
        """Pass a call to the reducer and return its time on the monotonic clock."""
        if drained != self._state.drained:
            logger.bind(event="node.drain").info("operator requested {}", _name_of(drained))
        called_at_ns = next_call_time_ns(self._state, self._clock.monotonic_ns())
        self._post(events.OperatorCalled(drained, called_at_ns))
        return called_at_ns

    def _next_poll(self) -> Wait:
        return Wait(until_ms=self._clock.now() + POLL_INTERVAL_MS)


def _name_of(drained: bool) -> str:
    return "drain" if drained else "resume"
