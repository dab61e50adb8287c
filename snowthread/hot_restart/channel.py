"""The other process of this node while one replaces the other, over a Unix socket.

The older one listens, in the folder that both have. The newer one connects, hears all that is known of keys,
takes the clients and says so. A process that finds nobody is alone, and listens for the one to replace it.
"""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections import deque
from collections.abc import Callable

import msgpack
from loguru import logger

from snowthread.core import effects, events
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.hot_restart.messages import (
    CLIENTS_RELEASED,
    HANDOVER_COMPLETE,
    HELLO,
    TAKING_CLIENTS,
    PeerMessage,
    decode,
    encode,
    unpacker,
)
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Task, TaskSteps, Wait

SOCKET = "beside"  # its name in the folder
READ_BYTES = 64 * 1024
PIECE_BYTES = 64 * 1024  # encoded ahead of what the other has read
JOIN_MS = 300.0  # so long a socket that refuses is tried again: its owner may just be making it anew
RETRY_MS = 20.0
WORDS_MOST = 20_000  # that wait for the other to read; one that stands still must not fill the memory


def path_in(folder: str) -> tuple[str, int]:
    """The socket's path and a descriptor to close behind its use: a path may be 107 bytes long, a folder's
    own may be longer."""
    fd = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    return f"/proc/self/fd/{fd}/{SOCKET}", fd


def process_of(sock: socket.socket) -> tuple[int, int] | None:
    """Who is at the other end of a Unix socket: its number, and a descriptor that is readable once it has
    ended, whoever may bear that number then. None where it can't be told: a link's end then counts as its."""
    try:
        number = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))[0]
        return number, os.pidfd_open(number)
    except OSError:
        return None


class HotRestartChannel:
    """Finds the other process, keeps the link and passes on what it says."""

    def __init__(
        self, loop: EventLoop, folder: str, post: Callable[[events.Event], None], found: Callable[[], None]
    ) -> None:
        """``found`` is called once it is known that nobody is there, or all that the other knows is known
        here: the process may take clients from then on."""
        self._loop, self._folder, self._post, self._found = loop, folder, post, found
        self._sock: socket.socket | None = None
        self._task: Task | None = None
        self._listener: socket.socket | None = None
        self._words: deque[IdempotencyRecord | events.Event | str] = deque()
        self._out = b""
        self._gone = self._settled = False
        self._links = self._peer = 0  # links from newer processes so far; the process that the last came from
        self._joining = loop.spawn(self._join())

    @property
    def settled(self) -> bool:
        """Are the clients this process's, as far as the other one knows? Until then a notice to leave would
        make the other one take the node off the list."""
        return self._settled

    # Words out.

    def send(self, effect: effects.SendToPeerProcess) -> None:
        """Say it, as much of it as goes."""
        self._say(effect.message)

    def send_handover_complete(self, _: effects.SendHandoverComplete) -> None:
        """Say that all keys were told."""
        self._say(HANDOVER_COMPLETE)

    def _say(self, word: IdempotencyRecord | events.Event | str) -> None:
        if self._sock is None:
            return
        if len(self._words) >= WORDS_MOST:  # it connects anew, if it lives, and is told all from the start
            logger.bind(event="beside.stuck", peer="beside").warning("the other process is stuck: link cut")
            self._words.clear()
            self._sock.shutdown(socket.SHUT_RDWR)
            return
        self._words.append(word)
        if len(self._words) == 1 and not self._out:
            self._flush()
            if (self._out or self._words) and self._task is not None:
                self._loop.wake(self._task)

    def _flush(self) -> None:
        """Write what goes. A key's message is made when its turn comes."""
        sock = self._sock
        try:
            while sock is not None and (self._out or self._words):
                pieces, size = [self._out], len(self._out)
                while self._words and size < PIECE_BYTES:
                    pieces.append(encode(self._words.popleft()))
                    size += len(pieces[-1])
                self._out = b"".join(pieces)
                self._out = self._out[sock.send(self._out) :]
        except BlockingIOError:
            pass
        except OSError:  # the next read tells
            self._out = b""
            self._words.clear()

    # The newer process.

    def _join(self) -> TaskSteps:
        """Find the older process, or find that there is none. Where the link to it breaks while it lives,
        keys are still its to judge: alone is only who finds nobody listening."""
        until, joined = self._loop.clock.now() + JOIN_MS, False
        while True:
            code, sock = self._connect()
            if sock is not None:
                if not joined:
                    logger.bind(event="beside.joined", peer="beside").info(
                        "another process serves: takes over from it"
                    )
                joined = True
                self._begin(sock, self._joining)
                self._post(events.PeerProcessConnected(is_predecessor=False))
                self._say(HELLO)
                yield from self._talk(sock)
                if self._gone:
                    return
                until = self._loop.clock.now()  # it listened a moment ago: nobody there means that it ended
            elif code == errno.ENOENT or (code == errno.ECONNREFUSED and self._loop.clock.now() >= until):
                break
            yield Wait(until=self._loop.clock.now() + RETRY_MS)
        if joined:
            self._over()
        self._settled = True
        self._listen()
        self._found()

    def _over(self) -> None:
        logger.bind(event="beside.gone", peer="beside").info("the other process is gone")
        self._post(events.PeerProcessExited())

    def _connect(self) -> tuple[int, socket.socket | None]:
        try:
            path, fd = path_in(self._folder)
        except OSError as error:
            return error.errno or errno.ENOENT, None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            code = sock.connect_ex(path)
        finally:
            os.close(fd)
        if code:
            sock.close()
            return code, None
        return 0, sock

    # The older process.

    def _listen(self) -> None:
        """Be found by the next one. Moved into place whole: one that looks meanwhile must not find nobody."""
        made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            path, fd = path_in(self._folder)
            try:
                new = f"{path}.{os.getpid()}"
                if os.path.exists(new):
                    os.unlink(new)
                made.bind(new)
                made.listen(4)
                os.rename(new, path)
            finally:
                os.close(fd)
        except OSError as error:  # it serves on all the same, only nobody can take over from it
            logger.bind(event="beside.failed", peer="beside").error(
                "can't be found by another process: {}", error
            )
            made.close()
            return
        made.setblocking(False)
        self._listener = made
        self._loop.spawn(self._accept(made))

    def _accept(self, listener: socket.socket) -> TaskSteps:
        while True:
            yield Wait(listener.fileno(), READABLE)
            try:
                sock, _ = listener.accept()
            except OSError:
                continue
            process = process_of(sock)
            if self._sock is not None or (self._peer and process is not None and process[0] != self._peer):
                sock.close()  # a third one: it tries again until there is room for it
                if process is not None:
                    os.close(process[1])
                continue
            sock.setblocking(False)
            self._links += 1
            self._peer = process[0] if process is not None else 0
            self._begin(sock, self._loop.spawn(self._serve(sock, process, self._links)))

    def _serve(self, sock: socket.socket, process: tuple[int, int] | None, link: int) -> TaskSteps:
        """One link from the newer process, and that process to its end. A broken link is not its end: it
        takes no key without a word from here, so nothing is lost by waiting until it connects anew."""
        try:
            yield from self._talk(sock)
            if process is not None and not self._gone:
                yield Wait(process[1], READABLE)
        finally:
            if process is not None:
                self._loop.unwatch(process[1])
                os.close(process[1])
        if link == self._links and not self._gone:
            self._peer = 0
            self._over()
            self._found()

    # The link.

    def _begin(self, sock: socket.socket, task: Task) -> None:
        self._sock, self._task, self._out = sock, task, b""
        self._words.clear()

    def _talk(self, sock: socket.socket) -> TaskSteps:
        """All that is said over a link, until it breaks."""
        coming = unpacker()
        try:
            while True:
                self._flush()
                got = yield Wait(sock.fileno(), READABLE | WRITABLE if self._out or self._words else READABLE)
                if got & (READABLE | HANGUP):
                    try:
                        data = sock.recv(READ_BYTES)
                    except BlockingIOError:
                        continue
                    if not data:
                        return
                    coming.feed(data)
                    for message in coming:
                        self._take(decode(message))
        except (OSError, ValueError, msgpack.UnpackException) as error:
            logger.bind(event="beside.nonsense", peer="beside").warning("the other process: {}", error)
        finally:
            self._loop.close(sock)
            self._sock = None

    def _take(self, word: PeerMessage) -> None:
        if word == HELLO:
            self._post(events.PeerProcessConnected(is_predecessor=True))
        elif word == HANDOVER_COMPLETE:
            self._found()
            self._say(TAKING_CLIENTS)
        elif word == TAKING_CLIENTS:
            self._post(events.SuccessorReady())
            self._say(CLIENTS_RELEASED)
        elif word == CLIENTS_RELEASED:
            self._settled = True
        elif not isinstance(word, str):
            self._post(word)

    def close(self) -> None:
        """The process goes: what was said is said, and its end is no news."""
        self._gone = True
        self._flush()
