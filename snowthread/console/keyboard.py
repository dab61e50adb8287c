"""Read single keys from the terminal without echo."""

from __future__ import annotations

import os
import select
import sys
import termios
import time
import tty
from types import TracebackType
from typing import Any


class Keyboard:
    """A context manager in which keys are read one by one; without a terminal no key is ever read."""

    def __init__(self) -> None:
        # Terminal attributes to restore on exit; None if standard input is no terminal.
        self._saved_attributes: list[Any] | None = None

    def __enter__(self) -> Keyboard:
        """Switch the terminal to cbreak mode, which delivers keys without waiting for a complete line."""
        if sys.stdin.isatty():
            self._saved_attributes = termios.tcgetattr(sys.stdin)
            tty.setcbreak(sys.stdin)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Restore the terminal attributes."""
        if self._saved_attributes is not None:
            termios.tcsetattr(sys.stdin, termios.TCSADRAIN, self._saved_attributes)

    def read_key(self, timeout_s: float) -> str:
        """Return the next key, or an empty string if none is pressed within ``timeout_s`` seconds."""
        if self._saved_attributes is None:
            time.sleep(timeout_s)
            return ""
        ready, _, _ = select.select([sys.stdin], [], [], timeout_s)
        return os.read(sys.stdin.fileno(), 1).decode(errors="ignore") if ready else ""
