"""Signals of the process, received on the event loop.

SIGHUP reloads the configuration; SIGTERM and SIGINT begin the graceful shutdown. A signal writes its number
into a socket that a task of the loop reads, so no handler runs in the middle of the node's work.
"""

from __future__ import annotations

import math
import signal
import socket
from typing import TYPE_CHECKING

from loguru import logger

from snowthread.net.loop import READABLE, TaskSteps, Wait
from snowthread.reload import reload

if TYPE_CHECKING:
    from snowthread.node.node import Node

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
BLOCKED_SIGNALS = {signal.SIGHUP, *SHUTDOWN_SIGNALS}
"""Signals that ``serve`` blocks from the program's start until the node listens for them."""

SIGNALS_PER_READ = 64  # bytes, one a signal


class SignalListener:
    """Passes the signals of the process on to a node."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._sockets: tuple[socket.socket, socket.socket] | None = None  # open as long as the process
        self._shutdown_signal_at_ms = math.inf  # when the first signal to shut down came

    def start(self) -> None:
        """Listen from now on; signals that were blocked so far arrive at once."""
        reader, writer = self._sockets = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno())
        signal.signal(signal.SIGHUP, lambda *_: None)
        for number in SHUTDOWN_SIGNALS:
            signal.signal(number, self._note_shutdown_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        self._node.loop.spawn(self._steps(reader))

    def stop(self) -> None:
        """Ignore all signals of ours from now on; the process is about to end.

        The interpreter gives them their defaults back as it ends: a signal then would end the process with a
        failure, though all was answered.
        """
        if self._sockets is None:
            return
        signal.set_wakeup_fd(-1)
        for number in BLOCKED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _note_shutdown_signal(self, *_: object) -> None:
        """Note when a signal to shut down came.

        The loop may be late to read of it, and the grace period counts from the signal.
        """
        self._shutdown_signal_at_ms = min(self._shutdown_signal_at_ms, self._node.clock.now())

    def _steps(self, reader: socket.socket) -> TaskSteps:
        shutdown_begun = False
        while True:
            yield Wait(reader.fileno(), READABLE)
            received = reader.recv(SIGNALS_PER_READ)
            if signal.SIGHUP in received:  # also while shutting down: runs go on, and the runtime may move
                self._reload()
            if not shutdown_begun and any(number in received for number in SHUTDOWN_SIGNALS):
                shutdown_begun = True
                self._node.shutdown.begin(self._shutdown_signal_at_ms)

    def _reload(self) -> None:
        try:
            reload(self._node)
        except Exception:  # whatever is wrong with a file, this task must go on listening
            logger.exception("configuration not taken up")
