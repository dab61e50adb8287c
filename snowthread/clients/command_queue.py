"""Commands for the runtime that its socket has not taken yet."""

from __future__ import annotations

import socket
from collections import deque
from typing import NamedTuple

from snowthread.clients.runtime_codec import RuntimeCommand


class QueuedLine(NamedTuple):
    """A line to write, and the command that it is of."""

    command: RuntimeCommand | None  # None: the first line on a link
    line: bytes


class CommandQueue:
    """Unsent lines of one link, in order; ``lines`` may be added to, and is otherwise changed here alone."""

    def __init__(self) -> None:
        self.lines: deque[QueuedLine] = deque()
        self._first_line_sent_bytes = 0

    def flush(self, sock: socket.socket) -> bool:
        """Send lines; return False where one is left or the link is broken, which its task finds out."""
        while self.lines:
            line = self.lines[0].line
            try:
                self._first_line_sent_bytes += sock.send(
                    line[self._first_line_sent_bytes :] if self._first_line_sent_bytes else line
                )
            except OSError:  # the socket is full, or the link broken
                return False
            if self._first_line_sent_bytes < len(line):
                return False
            self.lines.popleft()
            self._first_line_sent_bytes = 0
        return True

    def lines_not_begun(self) -> list[QueuedLine]:
        """Return the lines of which no byte was sent."""
        return list(self.lines)[1 if self._first_line_sent_bytes else 0 :]

    def clear(self) -> None:
        """Remove all."""
        self.lines.clear()
        self._first_line_sent_bytes = 0
