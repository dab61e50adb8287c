"""What connections may cost: how long they may keep the node waiting and how much nonsense they may send.

Nothing here decides about requests; that is the decision module's.
"""

from __future__ import annotations

from dataclasses import dataclass

SWEEP_MS = 250.0  # between two looks over all connections
WAITED_MS = 1800.0  # the longest wait for the first byte of a message
BEGUN_MS = 3000.0  # and for the rest of one that is begun: slow peers write one over 2 s
STUCK_MS = 3000.0  # the longest time in which a peer may take nothing of what it is owed
ONCE_MS = 3000.0  # a connection that carried one message is parted with after idling so long
NEW_MS = 250.0  # a connection idle for less may have a request on its way: it is not closed for room
IDLE_SHARE = 0.5  # of the table: more idle connections than that are parted with, the longest idle first
TRUST_MOST, TRUST_PER_S = 48.0, 24.0  # messages that are of no use, at once and lastingly


RESULTS_SHARE = 8  # one part in so many of the memory is for results kept for repeats
UNSENT_SHARE = 16  # and one for answers that peers have not taken yet


def results_max(memory_mb: float) -> int:
    """Bytes of results that may be kept."""
    return int(memory_mb * 2**20) // RESULTS_SHARE


def unsent_max(memory_mb: float) -> int:
    """Bytes that may wait for all peers together."""
    return int(memory_mb * 2**20) // UNSENT_SHARE


def overdue(now: float, waits_since: float, stuck_since: float, begun: bool = False) -> bool:
    """Has a peer kept the node waiting too long? Silent connections and messages without end would else
    hold their descriptors for good."""
    return now - waits_since >= (BEGUN_MS if begun else WAITED_MS) or now - stuck_since >= STUCK_MS


@dataclass(slots=True)
class Trust:
    """A bucket of patience: each message that can't be served, or is taken back, costs one. Without it a peer
    that sends the same again as soon as it is turned away gets as much of the node as all others together."""

    filled_at: float
    left: float = TRUST_MOST

    def earn(self) -> None:
        """A request was served or refused: whoever asks in earnest may take back as many. Balancers that
        send copies, or wait briefly, lawfully cancel more than a fixed rate allows."""
        self.left = min(TRUST_MOST, self.left + 1.0)

    def spend(self, now: float) -> bool:
        """Take one; False where nothing is left."""
        self.left = min(TRUST_MOST, self.left + max(0.0, now - self.filled_at) / 1000.0 * TRUST_PER_S) - 1.0
        self.filled_at = now
        return self.left >= 0.0
