"""Questions about callers that nobody knows. Free of I/O.

One question a caller is in flight; an answer of "nobody's" is remembered for a bounded time; questions in
flight, answers remembered and questions a second are bounded, so that a crowd of strangers costs the
directory next to nothing. Meanwhile they are the default tenant's.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from ipaddress import ip_address, ip_network

from snowthread.ldap import filters
from snowthread.ldap.messages import FilterTree


@dataclass(frozen=True, slots=True)
class UnknownClientRules:
    """Whether to ask, how long a "nobody's" holds, and the bounds."""

    enabled: bool = True
    negative_ttl_ms: float = 60_000.0
    max_negative_entries: int = 10_000
    max_waiting: int = 256
    max_in_flight: int = 8
    lookups_per_s: float = 20.0
    ipv4_prefix_lengths: tuple[int, ...] = (8, 12, 16, 20, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32)
    ipv6_prefix_lengths: tuple[int, ...] = (32, 40, 44, 48, 52, 56, 60, 64, 128)


class UnknownClients:
    """Who waits for a question, who is asked about, and whom the directory does not know."""

    def __init__(self, rules: UnknownClientRules) -> None:
        self.rules = rules
        self.lookups_started = self.lookups_dropped = 0
        self._waiting: OrderedDict[str, None] = OrderedDict()
        self._in_flight: set[str] = set()
        self._negative_cache: OrderedDict[str, float] = OrderedDict()  # address -> until when
        self._tokens, self._at = rules.lookups_per_s, 0.0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._in_flight)

    @property
    def waiting(self) -> int:
        """How many wait for their question."""
        return len(self._waiting)

    @property
    def negative_cache_size(self) -> int:
        """How many are known to be nobody's."""
        return len(self._negative_cache)

    def request_lookup(self, address: str, now: float) -> bool:
        """A caller nobody knows; True where a question about it now waits to be sent."""
        if not self.rules.enabled or address in self._in_flight or address in self._waiting:
            return False
        until = self._negative_cache.get(address)
        if until is not None:
            if now < until:
                return False
            del self._negative_cache[address]
        if len(self._waiting) >= self.rules.max_waiting:
            self.lookups_dropped += 1
            return False
        self._waiting[address] = None
        return True

    def start_next_lookup(self, now: float) -> str | None:
        """The caller to ask about now, if the bounds let one be asked."""
        self._tokens = min(
            self.rules.lookups_per_s,
            self._tokens + max(0.0, now - self._at) / 1000.0 * self.rules.lookups_per_s,
        )
        self._at = now
        if not self._waiting or len(self._in_flight) >= self.rules.max_in_flight or self._tokens < 1.0:
            return None
        self._tokens -= 1.0
        address, _ = self._waiting.popitem(last=False)
        self._in_flight.add(address)
        self.lookups_started += 1
        return address

    def finish_lookup(self, address: str, found: bool, now: float) -> None:
        """The directory's word about a caller."""
        self._in_flight.discard(address)
        if not found:
            self._negative_cache[address] = now + self.rules.negative_ttl_ms
            self._negative_cache.move_to_end(address)
            while len(self._negative_cache) > self.rules.max_negative_entries:
                self._negative_cache.popitem(last=False)

    def abort_lookups(self) -> None:
        """The link broke: what was in flight is asked again when the caller comes again."""
        self._in_flight.clear()

    def clear_negative_cache(self) -> None:
        """The table is another: what was nobody's may be somebody's."""
        self._negative_cache.clear()


def lookup_filter(address: str, attribute: str, rules: UnknownClientRules) -> FilterTree | None:
    """The filter that finds who has a network round this address: each prefix the operator uses, in full."""
    try:
        ip = ip_address(address.partition("%")[0])
    except ValueError:
        return None
    ip = getattr(ip, "ipv4_mapped", None) or ip
    lengths = rules.ipv4_prefix_lengths if ip.version == 4 else rules.ipv6_prefix_lengths
    tests = [
        filters.equality_filter(attribute, str(ip_network(f"{ip}/{length}", strict=False)))
        for length in lengths
    ]
    tests.append(filters.equality_filter(attribute, str(ip)))
    return "or", tests
