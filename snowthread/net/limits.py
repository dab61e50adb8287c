"""Limits on connections: timeouts for slow peers, buffer sizes, and a budget for abuse.

These limits protect the node from its peers. Which requests are served is up to the admission controller.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.net.clock import MS_PER_S

SWEEP_INTERVAL_MS = 250.0  # interval between sweeps that check the timeouts of all connections
FIRST_BYTE_TIMEOUT_MS = 1800.0  # a new connection must send its first byte in this time
PARTIAL_MESSAGE_TIMEOUT_MS = 3000.0  # a begun message must be complete in this time; slow peers take 2 s
WRITE_STALL_TIMEOUT_MS = 3000.0  # a peer must read some of the bytes sent to it in this time
SINGLE_MESSAGE_IDLE_TIMEOUT_MS = 3000.0  # idle timeout of a connection that carried one message
MIN_IDLE_BEFORE_EVICTION_MS = 250.0  # a connection idle for less may have a request on its way, so is kept
# Share of the connection limit that idle connections may use; of more, the longest idle are closed.
MAX_IDLE_CONNECTIONS_RATIO = 0.5

ABUSE_TOKENS_MAX = 48.0  # invalid messages and cancellations that a peer may send in one burst
ABUSE_TOKENS_PER_S = 24.0  # sustained rate of invalid messages and cancellations of a peer

BYTES_PER_MB = 2**20
RESULT_CACHE_MEMORY_DIVISOR = 8  # cached results may use the memory limit divided by this
UNSENT_MEMORY_DIVISOR = 16  # answers that peers have not read may use the memory limit divided by this


def max_result_bytes(memory_mb: float) -> int:
    """Return the size limit in bytes of the results that are cached for retries."""
    return int(memory_mb * BYTES_PER_MB) // RESULT_CACHE_MEMORY_DIVISOR


def max_unsent_bytes(memory_mb: float) -> int:
    """Return the limit in bytes of the unsent answers to all peers together."""
    return int(memory_mb * BYTES_PER_MB) // UNSENT_MEMORY_DIVISOR


def is_timed_out(
    now_ms: float, waiting_since_ms: float, stalled_since_ms: float, has_partial_message: bool = False
) -> bool:
    """Return whether a peer has made the node wait too long.

    Without these timeouts, silent connections and messages without end would occupy descriptors forever.
    ``waiting_since_ms`` is the time since which a message, or the rest of one, is awaited;
    ``stalled_since_ms`` is the time since which the peer has read none of the bytes sent to it. Each is
    infinity if nothing is awaited.
    """
    read_timeout_ms = PARTIAL_MESSAGE_TIMEOUT_MS if has_partial_message else FIRST_BYTE_TIMEOUT_MS
    return now_ms - waiting_since_ms >= read_timeout_ms or now_ms - stalled_since_ms >= WRITE_STALL_TIMEOUT_MS


@dataclass(slots=True)
class AbuseBudget:
    """A token bucket for one peer: each invalid message and each cancellation takes a token.

    Without it, a peer that resends an invalid message as soon as it is rejected could take as much of the
    node's time as all other peers together.
    """

    refilled_at_ms: float
    tokens: float = ABUSE_TOKENS_MAX

    def refund(self) -> None:
        """Return a token for a request that was served or rejected.

        Balancers that send hedged requests or have short timeouts legitimately cancel more requests than a
        fixed rate would allow.
        """
        self.tokens = min(ABUSE_TOKENS_MAX, self.tokens + 1.0)

    def spend(self, now_ms: float) -> bool:
        """Take a token; return False if none was left."""
        refill = max(0.0, now_ms - self.refilled_at_ms) / MS_PER_S * ABUSE_TOKENS_PER_S
        self.tokens = min(ABUSE_TOKENS_MAX, self.tokens + refill) - 1.0
        self.refilled_at_ms = now_ms
        return self.tokens >= 0.0
