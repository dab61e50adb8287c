"""Graceful shutdown: from the signal to the exit, within the termination grace period of the platform.

The platform kills the process at a known time, the termination grace period (``stop_ms``) after the signal.
In this order:

1. At the signal the core is notified: it deregisters the node (:mod:`snowthread.core.shutdown`), and the
   admission controller decides what still starts (:mod:`snowthread.admission.graceful_shutdown`). Every
   connection is sent a farewell. Requests go on being read and answered.
2. ``CLOSE_LISTENER_BEFORE_KILL_MS`` before the kill pending connections are accepted and the listener is
   closed. An idle process waits for this too: balancers learn late that the node is deregistered, and what
   they send meanwhile is answered.
3. ``ANSWER_ALL_MARGIN_S`` before the kill the admission controller has whatever is open answered.
4. The process exits once all is answered and nothing happened for ``QUIET_BEFORE_EXIT_MS``, and at
   ``EXIT_BEFORE_KILL_MS`` before the kill in any case.

A process that shares the listening socket with a successor leaves new clients to it: the listener is not
closed (step 2), step 4 may come as soon as all is answered, and the time until the assumed kill is no longer
than open requests can need. That time is set once, at the signal: a successor that comes or goes later does
not change it. Without a successor it serves until ``EXIT_BEFORE_KILL_MS`` before the kill, idle or not.
"""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from snowthread.config import Config
from snowthread.core import events
from snowthread.core.state import AdmissionClock, NodeState
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.hot_restart.channel import HotRestartChannel
from snowthread.net.loop import Coroutine, EventLoop, Wait

CLOSE_LISTENER_BEFORE_KILL_MS = 500.0  # leaves time to answer, before the kill, what was accepted last
EXIT_BEFORE_KILL_MS = 120.0  # the process exits by then, whatever is left unanswered
POLL_INTERVAL_MS = 10.0  # between two checks whether all is answered
QUIET_BEFORE_EXIT_MS = 100.0  # without any work; what crosses a farewell on the wire takes up to 50 ms
SUPERSEDED_MARGIN_MS = 700.0  # with a successor: from the longest deadline to the assumed kill
SUPERSEDED_DEADLINE_MAX_MS = 3000.0  # the longest deadline counts for no more than this


class ServingNode(Protocol):
    """What the graceful shutdown needs of the node that it ends."""

    config: Config
    loop: EventLoop
    state: NodeState
    balancers: BalancerServer
    hot_restart: HotRestartChannel | None

    def post(self, event: events.Event) -> None:
        """Hand an event to the reducer and carry out its effects."""

    def stop(self) -> None:
        """End the event loop."""


class GracefulShutdown:
    """Ends a node's service: decides when the listener closes and when the process exits."""

    def __init__(self, node: ServingNode) -> None:
        self._node = node

    def begin(self, signalled_at_ms: float) -> None:
        """Begin to shut down; the time until the kill counts from the signal, not from now."""
        node = self._node
        clock = node.loop.clock
        kill_after_ms = self._kill_after_ms()
        elapsed_ms = max(0.0, clock.now() - signalled_at_ms)
        logger.bind(event="node.shutdown").info(
            "graceful shutdown begins, {} ms from the signal until the kill", kill_after_ms
        )
        node.post(events.ShutdownRequested(kill_after_ms - elapsed_ms, elapsed_ms))
        node.balancers.send_farewell_to_all()
        kill_at_ms = clock.now() + kill_after_ms - elapsed_ms
        if node.hot_restart is None:
            coroutine = self.serve_until_kill(kill_at_ms)
        else:
            coroutine = self.serve_until_superseded(kill_at_ms, node.hot_restart)
        node.loop.spawn(coroutine)

    def _kill_after_ms(self) -> float:
        """Return the time from the signal to the kill; with a successor no more than open requests can need.

        Computed once, at the signal: the controller plans its answers by it.
        """
        config = self._node.config
        if not self._node.state.superseded:
            return config.termination_grace_period_ms
        longest_deadline_ms = AdmissionClock.duration_ms(
            max(request_class.deadline_s for request_class in config.settings.classes)
        )
        return min(
            config.termination_grace_period_ms,
            SUPERSEDED_MARGIN_MS + min(SUPERSEDED_DEADLINE_MAX_MS, longest_deadline_ms),
        )

    def serve_until_superseded(self, kill_at_ms: float, channel: HotRestartChannel) -> Coroutine:
        """Leave new clients to the successor and exit once all is answered.

        The listening socket is shared: its close here would refuse nobody. Without a successor, serve until
        shortly before the kill.
        """
        node = self._node
        clock = node.loop.clock
        busy_at_ms = clock.now()
        while (now_ms := clock.now()) < kill_at_ms - EXIT_BEFORE_KILL_MS:
            if not node.state.superseded or node.balancers.has_pending_work() or node.state.requests:
                busy_at_ms = now_ms
            elif now_ms >= busy_at_ms + QUIET_BEFORE_EXIT_MS:
                if not self._has_unread_work():
                    break
                busy_at_ms = now_ms
            yield Wait(until_ms=now_ms + POLL_INTERVAL_MS)
        node.balancers.read_pending()
        channel.close()
        node.stop()

    def serve_until_kill(self, kill_at_ms: float) -> Coroutine:
        """Serve until shortly before the kill, then close the listener, answer what came and exit."""
        node = self._node
        clock = node.loop.clock
        yield Wait(until_ms=kill_at_ms - CLOSE_LISTENER_BEFORE_KILL_MS)
        node.balancers.stop_accepting()
        busy_at_ms = clock.now()
        while (now_ms := clock.now()) < kill_at_ms - EXIT_BEFORE_KILL_MS:
            if now_ms >= busy_at_ms + QUIET_BEFORE_EXIT_MS and not self._has_unread_work():
                break
            if node.balancers.busy:
                busy_at_ms = now_ms
            yield Wait(until_ms=now_ms + POLL_INTERVAL_MS)
        # Where the time ran out while the process stood still, requests lie unread: each is answered as read.
        node.balancers.read_pending()
        node.stop()

    def _has_unread_work(self) -> bool:
        """Read what has arrived and return whether it is work: a late loop is quiet as it read nothing."""
        self._node.balancers.read_pending()
        return self._node.balancers.busy
