"""What a stand-in process is told on its standard input, a line at a time; its end ends the process."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

from loguru import logger

from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait


def listen_to(loop: EventLoop, take: Callable[[str, str], None]) -> None:
    """Call ``take(word, rest)`` for each line that comes. Read raw: several lines may come at once, and
    what a buffered reader holds back no epoll ever tells of."""
    fd = sys.stdin.fileno()
    os.set_blocking(fd, False)

    def steps() -> TaskSteps:
        rest = b""
        while True:
            yield Wait(fd, READABLE)
            data = os.read(fd, 65536)
            if not data:
                os._exit(0)  # nothing to put away: who started it has ended the play
            *lines, rest = (rest + data).split(b"\n")
            try:
                for line in lines:
                    word, _, more = line.decode().strip().partition(" ")
                    take(word, more)
            except Exception:  # who told it waits for an answer: better none at all, at once
                logger.exception("told {!r}", lines)
                os._exit(1)

    loop.spawn(steps())
