"""Signals of the process, received on the event loop.

SIGHUP reloads the configuration; SIGTERM and SIGINT begin the graceful shutdown. A signal writes its number
into a socket that a task of the loop reads, so no handler runs in the middle of the node's work.
"""

from __future__ import annotations

import math
import signal
import socket
from collections.abc import Callable

from loguru import logger

from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
BLOCKED_SIGNALS = {signal.SIGHUP, *SHUTDOWN_SIGNALS}
"""Signals that ``serve`` blocks from the program's start until the node listens for them."""

READ_BYTES = 64  # one byte a signal
NO_WAKEUP_DESCRIPTOR = -1  # as ``signal.set_wakeup_fd`` has it


class SignalListener:
    """Calls what the signals of the process ask for, on the event loop.

    ``begin_shutdown`` is called once, with the time of the first signal to shut down in Unix milliseconds;
    ``reload`` at each SIGHUP.
    """

    def __init__(
        self, loop: EventLoop, begin_shutdown: Callable[[float], None], reload: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._begin_shutdown = begin_shutdown
        self._reload = reload
        self._sockets: tuple[socket.socket, socket.socket] | None = None  # open as long as the process
        self._shutdown_signal_at_ms = math.inf

    def start(self) -> None:
        """Listen from now on; signals that were blocked so far arrive at once."""
        reader, writer = socket.socketpair()
        self._sockets = (reader, writer)
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno())
        signal.signal(signal.SIGHUP, _ignore)
        for number in SHUTDOWN_SIGNALS:
            signal.signal(number, self._record_shutdown_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        self._loop.spawn(self._run(reader))

    def stop(self) -> None:
        """Ignore these signals from now on; the process is about to end.

        The interpreter restores their defaults as it ends: a signal then would end the process with a
        failure, though all was answered.
        """
        if self._sockets is None:
            return
        signal.set_wakeup_fd(NO_WAKEUP_DESCRIPTOR)
        for number in BLOCKED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _record_shutdown_signal(self, *_: object) -> None:
        """Note when a signal to shut down came.

        The loop may be late to read of it, and the termination grace period counts from the signal.
        """
        self._shutdown_signal_at_ms = min(self._shutdown_signal_at_ms, self._loop.clock.now())

    def _run(self, reader: socket.socket) -> Coroutine:
        shutdown_begun = False
        while True:
            yield Wait(reader.fileno(), READABLE)
            received = reader.recv(READ_BYTES)
            if signal.SIGHUP in received:  # also while shutting down: runs go on, and the runtime may migrate
                self._try_reload()
            if not shutdown_begun and any(number in received for number in SHUTDOWN_SIGNALS):
                shutdown_begun = True
                self._begin_shutdown(self._shutdown_signal_at_ms)

    def _try_reload(self) -> None:
        try:
            self._reload()
        except Exception:  # noqa: BLE001  # whatever is wrong with a file, this task must go on listening
            logger.exception("configuration not taken up")


def _ignore(*_: object) -> None:
    """Handle a signal that only its number in the wakeup socket matters of."""
