"""Log messages on the link to the runtime: the state of the node when it is lost and when it is back."""

from __future__ import annotations

import math

from snowthread.core import effects
from snowthread.core.state import NodeState
from snowthread.core.transition import Transition

LINK_LOG_EVENT = "runtime.link"


def log_link_lost(transition: Transition, unsent_commands: int) -> None:
    """Log the loss of a link, with the count of runs, its limits, and the last load sample and its age."""
    state = transition.state
    sample = _describe_load_sample(state, transition.now_ms)
    transition.emit(
        effects.LogMessage(
            f"runtime: link {state.link_number} lost: {_describe_run_load(state)}; {sample}; "
            f"{unsent_commands} commands unsent",
            LINK_LOG_EVENT,
        )
    )


def log_link_ready(transition: Transition, queued_commands: int) -> None:
    """Log that the link is back, how long there was none, and how many commands were queued meanwhile."""
    state = transition.state
    if not math.isfinite(state.disconnected_at_ms):
        return
    down_ms = transition.now_ms - state.disconnected_at_ms
    transition.emit(
        effects.LogMessage(
            f"runtime: link {state.link_number} ready after {down_ms:.0f} ms without a link; "
            f"{queued_commands} commands queued",
            LINK_LOG_EVENT,
        )
    )


def _describe_run_load(state: NodeState) -> str:
    return "no runs counted" if state.controller is None else str(state.controller.run_load())


def _describe_load_sample(state: NodeState, now_ms: float) -> str:
    age_ms = now_ms - state.load_sample_at_ms
    if not math.isfinite(age_ms):
        return "no load sample"
    measured = dict(zip(state.gauge_names, state.load_sample, strict=False))
    figures = ", ".join(f"{name} {value:.2f}" for name, value in measured.items())
    return f"load sample {age_ms:.0f} ms old: {figures}"
