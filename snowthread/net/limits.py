"""Limits on connections: how long a peer may make the node wait and how much abuse is tolerated.

Nothing here decides about requests; that is the admission controller's work.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.net.clock import MS_PER_S

SWEEP_INTERVAL_MS = 250.0  # between two checks of all connections
FIRST_BYTE_TIMEOUT_MS = 1800.0  # the longest wait for the first byte of a message
PARTIAL_MESSAGE_TIMEOUT_MS = 3000.0  # and for the rest of one that has begun: slow peers write one over 2 s
WRITE_STALL_TIMEOUT_MS = 3000.0  # the longest time in which a peer may read nothing of what it is sent
SINGLE_MESSAGE_IDLE_TIMEOUT_MS = (
    3000.0  # a connection that carried one message is closed after idling this long
)
MIN_IDLE_BEFORE_EVICTION_MS = 250.0  # one idle for less may have a request on its way: it is not evicted
MAX_IDLE_CONNECTIONS_RATIO = 0.5  # of the connection limit: of more idle ones the longest idle are closed

ABUSE_TOKENS_MAX = 48.0  # messages without use that a peer may send at once
ABUSE_TOKENS_PER_S = 24.0  # and those that it may send in the long run

BYTES_PER_MB = 2**20
RESULT_CACHE_MEMORY_DIVISOR = 8  # one part in this many of the memory is for cached results
UNSENT_MEMORY_DIVISOR = 16  # and one in this many for answers that peers have not read yet


def max_result_bytes(memory_mb: float) -> int:
    """Return how many bytes of results may be cached for retries."""
    return int(memory_mb * BYTES_PER_MB) // RESULT_CACHE_MEMORY_DIVISOR


def max_unsent_bytes(memory_mb: float) -> int:
    """Return how many bytes of answers may wait for all peers together."""
    return int(memory_mb * BYTES_PER_MB) // UNSENT_MEMORY_DIVISOR


def is_timed_out(
    now_ms: float, waiting_since_ms: float, stalled_since_ms: float, has_partial_message: bool = False
) -> bool:
    """Return whether a peer has made the node wait too long.

    Silent connections and messages without an end would otherwise occupy their descriptors for good. The wait
    for a message counts from ``waiting_since_ms``, and the wait for the peer to read what it is sent from
    ``stalled_since_ms``.
    """
    read_timeout_ms = PARTIAL_MESSAGE_TIMEOUT_MS if has_partial_message else FIRST_BYTE_TIMEOUT_MS
    return now_ms - waiting_since_ms >= read_timeout_ms or now_ms - stalled_since_ms >= WRITE_STALL_TIMEOUT_MS


@dataclass(slots=True)
class AbuseBudget:
    """A token bucket for one peer: each message that can't be served, or is cancelled, costs a token.

    Without it a peer that sends the same again as soon as it is rejected would get as much of the node as all
    others together.
    """

    refilled_at_ms: float
    tokens: float = ABUSE_TOKENS_MAX

    def refund(self) -> None:
        """Give a token back for a request that was served or rejected.

        Balancers that send hedged requests, or wait briefly, rightly cancel more than a fixed rate allows.
        """
        self.tokens = min(ABUSE_TOKENS_MAX, self.tokens + 1.0)

    def spend(self, now_ms: float) -> bool:
        """Take a token; return False where none is left."""
        refill = max(0.0, now_ms - self.refilled_at_ms) / MS_PER_S * ABUSE_TOKENS_PER_S
        self.tokens = min(ABUSE_TOKENS_MAX, self.tokens + refill) - 1.0
        self.refilled_at_ms = now_ms
        return self.tokens >= 0.0
