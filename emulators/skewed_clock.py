"""A node on a machine whose clock is wrong: ``python -m emulators.skewed_clock SECONDS ARGUMENT...`` runs the
program with its one clock so far off."""

from __future__ import annotations

import sys

from snowthread.net.clock import Clock


def main() -> int:
    """Shift the clock, then do what the arguments say."""
    from snowthread.cli import main as program

    offset, real = float(sys.argv[1]) * 1000.0, Clock.now
    Clock.now = lambda self: real(self) + offset  # type: ignore[method-assign]
    return program(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
