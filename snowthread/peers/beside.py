"""The other process of this node while one replaces the other: MessagePack over a Unix socket.

The older one listens, in the folder that both have. The newer one connects, hears all that is known of keys,
takes the clients and says so. A process that finds nobody is alone, and listens for the one to replace it.
"""

from __future__ import annotations

import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import msgpack
from loguru import logger

from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.core.keys import Key
from snowthread.net.loop import BROKEN, IN, OUT, Loop, Steps, Task, Wait

SOCKET = "beside"  # its name in the folder
VERSION = 1
READ_BYTES = 64 * 1024
PIECE_BYTES = 64 * 1024  # encoded ahead of what the other has read
MESSAGE_MAX = 64 * 1024  # a key with its result, and room to spare
JOIN_MS = 300.0  # so long a socket that refuses is tried again: its owner may just be making it anew
RETRY_MS = 20.0

HELLO, ALL, TAKES, YOURS = "hello", "all", "takes", "yours"
Word = ev.Message | str


def encode(word: Key | ev.Message | str) -> bytes:
    """One message: an array, its name first."""
    fields: list[Any]
    match word:
        case Key():
            fields = ["key", word.once, word.uid, word.until, word.content, word.over, word.result]
        case ev.KeyOver():
            fields = ["over", word.uid, word.result]
        case ev.KeyFreed():
            fields = ["freed", word.uid]
        case ev.KeyAsked():
            fields = ["asked", word.once, word.uid, word.at, word.content]
        case ev.KeyJudged():
            fields = ["judged", word.once, word.uid, word.granted]
        case ev.LoadTold():
            fields = ["load", word.runs, word.memory_kb, word.calls, word.descriptors]
        case ev.DrainAsked():
            fields = ["drain", word.drain]
        case str():
            fields = [word, VERSION]
        case _:
            raise TypeError(type(word).__name__)
    packed: bytes = msgpack.packb(fields, unicode_errors="surrogateescape")
    return packed


_READ: dict[str, Callable[..., ev.Message]] = {
    "key": ev.KeyTold, "over": ev.KeyOver, "freed": ev.KeyFreed, "asked": ev.KeyAsked,
    "judged": ev.KeyJudged, "drain": ev.DrainAsked,
    "load": ev.LoadTold}
_WANTED: dict[str, tuple[Any, ...]] = {
    "key": (str, str, float, bytes, bool, bytes | None), "over": (str, bytes | None), "freed": (str,),
    "asked": (str, str, float, bytes), "judged": (str, str, bool), "drain": (bool,),
    "load": (int, float, int, int),
    HELLO: (int,), ALL: (int,), TAKES: (int,), YOURS: (int,)}


def decode(message: object) -> Word:
    """What a message says; ValueError where it says nothing that is known."""
    if not isinstance(message, list) or not message or message[0] not in _WANTED:
        raise ValueError(f"not a message: {str(message)[:80]}")
    name, fields = message[0], message[1:]
    wanted = _WANTED[name]
    if len(fields) != len(wanted) or not all(map(isinstance, fields, wanted)):
        raise ValueError(f"{name}: not its fields")
    if name in _READ:
        return _READ[name](*fields)
    if fields[0] != VERSION:
        raise ValueError(f"{name}: version {fields[0]}, not {VERSION}")
    return str(name)


def path_in(folder: str) -> tuple[str, int]:
    """The socket's path and a descriptor to close behind its use: a path may be 107 bytes long, a folder's
    own may be longer."""
    fd = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    return f"/proc/self/fd/{fd}/{SOCKET}", fd


class Beside:
    """Finds the other process, keeps the link and passes on what it says."""

    def __init__(self, loop: Loop, folder: str, post: Callable[[ev.Message], None],
                 found: Callable[[], None]) -> None:
        """``found`` is called once it is known that nobody is there, or all that the other knows is known
        here: the process may take clients from then on."""
        self._loop, self._folder, self._post, self._found = loop, folder, post, found
        self._sock: socket.socket | None = None
        self._task: Task | None = None
        self._listener: socket.socket | None = None
        self._words: deque[Key | ev.Message | str] = deque()
        self._out = b""
        self._gone = self._settled = False
        loop.spawn(self._join())

    @property
    def settled(self) -> bool:
        """Are the clients this process's, as far as the other one knows? Until then a notice to leave would
        make the other one take the node off the list."""
        return self._settled

    # Words out.

    def tell(self, effect: fx.TellBeside) -> None:
        """Say it, as much of it as goes."""
        self._say(effect.word)

    def all_told(self, _: fx.AllTold) -> None:
        """Say that all keys were told."""
        self._say(ALL)

    def _say(self, word: Key | ev.Message | str) -> None:
        if self._sock is None:
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
                self._out = self._out[sock.send(self._out):]
        except BlockingIOError:
            pass
        except OSError:  # the next read tells
            self._out = b""
            self._words.clear()

    # The newer process.

    def _join(self) -> Steps:
        """Find the older process, or find that there is none."""
        until = self._loop.clock.now() + JOIN_MS
        while True:
            code, sock = self._connect()
            if sock is not None:
                break
            if code == errno.ENOENT or self._loop.clock.now() >= until:
                self._listen()
                self._settled = True
                self._found()
                return
            yield Wait(until=self._loop.clock.now() + RETRY_MS)
        logger.bind(event="beside.joined", peer="beside").info("another process serves: takes over from it")
        self._post(ev.BesideUp(judge=False))
        self._begin(sock, self._loop.spawn(self._linked(sock)))
        self._say(HELLO)

    def _connect(self) -> tuple[int, socket.socket | None]:
        path, fd = path_in(self._folder)
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
        path, fd = path_in(self._folder)
        made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            new = f"{path}.{os.getpid()}"
            if os.path.exists(new):
                os.unlink(new)
            made.bind(new)
            made.listen(4)
            os.rename(new, path)
        except OSError as error:  # it serves on all the same, only nobody can take over from it
            logger.bind(event="beside.failed", peer="beside").error(
                "can't be found by another process: {}", error)
            made.close()
            return
        finally:
            os.close(fd)
        made.setblocking(False)
        self._listener = made
        self._loop.spawn(self._accept(made))

    def _accept(self, listener: socket.socket) -> Steps:
        while True:
            yield Wait(listener.fileno(), IN)
            try:
                sock, _ = listener.accept()
            except OSError:
                continue
            if self._sock is not None:  # two at once are one too many: it tries again, or is alone in the end
                sock.close()
                continue
            sock.setblocking(False)
            self._begin(sock, self._loop.spawn(self._linked(sock)))

    # The link.

    def _begin(self, sock: socket.socket, task: Task) -> None:
        self._sock, self._task, self._out = sock, task, b""
        self._words.clear()

    def _linked(self, sock: socket.socket) -> Steps:
        unpacker = msgpack.Unpacker(max_buffer_size=MESSAGE_MAX + READ_BYTES,
                                    unicode_errors="surrogateescape")
        try:
            while True:
                self._flush()
                got = yield Wait(sock.fileno(), IN | OUT if self._out or self._words else IN)
                if got & (IN | BROKEN):
                    try:
                        data = sock.recv(READ_BYTES)
                    except BlockingIOError:
                        continue
                    if not data:
                        return
                    unpacker.feed(data)
                    for message in unpacker:
                        self._take(decode(message))
        except (OSError, ValueError, msgpack.UnpackException) as error:
            logger.bind(event="beside.nonsense", peer="beside").warning("the other process: {}", error)
        finally:
            self._loop.close(sock)
            self._sock = None
            if not self._gone:
                logger.bind(event="beside.gone", peer="beside").info("the other process is gone")
                self._post(ev.BesideGone())
                self._settled = True
                self._found()
                if self._listener is None:
                    self._listen()

    def _take(self, word: Word) -> None:
        if word == HELLO:
            self._post(ev.BesideUp(judge=True))
        elif word == ALL:
            self._found()
            self._say(TAKES)
        elif word == TAKES:
            self._post(ev.BesideTakes())
            self._say(YOURS)
        elif word == YOURS:
            self._settled = True
        elif not isinstance(word, str):
            self._post(word)

    def leave(self) -> None:
        """The process goes: what was said is said, and its end is no news."""
        self._gone = True
        self._flush()
