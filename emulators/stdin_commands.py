"""Take commands of an emulator process from its standard input, one a line; the end of input ends it."""

from __future__ import annotations

import os
import sys
from typing import Protocol

from loguru import logger

from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

READ_BYTES = 65536


class CommandHandler(Protocol):
    """Carries out one command."""

    def __call__(self, command: str, argument: str, /) -> None:
        """Take the first word of a line, and the rest of it."""


def handle_commands(loop: EventLoop, handler: CommandHandler) -> None:
    """Call the handler for each line of standard input from now on."""
    loop.spawn(_read_commands(handler))


def _read_commands(handler: CommandHandler) -> Coroutine:
    # Read from the descriptor: epoll does not see lines that a buffered reader has taken already.
    descriptor = sys.stdin.fileno()
    os.set_blocking(descriptor, False)
    partial_line = b""
    while True:
        yield Wait(descriptor, READABLE)
        data = os.read(descriptor, READ_BYTES)
        if not data:
            os._exit(0)  # the process that started this one is done; there is nothing to clean up
        *lines, partial_line = (partial_line + data).split(b"\n")
        try:
            for line in lines:
                command, _, argument = line.decode().strip().partition(" ")
                handler(command, argument)
        except Exception:  # noqa: BLE001  # whatever it is, it ends the process
            # Whoever sent the command waits for its answer: ending now shows the failure at once.
            logger.exception("command failed: {!r}", lines)
            os._exit(1)
