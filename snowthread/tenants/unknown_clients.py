"""Schedule directory lookups of clients that no known tenant owns, without I/O.

At most one lookup per client is in flight. A client that the directory does not know either is kept in a
negative cache for a limited time. The lookups in flight, the waiting clients, the negative cache and the
lookups per second are limited, so that many unknown clients put almost no load on the directory. Until a
lookup finds a tenant, requests of the client belong to the default tenant.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from ipaddress import ip_network

from snowthread.ldap import filters
from snowthread.ldap.search_filter import Or
from snowthread.tenants.client_address import parse_client_address

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class UnknownClientRules:
    """Whether unknown clients are looked up, the limits of lookups, and the prefix lengths to search for.

    The prefix lengths are those of the networks around a client that a lookup searches for.
    """

    enabled: bool = True  # whether unknown clients are looked up
    negative_ttl_ms: float = 60_000.0  # time for which a client that was not found is not looked up again
    max_negative_entries: int = 10_000  # clients in the negative cache; the oldest entry is dropped
    max_waiting: int = 256  # clients that wait for a lookup; further ones are not queued
    max_in_flight: int = 8  # lookups sent to the directory and not yet answered
    lookups_per_s: float = 20.0  # rate of lookups; also the most that can start at once after a pause
    ipv4_prefix_lengths: tuple[int, ...] = (8, 12, 16, 20, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32)
    ipv6_prefix_lengths: tuple[int, ...] = (32, 40, 44, 48, 52, 56, 60, 64, 128)


class UnknownClients:
    """Clients that wait for a lookup, are being looked up, or are in the negative cache.

    ``len`` counts the first two only; the negative cache is not included.
    """

    def __init__(self, rules: UnknownClientRules) -> None:
        self.rules = rules
        self.lookups_started = 0
        self.lookups_dropped = 0
        self._waiting: OrderedDict[str, None] = OrderedDict()
        self._in_flight: set[str] = set()
        self._negative_cache: OrderedDict[str, float] = OrderedDict()  # address to its expiry time
        self._tokens = rules.lookups_per_s
        self._refilled_at_ms = 0.0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._in_flight)

    @property
    def waiting_count(self) -> int:
        """The number of clients that wait for a lookup."""
        return len(self._waiting)

    @property
    def negative_cache_size(self) -> int:
        """The number of clients that are cached as unknown to the directory."""
        return len(self._negative_cache)

    def queue_lookup(self, address: str, now: float) -> bool:
        """Queue a lookup of the client; return whether one was queued.

        None is queued if lookups are disabled, the client is waiting, in flight or in the negative cache, or
        too many clients wait.
        """
        if not self.rules.enabled or address in self._in_flight or address in self._waiting:
            return False
        expires_at = self._negative_cache.get(address)
        if expires_at is not None:
            if now < expires_at:
                return False
            del self._negative_cache[address]
        if len(self._waiting) >= self.rules.max_waiting:
            self.lookups_dropped += 1
            return False
        self._waiting[address] = None
        return True

    def start_next_lookup(self, now: float) -> str | None:
        """Return the client to look up now, or None if none waits or the limits allow no lookup."""
        self._refill_tokens(now)
        if not self._waiting or len(self._in_flight) >= self.rules.max_in_flight or self._tokens < 1.0:
            return None
        self._tokens -= 1.0
        address, _ = self._waiting.popitem(last=False)
        self._in_flight.add(address)
        self.lookups_started += 1
        return address

    def finish_lookup(self, address: str, found: bool, now: float) -> None:
        """Record the result of a lookup; a client that was not found enters the negative cache."""
        self._in_flight.discard(address)
        if found:
            return
        self._negative_cache[address] = now + self.rules.negative_ttl_ms
        self._negative_cache.move_to_end(address)
        while len(self._negative_cache) > self.rules.max_negative_entries:
            self._negative_cache.popitem(last=False)

    def abort_lookups(self) -> None:
        """Forget the lookups in flight because the connection ended; later requests may repeat them."""
        self._in_flight.clear()

    def clear_negative_cache(self) -> None:
        """Clear the negative cache because the table changed."""
        self._negative_cache.clear()

    def _refill_tokens(self, now: float) -> None:
        elapsed_ms = max(0.0, now - self._refilled_at_ms)
        refill = elapsed_ms / MS_PER_S * self.rules.lookups_per_s
        self._tokens = min(self.rules.lookups_per_s, self._tokens + refill)
        self._refilled_at_ms = now


def lookup_filter(address: str, attribute: str, rules: UnknownClientRules) -> Or | None:
    """Return a filter for tenants with a network that contains this address, or None for an invalid address.

    Directories compare networks as text, so the filter has one equality test for each prefix length in the
    rules, and one for the address itself.
    """
    ip = parse_client_address(address)
    if ip is None:
        return None
    lengths = rules.ipv4_prefix_lengths if ip.version == 4 else rules.ipv6_prefix_lengths
    networks = [str(ip_network(f"{ip}/{length}", strict=False)) for length in lengths]
    return Or(tuple(filters.equality_filter(attribute, text) for text in (*networks, str(ip))))
