"""Read the commands of an emulator process from standard input, one per line.

The process exits with status 0 at the end of the input, and with status 1 when a command fails.
"""

from __future__ import annotations

import os
import sys
from typing import Protocol

from loguru import logger

from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

READ_BYTES = 65536


class CommandHandler(Protocol):
    """Executes one command."""

    def __call__(self, command: str, argument: str, /) -> None:
        """Execute a command; ``command`` is the first word of the line, ``argument`` the rest of it."""


def handle_commands(loop: EventLoop, handler: CommandHandler) -> None:
    """Call the handler for each line of standard input from now on."""
    loop.spawn(_read_commands(handler))


def _read_commands(handler: CommandHandler) -> Coroutine:
    # Read from the descriptor: epoll does not report lines that a buffered reader has already read from it.
    descriptor = sys.stdin.fileno()
    os.set_blocking(descriptor, False)
    partial_line = b""
    while True:
        yield Wait(descriptor, READABLE)
        data = os.read(descriptor, READ_BYTES)
        if not data:
            # The parent process has closed the pipe and waits for no answer; no cleanup is needed.
            os._exit(0)
        *lines, partial_line = (partial_line + data).split(b"\n")
        try:
            for line in lines:
                command, _, argument = line.decode().strip().partition(" ")
                handler(command, argument)
        except Exception:  # noqa: BLE001  # Any error of a handler ends the process.
            # The parent process waits for an answer; ending the process shows it the failure at once.
            logger.exception(
                "a command on standard input failed, the emulator exits; lines read: {!r}", lines
            )
            os._exit(1)
