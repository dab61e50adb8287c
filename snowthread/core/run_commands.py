"""Sends commands to the runtime, and the load sample requests whose echoes confirm them."""

from __future__ import annotations

from snowthread.core import effects
from snowthread.core.transition import Transition


def send_command(transition: Transition, command: effects.Command) -> None:
    """Send a command to the runtime, or queue it while there is no link."""
    state = transition.state
    if not state.runtime_connected:
        state.unsent_commands.append(command)
        return
    sent = state.command_log.add(command)
    request = state.requests_by_attempt_id.get(command.attempt_id)
    if request is not None and request.run is not None:
        request.run.record_command_sent(sent)
    transition.emit(command)


def request_load_sample(transition: Transition, tag: str) -> None:
    """Request a load sample; its echo also confirms the commands that were sent before the request."""
    transition.state.command_log.record_sample_requested(tag)
    transition.emit(effects.RequestLoadSample(tag))
