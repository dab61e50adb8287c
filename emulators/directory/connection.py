"""A client's connection: reads its requests and has them answered, until the connection ends."""

from __future__ import annotations

import socket
from collections.abc import Callable, Generator

import asn1

from emulators.directory import ber
from emulators.directory.ber import Node
from emulators.directory.entries import Entry
from emulators.directory.link import Link
from emulators.directory.protocol import EntryState
from emulators.directory.requests import NextStep, RequestHandler
from emulators.directory.responses import ResponseWriter
from emulators.directory.searches import SearchHandler
from emulators.directory.state import DirectoryState
from snowthread.net.loop import HANGUP, READABLE, Coroutine, EventLoop, Task, Wait

MAX_REQUEST_BYTES = 64 * 1024
UNSOLICITED = 0  # Message id of unsolicited notifications (RFC 4511, section 4.4).


class Connection:
    """One connection of a client; ``on_end`` is called when it has ended."""

    def __init__(
        self,
        directory: DirectoryState,
        loop: EventLoop,
        sock: socket.socket,
        on_end: Callable[[Connection], None],
    ) -> None:
        self._directory = directory
        self._loop = loop
        self._sock = sock
        self._on_end = on_end
        self._closing = False  # Whether the connection closes once all queued bytes are sent.
        self._received = bytearray()
        self._link = Link(directory, loop.clock, sock)
        self._responses = ResponseWriter(directory, self._transmit)
        self._searches = SearchHandler(directory, self._responses)
        self._handler = RequestHandler(directory, self._responses, self._searches)
        self.task: Task = loop.spawn(self._run())

    def notify_change(self, entry: Entry, state: EntryState) -> None:
        """Report a changed entry to the connection's persistent searches."""
        self._searches.notify_change(entry, state)

    def close_with(self, notice: Node) -> None:
        """Send an unsolicited notification, then close the connection."""
        self._responses.send(UNSOLICITED, notice)
        self._closing = True

    def _transmit(self, data: bytes | None) -> None:
        if data is None:
            self._closing = True
        else:
            self._link.queue(data)
        self._loop.wake(self.task)

    def _run(self) -> Coroutine:
        try:
            if self._directory.capabilities.ldaps:
                yield from self._link.handshake()
                yield from self._receive(b"")  # Requests that arrived with the last bytes of the handshake.
            while not (self._closing and self._link.all_sent):
                self._link.flush()
                ready = yield self._link.next_wait()
                if ready & (READABLE | HANGUP) and not self._directory.faults.stall:
                    data = self._link.receive()
                    if not data:
                        return
                    yield from self._receive(data)
        except (OSError, asn1.Error, ValueError, IndexError):
            pass
        finally:
            self._on_end(self)
            self._loop.close(self._sock)

    def _receive(self, data: bytes) -> Generator[Wait, int, None]:
        """Handle all complete requests in the bytes received so far.

        Raises:
            ValueError: An incomplete request is longer than ``MAX_REQUEST_BYTES``.
        """
        self._received += self._link.decrypt(data)
        while (length := ber.frame_length(self._received)) is not None and len(self._received) >= length:
            frame = bytes(self._received[:length])
            del self._received[:length]
            next_step = self._handler.handle(ber.decode(frame).value)
            if next_step is NextStep.CLOSE:
                self._closing = True
            elif next_step is NextStep.START_TLS:
                yield from self._link.handshake()
                self._received.clear()  # Clear text received after a StartTLS request must not be processed.
                yield from self._receive(b"")
                return
        if len(self._received) > MAX_REQUEST_BYTES:
            raise ValueError("the client's request is longer than MAX_REQUEST_BYTES")
