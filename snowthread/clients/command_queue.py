"""The queue of commands that were not yet written to the socket of the runtime."""

from __future__ import annotations

import socket
from collections import deque
from typing import NamedTuple

from snowthread.clients.runtime_codec import RuntimeCommand


class QueuedLine(NamedTuple):
    """A line to write, and the command that it encodes."""

    command: RuntimeCommand | None  # the encoded command; None for the first line of a link, a sync request
    line: bytes


class CommandQueue:
    """Unsent lines of one link, in order. Callers may append to ``lines`` but not change it otherwise."""

    def __init__(self) -> None:
        self.lines: deque[QueuedLine] = deque()
        self._first_line_sent_bytes = 0

    def flush(self, sock: socket.socket) -> bool:
        """Send as many lines as the socket accepts.

        Return True if all lines were sent, and False if some are left or the link is broken. The task of the
        link detects and reports the broken link.
        """
        while self.lines:
            line = self.lines[0].line
            try:
                self._first_line_sent_bytes += sock.send(
                    line[self._first_line_sent_bytes :] if self._first_line_sent_bytes else line
                )
            except OSError:  # the send buffer is full, or the link is broken
                return False
            if self._first_line_sent_bytes < len(line):
                return False
            self.lines.popleft()
            self._first_line_sent_bytes = 0
        return True

    def unstarted_lines(self) -> list[QueuedLine]:
        """Return the queued lines of which no byte was sent."""
        return list(self.lines)[1 if self._first_line_sent_bytes else 0 :]

    def clear(self) -> None:
        """Remove all lines, including one that was sent in part."""
        self.lines.clear()
        self._first_line_sent_bytes = 0
