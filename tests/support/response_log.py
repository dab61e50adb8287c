"""Collects the responses without a result that the reducer emits, for tests of how they are logged."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from snowthread.core import effects, events, reducer
from snowthread.core.transition import Transition


@dataclass(slots=True)
class ResponseLog:
    """The responses without a result that the reducer emitted, each with the attempt that it answers."""

    # The attempt id of the last request received for each response address.
    attempt_ids: dict[events.ResponseAddress, str] = field(default_factory=dict)
    without_result: list[tuple[str, effects.Rejected | effects.Failed]] = field(default_factory=list)

    def check(self) -> None:
        """Assert that each response names its attempt for the log, and each rejection its reason."""
        for attempt_id, response in self.without_result:
            assert response.attempt_id == attempt_id
            assert isinstance(response, effects.Failed) or response.reason


def collect_responses(monkeypatch: pytest.MonkeyPatch) -> ResponseLog:
    """Collect the reducer's responses without a result until the end of the test."""
    log = ResponseLog()
    handle_request = reducer.EVENT_HANDLERS[events.RequestReceived]
    respond = Transition.respond

    def note_request(transition: Transition, event: events.RequestReceived) -> None:
        log.attempt_ids[event.response_address] = event.attempt_id
        handle_request(transition, event)

    def note_response(
        transition: Transition,
        response_address: events.ResponseAddress,
        response: effects.Served | effects.Rejected | effects.Failed | effects.HealthStatus,
    ) -> None:
        if isinstance(response, effects.Rejected | effects.Failed):
            log.without_result.append((log.attempt_ids[response_address], response))
        respond(transition, response_address, response)

    handlers = {**reducer.EVENT_HANDLERS, events.RequestReceived: note_request}
    monkeypatch.setattr(reducer, "EVENT_HANDLERS", handlers)
    monkeypatch.setattr(Transition, "respond", note_response)
    return log
