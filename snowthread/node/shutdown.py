"""Graceful shutdown: from the signal to the exit, within the termination grace period of the platform.

The platform kills the process at a known time, the termination grace period (``stop_ms``) after the signal.
The steps are:

1. At the signal the core is notified: it deregisters the node (:mod:`snowthread.core.shutdown`), and the
   admission controller decides which runs still start (:mod:`snowthread.admission.graceful_shutdown`). Every
   connection is sent a farewell. The node continues to read and answer requests.
2. ``CLOSE_LISTENER_BEFORE_KILL_MS`` before the kill, pending connections are accepted and the listener is
   closed. An idle process waits for this step too: balancers learn with a delay that the node is
   deregistered, and the requests that they send until then must be answered.
3. ``ANSWER_ALL_MARGIN_S`` before the kill, the admission controller has all open requests answered.
4. The process exits once all requests are answered and there was no work for ``QUIET_BEFORE_EXIT_MS``, and
   ``EXIT_BEFORE_KILL_MS`` before the kill in any case.

During a hot restart, a process leaves new clients to its successor, with which it shares the listening
socket: the listener is not closed (step 2), the process may exit (step 4) as soon as all requests are
answered, and the time until the assumed kill is at most what open requests can need. That time is computed
once, at the signal; a successor that starts or exits later does not change it. If no successor runs, a
process that takes part in hot restarts serves until ``EXIT_BEFORE_KILL_MS`` before the kill, idle or not.
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

CLOSE_LISTENER_BEFORE_KILL_MS = 500.0  # leaves time to answer the requests accepted last
EXIT_BEFORE_KILL_MS = 120.0  # the process exits this long before the kill, even with requests unanswered
POLL_INTERVAL_MS = 10.0  # interval between checks whether all requests are answered
# The process exits after this time without work; a request that crosses a farewell takes up to 50 ms.
QUIET_BEFORE_EXIT_MS = 100.0
SUPERSEDED_MARGIN_MS = 700.0  # with a successor, the kill is assumed this long after the longest deadline
SUPERSEDED_DEADLINE_MAX_MS = 3000.0  # with a successor, longer deadlines are counted as this long


class ServingNode(Protocol):
    """The parts of a node that the graceful shutdown uses."""

    config: Config
    loop: EventLoop
    state: NodeState
    balancers: BalancerServer
    hot_restart: HotRestartChannel | None

    def post(self, event: events.Event) -> None:
        """Pass an event to the reducer and carry out its effects."""

    def stop(self) -> None:
        """Stop the event loop."""


class GracefulShutdown:
    """Shuts a node down gracefully: decides when the listener closes and when the process exits."""

    def __init__(self, node: ServingNode) -> None:
        self._node = node

    def begin(self, signalled_at_ms: float) -> None:
        """Begin the shutdown; the time until the kill counts from the signal, at ``signalled_at_ms``."""
        node = self._node
        clock = node.loop.clock
        kill_after_ms = self._kill_after_ms()
        elapsed_ms = max(0.0, clock.now() - signalled_at_ms)
        logger.bind(event="node.shutdown").info(
            "graceful shutdown started; the kill is due {} ms after the signal", kill_after_ms
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
        """Return the time from the signal to the kill; with a successor at most what open requests can need.

        It is computed once, at the signal, because the admission controller plans its answers by it.
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
        """Leave new clients to the successor and exit once all requests are answered.

        The listener is not closed: the successor shares it, so that a close here would refuse no connection.
        Without a successor, serve until ``EXIT_BEFORE_KILL_MS`` before the kill.
        """
        node = self._node
        clock = node.loop.clock
        last_busy_at_ms = clock.now()
        while (now_ms := clock.now()) < kill_at_ms - EXIT_BEFORE_KILL_MS:
            if not node.state.superseded or node.balancers.has_pending_work() or node.state.requests:
                last_busy_at_ms = now_ms
            elif now_ms >= last_busy_at_ms + QUIET_BEFORE_EXIT_MS:
                if not self._has_unread_work():
                    break
                last_busy_at_ms = now_ms
            yield Wait(until_ms=now_ms + POLL_INTERVAL_MS)
        node.balancers.read_pending()
        channel.close()
        node.stop()

    def serve_until_kill(self, kill_at_ms: float) -> Coroutine:
        """Serve until shortly before the kill, then close the listener, answer the open requests and exit."""
        node = self._node
        clock = node.loop.clock
        yield Wait(until_ms=kill_at_ms - CLOSE_LISTENER_BEFORE_KILL_MS)
        node.balancers.stop_accepting()
        last_busy_at_ms = clock.now()
        while (now_ms := clock.now()) < kill_at_ms - EXIT_BEFORE_KILL_MS:
            if now_ms >= last_busy_at_ms + QUIET_BEFORE_EXIT_MS and not self._has_unread_work():
                break
            if node.balancers.busy:
                last_busy_at_ms = now_ms
            yield Wait(until_ms=now_ms + POLL_INTERVAL_MS)
        # If the process was paused until its time ran out, there are unread requests; reading one answers it.
        node.balancers.read_pending()
        node.stop()

    def _has_unread_work(self) -> bool:
        """Read what has arrived and return whether there is work: a late loop looks idle until it reads."""
        self._node.balancers.read_pending()
        return self._node.balancers.busy
