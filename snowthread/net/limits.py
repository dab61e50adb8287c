"""What connections may cost: how long they may keep the node waiting and how much nonsense they may send.

Nothing here decides about requests; that is the decision module's.
"""

from __future__ import annotations

from dataclasses import dataclass

SWEEP_INTERVAL_MS = 250.0  # between two looks over all connections
FIRST_BYTE_TIMEOUT_MS = 1800.0  # the longest wait for the first byte of a message
PARTIAL_MESSAGE_TIMEOUT_MS = 3000.0  # and for the rest of one that is begun: slow peers write one over 2 s
WRITE_STALL_TIMEOUT_MS = 3000.0  # the longest time in which a peer may take nothing of what it is owed
SINGLE_USE_IDLE_MS = 3000.0  # a connection that carried one message is parted with after idling so long
FRESH_IDLE_MS = 250.0  # a connection idle for less may have a request on its way: it is not closed for room
IDLE_SHARE = 0.5  # of the table: more idle connections than that are parted with, the longest idle first
ABUSE_TOKENS_MAX, ABUSE_TOKENS_PER_S = 48.0, 24.0  # messages that are of no use, at once and lastingly


RESULTS_SHARE = 8  # one part in so many of the memory is for results kept for repeats
UNSENT_SHARE = 16  # and one for answers that peers have not taken yet


def max_result_bytes(memory_mb: float) -> int:
    """Bytes of results that may be kept."""
    return int(memory_mb * 2**20) // RESULTS_SHARE


def max_unsent_bytes(memory_mb: float) -> int:
    """Bytes that may wait for all peers together."""
    return int(memory_mb * 2**20) // UNSENT_SHARE


def is_timed_out(now: float, waits_since: float, stuck_since: float, begun: bool = False) -> bool:
    """Has a peer kept the node waiting too long? Silent connections and messages without end would else
    hold their descriptors for good."""
    return (
        now - waits_since >= (PARTIAL_MESSAGE_TIMEOUT_MS if begun else FIRST_BYTE_TIMEOUT_MS)
        or now - stuck_since >= WRITE_STALL_TIMEOUT_MS
    )


@dataclass(slots=True)
class AbuseBudget:
    """A bucket of patience: each message that can't be served, or is taken back, costs one. Without it a peer
    that sends the same again as soon as it is turned away gets as much of the node as all others together."""

    refilled_at_ms: float
    tokens: float = ABUSE_TOKENS_MAX

    def refund(self) -> None:
        """A request was served or refused: whoever asks in earnest may take back as many. Balancers that
        send copies, or wait briefly, lawfully cancel more than a fixed rate allows."""
        self.tokens = min(ABUSE_TOKENS_MAX, self.tokens + 1.0)

    def spend(self, now: float) -> bool:
        """Take one; False where nothing is left."""
        self.tokens = (
            min(
                ABUSE_TOKENS_MAX,
                self.tokens + max(0.0, now - self.refilled_at_ms) / 1000.0 * ABUSE_TOKENS_PER_S,
            )
            - 1.0
        )
        self.refilled_at_ms = now
        return self.tokens >= 0.0
