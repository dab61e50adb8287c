"""What operators call at the admin address: readiness, drain and resume."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

from loguru import logger

from snowthread.core import events
from snowthread.core.state import State
from snowthread.frontends.admin.server import Answer
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.hot_restart.channel import HotRestartChannel


class OperatorCalls:
    """Answers the calls of operators, each with a status and a line of text."""

    def __init__(
        self,
        state: State,
        balancers: BalancerServer,
        hot_restart: HotRestartChannel | None,
        post: Callable[[events.Event], None],
    ) -> None:
        self._state, self._balancers, self._hot_restart, self._post = state, balancers, hot_restart, post

    def routes(self) -> Mapping[str, tuple[str, Answer]]:
        """Return the HTTP method and the answering function of each path."""
        return {
            "/-/ready": ("GET", self.ready),
            "/-/drain": ("POST", self.drain),
            "/-/resume": ("POST", self.resume),
        }

    def ready(self) -> tuple[HTTPStatus, str]:
        """Say whether this process takes clients."""
        if self._balancers.accepting and (self._hot_restart is None or self._hot_restart.settled):
            return HTTPStatus.OK, "ready"
        return HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients"

    def drain(self) -> tuple[HTTPStatus, str]:
        """Take the node off the registry; what still comes is served."""
        self._set_drained(True)
        return HTTPStatus.OK, "draining"

    def resume(self) -> tuple[HTTPStatus, str]:
        """Put the node back on the registry, unless this process is shutting down."""
        if self._state.shutting_down:
            return HTTPStatus.CONFLICT, "this process has been told to leave: it can't go back to work"
        self._set_drained(False)
        return HTTPStatus.OK, "back to work"

    def _set_drained(self, drained: bool) -> None:
        if drained != self._state.drained:
            logger.bind(event="node.drain").info("operators asked to {}", "drain" if drained else "resume")
        self._post(events.DrainRequested(drained))
