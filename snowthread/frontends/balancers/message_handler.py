"""Handles the messages on a balancer's connection: posts an event to the core or answers immediately.

Invalid messages and cancellations are charged to the connection's abuse budget. These are functions, not
methods of a handler object: a connection and a handler that refer to each other would form a reference cycle,
which only the garbage collector can free.
"""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from snowthread.core import effects, events
from snowthread.frontends.balancers.messages import (
    CancelMessage,
    DecodedMessage,
    HealthCheckMessage,
    InvalidMessage,
    RequestMessage,
    Violation,
)
from snowthread.frontends.balancers.request_fields import parse_request
from snowthread.net.clock import Clock
from snowthread.net.limits import AbuseBudget

MAX_OPEN_REQUESTS = 32  # a connection with more unanswered requests is closed


class MessageConnection(Protocol):
    """A connection, as the message handlers use it."""

    number: int
    clock: Clock
    open_request_numbers: set[int]  # numbers of the requests that are not answered yet
    abuse_budget: AbuseBudget

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer writes no more, and waits for no answer."""

    def answer(self, number: int, response: effects.Response) -> bool:
        """Send the answer to an open request; return False and send nothing if it is not open."""

    def post(self, event: events.Event) -> None:
        """Pass an event to the core."""

    def close_gracefully(self) -> None:
        """Stop reading, answer the open requests as failed, send what is unsent, and close."""

    def mark_active(self) -> None:
        """Restart the connection's idle time if it is idle, else record that it is busy."""


def handle_message(connection: MessageConnection, message: DecodedMessage) -> None:
    """Post a valid message as an event, or answer an invalid one."""
    if isinstance(message, RequestMessage):
        _handle_request(connection, message)
    elif isinstance(message, CancelMessage):
        _cancel(connection, message.number)
    elif isinstance(message, HealthCheckMessage):
        if message.number in connection.open_request_numbers:
            _reject_reused_number(connection, message.number)
        else:
            connection.open_request_numbers.add(message.number)
            connection.post(events.HealthCheckReceived((connection.number, message.number)))
    else:
        reject_invalid(connection, message)


def _handle_request(connection: MessageConnection, message: RequestMessage) -> None:
    open_request_numbers = connection.open_request_numbers
    if message.number in open_request_numbers:
        _reject_reused_number(connection, message.number)
        return
    if len(open_request_numbers) >= MAX_OPEN_REQUESTS:
        reject_invalid(connection, InvalidMessage(message.number, Violation.TOO_MANY_OPEN_REQUESTS))
        connection.close_gracefully()
        return
    request = parse_request(message, (connection.number, message.number), connection.clock.now())
    if isinstance(request, InvalidMessage):
        reject_invalid(connection, request)
        return
    open_request_numbers.add(message.number)
    if connection.peer_has_closed:
        connection.answer(message.number, effects.Failed(request.attempt_id))
        return
    connection.mark_active()
    connection.post(request)


def _reject_reused_number(connection: MessageConnection, number: int) -> None:
    """Cancel the open request with this number and close the connection.

    Neither request is answered: the client could not tell to which of the two an answer belongs.
    """
    connection.open_request_numbers.discard(number)
    connection.post(events.RequestCancelled((connection.number, number)))
    reject_invalid(connection, InvalidMessage(None, Violation.NUMBER_IN_USE))


def _cancel(connection: MessageConnection, number: int) -> None:
    """Cancel an open request and answer it as failed.

    The answer is sent because a client that cancels all its requests would otherwise never receive anything.
    Cancellations are charged to the abuse budget, so that a client that only cancels is disconnected.
    """
    if connection.answer(number, effects.Failed()):
        connection.post(events.RequestCancelled((connection.number, number)))
        connection.mark_active()
    _charge_abuse(connection)


def reject_invalid(connection: MessageConnection, message: InvalidMessage) -> None:
    """Answer an invalid message as failed if its number is known and free, else close the connection.

    Without a number of its own, answers on this connection can no longer be matched to requests. The close
    answers the open requests as failed, too.
    """
    logger.debug(
        "balancer connection {}: invalid message: {} {}",
        connection.number,
        message.violation.value,
        message.detail,
    )
    if message.number is None:
        connection.close_gracefully()
    elif message.number in connection.open_request_numbers:
        _reject_reused_number(connection, message.number)
    else:
        connection.open_request_numbers.add(message.number)
        connection.answer(message.number, effects.Failed())
        _charge_abuse(connection)


def _charge_abuse(connection: MessageConnection) -> None:
    if not connection.abuse_budget.spend(connection.clock.now()):
        connection.close_gracefully()
