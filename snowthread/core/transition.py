"""The context in which one event is handled: the state, the time, and the effects emitted so far.

Event handlers change the state only through a :class:`Transition`. The admission controller decides what is
admitted, rejected, run or stopped: the handlers dispatch admission events to it, and the action handlers
carry out the actions that it returns. There are two exceptions. Requests that can't be passed to the
controller are failed by ``arrivals`` or rejected by ``key_claims``. After a broken link, runs to which no
response is owed are stopped or ended by ``runtime_resync``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from snowthread.admission import events as admission_events
from snowthread.admission.controller import Controller
from snowthread.admission.learned_state import restore_learned_state
from snowthread.core import effects
from snowthread.core.effective_settings import remaining_limits
from snowthread.core.events import ResponseAddress
from snowthread.core.state import NodeState

Handler = Callable[["Transition", Any], None]
"""Handles one event or one action of the admission controller, of the type that it is registered for."""

HandlerTable = Mapping[type, Handler]


class Transition:
    """The handling of one event; ``effects`` lists the effects to carry out, in order."""

    __slots__ = ("_action_handlers", "_dispatching", "_pending_events", "effects", "emit", "now_ms", "state")

    def __init__(self, state: NodeState, now_ms: float, action_handlers: HandlerTable) -> None:
        self.state = state
        self.now_ms = now_ms
        self.effects: list[effects.Effect] = []
        self.emit = self.effects.append
        self._action_handlers = action_handlers
        self._pending_events: deque[admission_events.Event] = deque()
        self._dispatching = False

    def respond(
        self,
        response_address: ResponseAddress,
        response: effects.Response,
    ) -> None:
        """Emit the response to a request or a health check, with the current load report."""
        self.emit(effects.SendResponse(response_address, response, self.state.load_report))

    def report_registration(self) -> None:
        """Emit whether the registry should list the node as accepting work, once this process knows that.

        A successor that reported the node before it has heard of a drain would put it back on the list.
        """
        if self.state.knows_drain_state:
            self.emit(effects.SetRegistration(self.state.accepts_work))

    def send_to_peer_process(self, message: effects.PeerProcessMessage) -> None:
        """Emit a message to the peer process of a hot restart."""
        self.emit(effects.SendToPeerProcess(message))

    def dispatch(self, *new_events: admission_events.Event) -> None:
        """Pass events to the admission controller in order, and carry out its actions after each event.

        An action handler may dispatch further events, which wait until all current actions are carried out.
        """
        self._pending_events.extend(new_events)
        if self._dispatching:
            return
        self._dispatching = True
        controller = self.ensure_controller()
        now_s = self.state.admission_clock.timestamp_s(self.now_ms)
        handlers = self._action_handlers
        while self._pending_events:
            for action in controller.handle(now_s, self._pending_events.popleft()):
                handlers[type(action)](self, action)
        self._dispatching = False

    def ensure_controller(self, started_ago_ms: float = 0.0) -> Controller:
        """Return the admission controller, and create it if there is none yet.

        Args:
            started_ago_ms: how many ms before now a new controller counts as started.
        """
        controller = self.state.controller
        return self._start_controller(started_ago_ms) if controller is None else controller

    def _start_controller(self, started_ago_ms: float) -> Controller:
        state = self.state
        controller = Controller(state.settings, state.seed)
        state.controller = controller
        clock = state.admission_clock
        started_at_s = clock.timestamp_s(self.now_ms - started_ago_ms)
        for action in controller.handle(started_at_s, admission_events.Started()):
            self._action_handlers[type(action)](self, action)
        now_s = clock.timestamp_s(self.now_ms)
        if state.peer_load is not None:
            settings = remaining_limits(state.settings, state.peer_load)
            controller.handle(now_s, admission_events.SettingsChanged(settings))
        apply_learned_state(state)
        if state.pending_tenants is not None:
            # No request is queued yet, so the controller returns no actions.
            controller.handle(now_s, state.pending_tenants)
            state.pending_tenants = None
        return controller


def apply_learned_state(state: NodeState) -> None:
    """Restore the learned state of an earlier incarnation once both it and the controller are available."""
    restored = state.pending_learned_state
    if state.controller is not None and restored is not None:
        restore_learned_state(state.controller, restored.learned_state, restored.relative_speed)
        state.pending_learned_state = None
