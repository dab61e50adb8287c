"""Look up unknown clients in the directory over one connection."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from snowthread.ldap.client import LdapConnection
from snowthread.ldap.dn import DistinguishedName
from snowthread.ldap.messages import (
    AbandonRequest,
    Response,
    SearchRequest,
    SearchResultDone,
    SearchResultEntry,
)
from snowthread.ldap.search_filter import And
from snowthread.tenants.entry import BadEntry, read_tenant
from snowthread.tenants.model import Tenant
from snowthread.tenants.replication_context import ReplicationContext
from snowthread.tenants.unknown_clients import lookup_filter


@dataclass(slots=True)
class _Lookup:
    """A lookup in flight, with the entries received for it so far."""

    address: str
    deadline: float
    tenants: list[Tenant] = field(default_factory=list)
    bad_entries: list[BadEntry] = field(default_factory=list)


class ClientLookups:
    """The lookups in flight on one connection, keyed by message id; ``base`` is the search base."""

    def __init__(
        self, context: ReplicationContext, connection: LdapConnection, base: DistinguishedName
    ) -> None:
        self._context = context
        self._connection = connection
        self._base = base
        self._in_flight: dict[int, _Lookup] = {}

    def __contains__(self, message_id: int) -> bool:
        return message_id in self._in_flight

    def next_deadline(self) -> float:
        """Return the earliest deadline of the lookups in flight, or infinity if there are none."""
        return min((lookup.deadline for lookup in self._in_flight.values()), default=math.inf)

    def abandon_timed_out(self, now: float) -> None:
        """Abandon the lookups that have timed out, and treat their clients as not found."""
        unknown_clients = self._context.tenant_state.unknown_clients
        for message_id, lookup in list(self._in_flight.items()):
            if now >= lookup.deadline:
                del self._in_flight[message_id]
                self._connection.send(AbandonRequest(message_id))
                unknown_clients.finish_lookup(lookup.address, found=False, now=now)

    def send_waiting(self, now: float) -> None:
        """Send as many of the waiting lookups as the limits allow."""
        settings = self._context.settings
        unknown_clients = self._context.tenant_state.unknown_clients
        query = settings.query
        while (address := unknown_clients.start_next_lookup(now)) is not None:
            network_filter = lookup_filter(address, query.attribute_names.network, unknown_clients.rules)
            if network_filter is None:
                unknown_clients.finish_lookup(address, found=False, now=now)
                continue
            search = SearchRequest(
                query.base, query.scope, And((query.filter, network_filter)), query.attribute_names.all()
            )
            message_id = self._connection.send(search)
            self._in_flight[message_id] = _Lookup(address, now + settings.operation_timeout_ms)

    def receive(self, message_id: int, response: Response, now: float) -> None:
        """Process one response to a lookup; the last response applies the result to the tenants."""
        lookup = self._in_flight[message_id]
        if isinstance(response, SearchResultEntry):
            self._receive_entry(lookup, response)
        elif isinstance(response, SearchResultDone):
            del self._in_flight[message_id]
            changes = self._context.tenant_state.apply_lookup(
                lookup.address, lookup.tenants, lookup.bad_entries, now
            )
            self._context.publish(changes)

    def _receive_entry(self, lookup: _Lookup, entry: SearchResultEntry) -> None:
        query = self._context.settings.query
        tenant = read_tenant(entry.object_name, entry.attributes, query.attribute_names, self._base)
        if isinstance(tenant, BadEntry):
            lookup.bad_entries.append(tenant)
        elif len(lookup.tenants) < query.page_size:
            lookup.tenants.append(tenant)
