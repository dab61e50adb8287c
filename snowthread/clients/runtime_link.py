"""One link to the runtime: its lines, and until when something has to be read on it. Sans-I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_LINE_BYTES = 256 * 1024  # a longer line is no notice
KEEPALIVE_AFTER_SILENCE_MS = 4000.0  # a runtime silent for this long is sent a keepalive request
KEEPALIVE_TIMEOUT_MS = 1000.0  # the longest wait for the echo of a keepalive request
MIGRATION_TIMEOUT_MS = 400.0  # the longest wait for the echo of a migration marker


@dataclass(slots=True)
class RuntimeLink:
    """What is known of the present link."""

    last_data_at_ms: float
    keepalive_sent_at_ms: float | None = None  # None: no echo is waited for
    migration_deadline_ms: float = math.inf  # when the link is given up though the marker was not echoed
    _partial_line: bytes = field(default=b"", init=False)

    def deadline_ms(self, now_ms: float, is_migrating: bool, was_ready: bool) -> float:
        """Return when the link is due to be checked by ``overdue_reason``.

        A link whose other end vanished silently would stay open for ever. A runtime that was ready once owes
        an echo to each keepalive request; one that never was has not started.
        """
        if is_migrating and self.migration_deadline_ms == math.inf:
            self.migration_deadline_ms = now_ms + MIGRATION_TIMEOUT_MS
        if not was_ready:
            return self.migration_deadline_ms
        if self.keepalive_sent_at_ms is not None:
            return min(self.migration_deadline_ms, self.keepalive_sent_at_ms + KEEPALIVE_TIMEOUT_MS)
        return min(self.migration_deadline_ms, self.last_data_at_ms + KEEPALIVE_AFTER_SILENCE_MS)

    def overdue_reason(self, now_ms: float) -> str | None:
        """Return why a link that is due is given up, with nothing to read; None: send a keepalive request."""
        if now_ms >= self.migration_deadline_ms:
            return "migrated, though not all may have been read"
        return None if self.keepalive_sent_at_ms is None else "silent"

    def split_lines(self, data: bytes, now_ms: float) -> list[bytes] | None:
        """Return the lines that data completes; None where a line is too long to be a notice."""
        self.last_data_at_ms = now_ms
        self.keepalive_sent_at_ms = None
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return None if len(self._partial_line) > MAX_LINE_BYTES else lines
