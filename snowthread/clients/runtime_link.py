"""One link to the runtime: it splits lines, and has the deadlines by which data must arrive. Sans-I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_LINE_BYTES = 256 * 1024  # size limit of a notice; a longer line closes the link
KEEPALIVE_AFTER_SILENCE_MS = 4000.0  # time without data from the runtime, after which a keepalive is sent
KEEPALIVE_TIMEOUT_MS = 1000.0  # how long the link waits for data after a keepalive request
MIGRATION_TIMEOUT_MS = 400.0  # how long the link waits for the echo of a migration marker


@dataclass(slots=True)
class RuntimeLink:
    """The state of one link to the runtime; times are Unix times in milliseconds."""

    last_data_at_ms: float
    keepalive_sent_at_ms: float | None = None  # when a keepalive request was sent; None once data arrives
    migration_deadline_ms: float = math.inf  # when the link is closed even without the marker's echo
    _partial_line: bytes = field(default=b"", init=False)

    def update_deadline(self, now_ms: float, is_migrating: bool, was_ready: bool) -> float:
        """Return the time at which the link must be checked with ``overdue_reason`` if no data arrives.

        The first call during a migration sets ``migration_deadline_ms``, which data that arrives does not
        extend.

        Without these checks a link whose other end vanished without closing it would stay open forever. A
        runtime that has been ready must echo each keepalive request. One that never was ready is still
        starting and is not checked, except for a migration.

        Args:
            now_ms: the current time.
            is_migrating: whether a migration marker was sent.
            was_ready: whether the runtime has been ready on any link.
        """
        if is_migrating and self.migration_deadline_ms == math.inf:
            self.migration_deadline_ms = now_ms + MIGRATION_TIMEOUT_MS
        if not was_ready:
            return self.migration_deadline_ms
        if self.keepalive_sent_at_ms is not None:
            return min(self.migration_deadline_ms, self.keepalive_sent_at_ms + KEEPALIVE_TIMEOUT_MS)
        return min(self.migration_deadline_ms, self.last_data_at_ms + KEEPALIVE_AFTER_SILENCE_MS)

    def overdue_reason(self, now_ms: float) -> str | None:
        """Return why a link past its deadline has to be closed, or None to send a keepalive request first."""
        if now_ms >= self.migration_deadline_ms:
            return "migration marker was not echoed in time; some commands may not have been read"
        return None if self.keepalive_sent_at_ms is None else "no data after a keepalive request"

    def receive(self, data: bytes, now_ms: float) -> list[bytes] | None:
        """Record that data arrived, which ends the wait after a keepalive request, and split it into lines.

        Return the lines that ``data`` completes, or None if a line exceeds :data:`MAX_LINE_BYTES`.
        """
        self.last_data_at_ms = now_ms
        self.keepalive_sent_at_ms = None
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return None if len(self._partial_line) > MAX_LINE_BYTES else lines
