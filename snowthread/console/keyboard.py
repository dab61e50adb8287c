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
    """A context in which keys are read one by one; without a terminal there are none."""

    def __init__(self) -> None:
        self._saved: list[Any] | None = None  # the terminal's attributes, while it is a terminal

    def __enter__(self) -> Keyboard:
        """Stop the terminal from waiting for complete lines."""
        if sys.stdin.isatty():
            self._saved = termios.tcgetattr(sys.stdin)
            tty.setcbreak(sys.stdin)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Restore the terminal."""
        if self._saved is not None:
            termios.tcsetattr(sys.stdin, termios.TCSADRAIN, self._saved)

    def read_key(self, timeout_s: float) -> str:
        """Return the key that is pressed within this time, or an empty string after it."""
        if self._saved is None:
            time.sleep(timeout_s)
            return ""
        ready, _, _ = select.select([sys.stdin], [], [], timeout_s)
        return os.read(sys.stdin.fileno(), 1).decode(errors="ignore") if ready else ""
