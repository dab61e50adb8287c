"""Probe a silent server with a cheap search, to detect whether it still responds."""

from __future__ import annotations

import math

from snowthread.ldap.client import LdapConnection
from snowthread.ldap.messages import Scope, SearchRequest
from snowthread.ldap.search_filter import Present

ANY_ENTRY = Present(b"objectClass")
NO_ATTRIBUTES = ("1.1",)  # requests entries without attributes (RFC 4511, section 4.5.1.8)
NOT_IN_FLIGHT = 0  # the message id while no probe is in flight; ids of requests start at 1


class ServerProbe:
    """Sends the probes of one connection, one at a time.

    ``deadline`` is when the probe in flight times out; it is infinite while no probe is in flight.
    """

    def __init__(self, connection: LdapConnection, base: str, timeout_ms: float) -> None:
        self.message_id = NOT_IN_FLIGHT
        self.deadline = math.inf
        self._connection = connection
        self._search = SearchRequest(base, Scope.BASE, ANY_ENTRY, NO_ATTRIBUTES)
        self._timeout_ms = timeout_ms

    @property
    def in_flight(self) -> bool:
        """Whether a probe waits for its response."""
        return self.message_id != NOT_IN_FLIGHT

    def send(self, now: float) -> None:
        """Send a probe and start its timeout."""
        self.message_id = self._connection.send(self._search)
        self.deadline = now + self._timeout_ms

    def clear(self) -> None:
        """Clear the probe in flight, since its response arrived or a new search makes it unnecessary."""
        self.message_id = NOT_IN_FLIGHT
        self.deadline = math.inf
