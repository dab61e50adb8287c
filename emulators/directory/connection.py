"""One client's connection: bytes, TLS and the faults of the link."""

from __future__ import annotations

import socket
import ssl
import struct
from collections.abc import Generator, Iterable
from typing import TYPE_CHECKING

import asn1

from emulators.directory import ber, protocol
from emulators.directory.ber import Node
from emulators.directory.entries import Entry
from emulators.directory.protocol import EntryState
from emulators.directory.requests import NextStep, RequestHandler
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Task, TaskSteps, Wait

if TYPE_CHECKING:
    from emulators.directory.server import Directory

MAX_REQUEST_BYTES = 64 * 1024
READ_BYTES = 65536
NEVER_MS = 1e12
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with no time


class Connection:
    """One connection of a client."""

    def __init__(self, directory: Directory, sock: socket.socket) -> None:
        self.persistent_searches: dict[int, Node] = {}  # message id -> filter
        self.closing = False  # after what is still to be sent
        self._directory = directory
        self._sock = sock
        self._handler = RequestHandler(directory, self)
        self._received = bytearray()
        self._unsent = bytearray()
        self._bytes_sent = 0
        self._messages_sent = 0
        self._tls: ssl.SSLObject | None = None
        self._tls_in, self._tls_out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.task: Task = directory.loop.spawn(self._run())

    @property
    def unsent_bytes(self) -> int:
        """How much is buffered for the client."""
        return len(self._unsent)

    # Sending.

    def send(self, message_id: int, operation: Node, controls: Iterable[Node] = ()) -> None:
        """Send one message, unless a fault changes or prevents it."""
        self.send_encoded(message_id, ber.encode(operation), controls)

    def send_encoded(self, message_id: int, operation: bytes, controls: Iterable[Node] = ()) -> None:
        """Send one message whose operation is encoded already."""
        faults = self._directory.faults
        data: bytes | None = protocol.message(message_id, operation, controls)
        self._messages_sent += 1
        if faults.mangle is not None and data is not None:
            data = faults.mangle(self._messages_sent, data)
        if data is None or (faults.cut_at is not None and self._messages_sent > faults.cut_at):
            self.closing = True
        else:
            if self._tls is not None:
                self._tls.write(data)
                data = self._tls_out.read()
            self._unsent += data
        self._directory.loop.wake(self.task)

    def send_entry_state(
        self, message_id: int, entry: Entry, state: EntryState, cookie: bytes | None = None
    ) -> None:
        """Send an entry with its synchronisation state; only its name if it is deleted or unchanged."""
        fields = [ber.enumerated(state), ber.octets(entry.uuid)]
        if cookie is not None:
            fields.append(ber.octets(cookie))
        only_name = state in (EntryState.PRESENT, EntryState.DELETE)
        operation = ber.encode(entry.name_node()) if only_name else entry.encode()
        control = protocol.control(protocol.SYNC_STATE, ber.sequence(*fields))
        self.send_encoded(message_id, operation, [control])

    def _flush(self) -> None:
        """Send what the faults and the socket allow."""
        faults = self._directory.faults
        if faults.stall:
            return
        size = len(self._unsent)
        for limit in (faults.stall_at, faults.reset_at):
            if limit is not None:
                size = min(size, max(0, limit - self._bytes_sent))
        if faults.drip_ms:
            size = min(size, 1)
        if size:
            try:
                sent = self._sock.send(self._unsent[:size])
            except BlockingIOError:
                return
            del self._unsent[:sent]
            self._bytes_sent += sent
        if faults.reset_at is not None and self._bytes_sent >= faults.reset_at:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raise ConnectionResetError("by script")

    # Receiving.

    def _run(self) -> TaskSteps:
        try:
            if self._directory.capabilities.ldaps:
                yield from self._handshake()
                yield from self._receive(b"")  # what came along with the end of the handshake
            while not (self.closing and not self._unsent):
                self._flush()
                ready = yield self._next_wait()
                if ready & (READABLE | HANGUP) and not self._directory.faults.stall:
                    data = self._sock.recv(READ_BYTES)
                    if not data:
                        return
                    yield from self._receive(data)
        except (OSError, asn1.Error, ValueError, IndexError):
            pass
        finally:
            self._directory.connections.remove(self)
            self._directory.loop.close(self._sock)

    def _next_wait(self) -> Wait:
        faults = self._directory.faults
        stalled = faults.stall_at is not None and self._bytes_sent >= faults.stall_at
        wants_to_send = bool(self._unsent) and not faults.stall and not stalled and not faults.drip_ms
        mask = (0 if faults.stall else READABLE) | (WRITABLE if wants_to_send else 0)
        delay_ms = faults.drip_ms if faults.drip_ms and self._unsent else NEVER_MS
        return Wait(self._sock.fileno(), mask, self._directory.loop.clock.now() + delay_ms)

    def _handshake(self) -> Generator[Wait, int, None]:
        context = self._directory.capabilities.tls
        if context is None:
            raise ValueError("no context")
        tls = context.wrap_bio(self._tls_in, self._tls_out, server_side=True)
        while True:
            try:
                tls.do_handshake()
            except ssl.SSLWantReadError:
                done = False
            else:
                done = True
            self._unsent += self._tls_out.read()
            self._flush()
            if done:
                self._tls = tls
                return
            ready = yield Wait(self._sock.fileno(), READABLE)
            if ready:
                data = self._sock.recv(READ_BYTES)
                if not data:
                    raise ConnectionResetError("the client left")
                self._tls_in.write(data)

    def _receive(self, data: bytes) -> Generator[Wait, int, None]:
        self._received += data if self._tls is None else self._decrypt(self._tls, data)
        while (length := ber.frame_length(self._received)) is not None and len(self._received) >= length:
            frame = bytes(self._received[:length])
            del self._received[:length]
            next_step = self._handler.handle(ber.decode(frame).value)
            if next_step is NextStep.CLOSE:
                self.closing = True
            elif next_step is NextStep.START_TLS:
                yield from self._handshake()
                self._received.clear()  # clear text behind the StartTLS request belongs to nobody
                yield from self._receive(b"")
                return
        if len(self._received) > MAX_REQUEST_BYTES:
            raise ValueError("a request without end")

    def _decrypt(self, tls: ssl.SSLObject, data: bytes) -> bytes:
        self._tls_in.write(data)
        clear_text = b""
        try:
            while more := tls.read(READ_BYTES):
                clear_text += more
        except ssl.SSLWantReadError:
            pass
        return clear_text
