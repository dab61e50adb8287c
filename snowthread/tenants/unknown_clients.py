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

    ask: bool = True
    remember_ms: float = 60_000.0
    remembered_most: int = 10_000
    waiting_most: int = 256
    open_most: int = 8
    per_s: float = 20.0
    prefixes4: tuple[int, ...] = (8, 12, 16, 20, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32)
    prefixes6: tuple[int, ...] = (32, 40, 44, 48, 52, 56, 60, 64, 128)


class UnknownClients:
    """Who waits for a question, who is asked about, and whom the directory does not know."""

    def __init__(self, rules: UnknownClientRules) -> None:
        self.rules = rules
        self.asked = self.dropped = 0
        self._waiting: OrderedDict[str, None] = OrderedDict()
        self._open: set[str] = set()
        self._nobodys: OrderedDict[str, float] = OrderedDict()  # address -> until when
        self._tokens, self._at = rules.per_s, 0.0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._open)

    @property
    def waiting(self) -> int:
        """How many wait for their question."""
        return len(self._waiting)

    @property
    def remembered(self) -> int:
        """How many are known to be nobody's."""
        return len(self._nobodys)

    def seen(self, address: str, now: float) -> bool:
        """A caller nobody knows; True where a question about it now waits to be sent."""
        if not self.rules.ask or address in self._open or address in self._waiting:
            return False
        until = self._nobodys.get(address)
        if until is not None:
            if now < until:
                return False
            del self._nobodys[address]
        if len(self._waiting) >= self.rules.waiting_most:
            self.dropped += 1
            return False
        self._waiting[address] = None
        return True

    def next(self, now: float) -> str | None:
        """The caller to ask about now, if the bounds let one be asked."""
        self._tokens = min(
            self.rules.per_s, self._tokens + max(0.0, now - self._at) / 1000.0 * self.rules.per_s
        )
        self._at = now
        if not self._waiting or len(self._open) >= self.rules.open_most or self._tokens < 1.0:
            return None
        self._tokens -= 1.0
        address, _ = self._waiting.popitem(last=False)
        self._open.add(address)
        self.asked += 1
        return address

    def answered(self, address: str, found: bool, now: float) -> None:
        """The directory's word about a caller."""
        self._open.discard(address)
        if not found:
            self._nobodys[address] = now + self.rules.remember_ms
            self._nobodys.move_to_end(address)
            while len(self._nobodys) > self.rules.remembered_most:
                self._nobodys.popitem(last=False)

    def unanswered(self) -> None:
        """The link broke: what was in flight is asked again when the caller comes again."""
        self._open.clear()

    def changed(self) -> None:
        """The table is another: what was nobody's may be somebody's."""
        self._nobodys.clear()


def question(address: str, attribute: str, rules: UnknownClientRules) -> FilterTree | None:
    """The filter that finds who has a network round this address: each prefix the operator uses, in full."""
    try:
        ip = ip_address(address.partition("%")[0])
    except ValueError:
        return None
    ip = getattr(ip, "ipv4_mapped", None) or ip
    lengths = rules.prefixes4 if ip.version == 4 else rules.prefixes6
    tests = [filters.equal(attribute, str(ip_network(f"{ip}/{length}", strict=False))) for length in lengths]
    tests.append(filters.equal(attribute, str(ip)))
    return "or", tests
