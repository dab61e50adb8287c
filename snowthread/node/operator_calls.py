"""Handlers of the administration interface: readiness, drain and resume."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from snowthread.core import events
from snowthread.core.state import NodeState
from snowthread.frontends.admin.routes import AdminResponse, Route, RouteTable
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.hot_restart.channel import HotRestartChannel


class OperatorCalls:
    """Answers operators' HTTP requests, each with a status and one line of text."""

    def __init__(
        self,
        state: NodeState,
        balancers: BalancerServer,
        hot_restart: HotRestartChannel | None,
        post: Callable[[events.Event], None],
    ) -> None:
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

    def drain(self) -> AdminResponse:
        """Withdraw the node's registration; requests that still arrive are served."""
        self._set_drained(True)
        return AdminResponse(HTTPStatus.OK, "draining")

    def resume(self) -> AdminResponse:
        """Register the node again; answer 409 (Conflict) if this process is shutting down."""
        if self._state.shutting_down:
            # Reply text, part of the administration interface, sent to operators: it must not change. It
            # means that this process is shutting down and cannot be resumed.
            text = "this process has been told to leave: it can't go back to work"
            return AdminResponse(HTTPStatus.CONFLICT, text)
        self._set_drained(False)
        return AdminResponse(HTTPStatus.OK, "back to work")

    def _set_drained(self, drained: bool) -> None:
        if drained != self._state.drained:
            logger.bind(event="node.drain").info("operator requested {}", "drain" if drained else "resume")
        self._post(events.DrainRequested(drained))
