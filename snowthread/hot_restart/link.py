"""One connection to the peer process: sends from a bounded queue, and passes on received messages."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

import msgpack
from loguru import logger

from snowthread.hot_restart.messages import IncomingMessage, OutgoingMessage, decode, encode, unpacker
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Coroutine, EventLoop, Task, Wait

READ_BYTES = 64 * 1024  # most bytes read from the link at a time
ENCODE_BATCH_BYTES = 64 * 1024  # least bytes encoded ahead; later messages stay in the queue unencoded
QUEUE_MAX_MESSAGES = 20_000  # limit of unsent messages: a peer that does not read must not fill the memory


class PeerLink:
    """A connection to the peer process, until it breaks.

    ``receive`` is called with each received message. ``task`` is the task that runs :meth:`run`; it is woken
    when a message could not be written completely.
    """

    def __init__(
        self, loop: EventLoop, sock: socket.socket, receive: Callable[[IncomingMessage], None]
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._receive = receive
        self.task: Task | None = None
        self._queue: deque[OutgoingMessage] = deque()
        self._encoded = b""

    @property
    def _has_unsent(self) -> bool:
        return bool(self._encoded or self._queue)

    def send(self, message: OutgoingMessage) -> None:
        """Queue a message and write what the socket accepts; disconnect if too many messages are unsent.

        If the peer process still runs, it reconnects and is sent all keys again.
        """
        if len(self._queue) >= QUEUE_MAX_MESSAGES:
            logger.bind(event="hot_restart.stuck", peer="hot_restart").warning(
                "the peer process does not read its messages: disconnecting from it"
            )
            self._queue.clear()
            self.disconnect()
            return
        self._queue.append(message)
        if len(self._queue) == 1 and not self._encoded:
            self.flush()
            if self._has_unsent and self.task is not None:
                self._loop.wake(self.task)

    def flush(self) -> None:
        """Write what the socket accepts. A message is encoded only when the ones before it are written."""
        try:
            while self._has_unsent:
                self._encode_batch()
                self._encoded = self._encoded[self._sock.send(self._encoded) :]
        except BlockingIOError:
            pass
        except OSError:  # the socket is broken; the next read reports it
            self._encoded = b""
            self._queue.clear()

    def _encode_batch(self) -> None:
        pieces = [self._encoded]
        size = len(self._encoded)
        while self._queue and size < ENCODE_BATCH_BYTES:
            pieces.append(encode(self._queue.popleft()))
            size += len(pieces[-1])
        self._encoded = b"".join(pieces)

    def run(self) -> Coroutine:
        """Send and receive messages until the link breaks, then close the socket."""
        incoming = unpacker()
        try:
            while True:
                self.flush()
                mask = READABLE | WRITABLE if self._has_unsent else READABLE
                ready = yield Wait(self._sock.fileno(), mask)
                if ready & (READABLE | HANGUP) and not self._read(incoming):
                    return
        except (OSError, ValueError, msgpack.UnpackException) as error:
            logger.bind(event="hot_restart.protocol_error", peer="hot_restart").warning(
                "link to the peer process failed, closing it: {}", error
            )
        finally:
            self._loop.close(self._sock)

    def _read(self, incoming: msgpack.Unpacker) -> bool:
        """Read once and pass on the complete messages; return False at the end of the stream."""
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        if not data:
            return False
        incoming.feed(data)
        for message in incoming:
            self._receive(decode(message))
        return True

    def disconnect(self) -> None:
        """Shut down the connection in both directions, which makes :meth:`run` end."""
        self._sock.shutdown(socket.SHUT_RDWR)
