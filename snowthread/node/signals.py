"""Receives the process's signals on the event loop.

SIGHUP reloads the configuration; SIGTERM and SIGINT begin the graceful shutdown. The interpreter writes the
number of each signal to a wakeup socket, which a task of the event loop reads, so that signals are processed
between other events and never in the middle of one.
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
"""Signals that :func:`snowthread.serve.serve` blocks from its start until the node handles them."""

READ_BYTES = 64  # most bytes read from the wakeup socket at a time; each signal is one byte
NO_WAKEUP_DESCRIPTOR = -1  # the value by which ``signal.set_wakeup_fd`` unsets the descriptor


class SignalListener:
    """Calls a function for each kind of signal, on the event loop.

    ``begin_shutdown`` is called once, with the time of the first SIGTERM or SIGINT in Unix milliseconds;
    ``reload`` is called at each SIGHUP.
    """

    def __init__(
        self, loop: EventLoop, begin_shutdown: Callable[[float], None], reload: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._begin_shutdown = begin_shutdown
        self._reload = reload
        # The reading and the writing end of the wakeup socket, which stay open until the process exits.
        self._sockets: tuple[socket.socket, socket.socket] | None = None
        self._shutdown_signal_at_ms = math.inf  # time of the first shutdown signal

    def start(self) -> None:
        """Install the handlers and unblock the signals; those that were pending arrive immediately."""
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
        """Ignore the signals, as the process is about to exit.

        The interpreter restores the default handlers when it exits: a signal would then terminate the process
        with a failure status, although all requests were answered.
        """
        if self._sockets is None:
            return
        signal.set_wakeup_fd(NO_WAKEUP_DESCRIPTOR)
        for number in BLOCKED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _record_shutdown_signal(self, *_: object) -> None:
        """Record the time of the first shutdown signal.

        The event loop may process the signal late, but the termination grace period counts from the signal.
        """
        self._shutdown_signal_at_ms = min(self._shutdown_signal_at_ms, self._loop.clock.now())

    def _run(self, reader: socket.socket) -> Coroutine:
        shutdown_begun = False
        while True:
            yield Wait(reader.fileno(), READABLE)
            received = reader.recv(READ_BYTES)
            if signal.SIGHUP in received:  # during a shutdown too: runs continue and the runtime may migrate
                self._try_reload()
            if not shutdown_begun and any(number in received for number in SHUTDOWN_SIGNALS):
                shutdown_begun = True
                self._begin_shutdown(self._shutdown_signal_at_ms)

    def _try_reload(self) -> None:
        try:
            self._reload()
        except Exception:  # noqa: BLE001  # a failed reload must not end the task that handles signals
            logger.exception("reload failed, keeping the current configuration")


def _ignore(*_: object) -> None:
    """Do nothing: the signal is processed when its number is read from the wakeup socket."""
