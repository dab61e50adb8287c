"""A directory of tenants on loopback, with faults by script. A stand-in, not a server for anything else.

It reads and writes LDAP by its own reading of RFC 4511, RFC 2696 and RFC 4533, over another BER library than
the client's, so that a mistake made on one side shows on the other. It keeps entries in memory with a change
number each; a cookie is the number up to which its holder knows.
"""

from __future__ import annotations

import socket
import ssl
import struct
import uuid as uuids
from collections.abc import Callable, Generator, Iterable, Mapping
from dataclasses import dataclass, field
from ipaddress import ip_network
from typing import Any

import asn1

from snowthread.address import Address
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Task, TaskSteps, Wait

UNIVERSAL, APPLICATION, CONTEXT = (asn1.Classes.Universal, asn1.Classes.Application, asn1.Classes.Context)
INTEGER, BOOLEAN, OCTETS, ENUM, SEQ, SET = 2, 1, 4, 10, 16, 17
PAGED, SYNC, SYNC_STATE, SYNC_DONE, SYNC_INFO = (
    "1.2.840.113556.1.4.319",
    "1.3.6.1.4.1.4203.1.9.1.1",
    "1.3.6.1.4.1.4203.1.9.1.2",
    "1.3.6.1.4.1.4203.1.9.1.3",
    "1.3.6.1.4.1.4203.1.9.1.4",
)
START_TLS, NOTICE = "1.3.6.1.4.1.1466.20037", "1.3.6.1.4.1.1466.20036"
REQUEST_MAX = 64 * 1024

Node = tuple[Any, int, Any]  # class, tag number, octets or a list of nodes


# BER, generic both ways.


def read_nodes(decoder: asn1.Decoder) -> list[Node]:
    """All that stands at this level."""
    out: list[Node] = []
    while (tag := decoder.peek()) is not None:
        if tag.typ == asn1.Types.Constructed:
            decoder.enter()
            out.append((tag.cls, tag.nr, read_nodes(decoder)))
            decoder.leave()
        else:
            out.append((tag.cls, tag.nr, decoder.read()[1]))
    return out


def write_node(encoder: asn1.Encoder, node: Node) -> None:
    """One element with all in it."""
    cls, number, value = node
    if isinstance(value, list):
        encoder.enter(number, cls)
        for inner in value:
            write_node(encoder, inner)
        encoder.leave()
    elif cls == UNIVERSAL:
        encoder.write(value, number)
    else:
        encoder.write(value, number, asn1.Types.Primitive, cls)


def pack(node: Node) -> bytes:
    """Its bytes."""
    encoder = asn1.Encoder()
    encoder.start()
    write_node(encoder, node)
    data: bytes = encoder.output()
    return data


def octets(text: str | bytes) -> Node:
    """An octet string."""
    return UNIVERSAL, OCTETS, text.encode() if isinstance(text, str) else text


def wrap(tag: int, content: bytes) -> bytes:
    """An element round what is encoded already."""
    if len(content) < 0x80:
        return bytes((tag, len(content))) + content
    size = len(content).to_bytes((len(content).bit_length() + 7) // 8)
    return bytes((tag, 0x80 | len(size))) + size + content


def control(oid: str, value: Node) -> Node:
    """A control that carries a value."""
    return UNIVERSAL, SEQ, [octets(oid), octets(pack(value))]


def result(tag: int, code: int, text: str = "", more: Iterable[Node] = ()) -> Node:
    """A response that ends something."""
    return APPLICATION, tag, [(UNIVERSAL, ENUM, code), octets(""), octets(text), *more]


# Contents.


@dataclass(slots=True)
class Item:
    """One entry."""

    dn: str
    uuid: bytes
    attributes: dict[str, list[str]]
    number: int
    packed: bytes = b""

    def node(self) -> Node:
        """As a search gives it."""
        named = [
            (UNIVERSAL, SEQ, [octets(name), (UNIVERSAL, SET, [octets(v) for v in values])])
            for name, values in self.attributes.items()
        ]
        return (APPLICATION, 4, [octets(self.dn), (UNIVERSAL, SEQ, named)])

    def wire(self) -> bytes:
        """The same as bytes, made once: a large tree is asked for more than once."""
        self.packed = self.packed or pack(self.node())
        return self.packed


def matches(node: Node, item: Item) -> bool:
    """Does a filter hold of an entry? What is not known does not hold."""
    _, kind, value = node
    if kind == 0:
        return all(matches(n, item) for n in value)
    if kind == 1:
        return any(matches(n, item) for n in value)
    if kind == 2:
        return not matches(value[0], item)
    values = {name.lower(): found for name, found in item.attributes.items()}
    if kind == 7:
        return value.decode().lower() in values or value.lower() == b"objectclass"
    if kind == 3:
        wanted = value[1][2].decode().lower()
        return any(v.lower() == wanted for v in values.get(value[0][2].decode().lower(), ()))
    if kind == 4:
        pieces = [(n, v.decode().lower()) for _, n, v in value[1][2]]
        return any(_like(v.lower(), pieces) for v in values.get(value[0][2].decode().lower(), ()))
    return False


def _like(text: str, pieces: list[tuple[int, str]]) -> bool:
    at = 0
    for kind, piece in pieces:
        if kind == 0 and not text.startswith(piece):
            return False
        if kind == 2:
            return len(text) - at >= len(piece) and text.endswith(piece)
        found = text.find(piece, at)
        if found < 0:
            return False
        at = found + len(piece)
    return True


@dataclass(slots=True)
class Faults:
    """What goes wrong. May be set while it plays; ``Directory.nudge`` makes a stall's end felt."""

    stall: bool = False  # nothing is sent or read any more
    stall_at: int | None = None  # bytes sent on a connection after which nothing more is
    reset_at: int | None = None  # bytes sent after which the connection is reset
    cut_at: int | None = None  # messages sent after which the connection is closed
    drip_ms: float = 0.0  # a byte at a time, so far apart
    refuse: bool = False  # connections are closed as they come
    bind_code: int = 0
    search_code: int = 0  # each search ends so
    size_limit: int = 0  # entries that one search may give
    mangle: Callable[[int, bytes], bytes | None] | None = None  # n-th message on a connection; None: close


@dataclass(slots=True)
class Habits:
    """What it can do, and who may enter."""

    sync: bool = True
    persist: bool = True
    paging: bool = True
    passwords: Mapping[str, str] = field(default_factory=dict)  # none: everybody
    tls: ssl.SSLContext | None = None
    ldaps: bool = False


class Directory:
    """The contents and all connections."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        base: str = "ou=tenants,dc=example",
        habits: Habits | None = None,
    ) -> None:
        self.loop, self.base, self.habits, self.faults = loop, base, habits or Habits(), Faults()
        self.items: dict[str, Item] = {}
        self.number = 0
        self.oldest = 0  # cookies from before are expired
        self.gone: dict[bytes, int] = {}  # uuid -> number of its removal
        self.peers: list[Peer] = []
        self.connections = self.searches = self.binds = 0
        self.opened_at: list[float] = []
        self._listener = address.open(socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(64)
        self._task = loop.spawn(self._accept())

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and drop all connections."""
        self.loop.end_task(self._task)
        self._listener.close()
        for peer in list(self.peers):
            self.loop.end_task(peer.task)

    # Contents.

    def put(self, name: str, uuid: bytes | None = None, **attributes: Any) -> Item:
        """Add or replace ``cn=name``; values are strings or lists of them."""
        self.number += 1
        dn = f"cn={name},{self.base}"
        old = self.items.get(dn)
        told = {
            key: [str(v) for v in value] if isinstance(value, list | tuple) else [str(value)]
            for key, value in attributes.items()
        }
        key = uuid or (old.uuid if old else uuids.uuid5(uuids.NAMESPACE_DNS, dn).bytes)
        item = Item(
            dn,
            key,
            {
                "objectClass": ["snowthreadTenant"],
                "cn": [name],
                "entryUUID": [str(uuids.UUID(bytes=key))],
                "modifyTimestamp": [f"{20260101000000 + self.number}Z"],
            }
            | told,
            self.number,
        )
        self.items[dn] = item
        self.gone.pop(key, None)
        self._push(item, 2 if old else 1)
        return item

    def rename(self, name: str, to: str) -> None:
        """The same entry under another name."""
        old = self.items.pop(f"cn={name},{self.base}")
        told = {
            k: v
            for k, v in old.attributes.items()
            if k not in ("objectClass", "cn", "entryUUID", "modifyTimestamp")
        }
        self.put(to, old.uuid, **told)

    def remove(self, name: str) -> None:
        """Take ``cn=name`` out."""
        self.number += 1
        item = self.items.pop(f"cn={name},{self.base}")
        self.gone[item.uuid] = self.number
        self._push(item, 3)

    def expire_cookies(self) -> None:
        """Whoever knows only what was until now has to refresh."""
        self.number += 1
        self.oldest = self.number

    def copy_to(self, other: Directory) -> None:
        """Make another directory a replica as of now."""
        other.items = {dn: Item(i.dn, i.uuid, dict(i.attributes), i.number) for dn, i in self.items.items()}
        other.number, other.gone = self.number, dict(self.gone)

    def nudge(self) -> None:
        """Faults have changed."""
        for peer in self.peers:
            self.loop.wake(peer.task)

    def notice(self, code: int = 52) -> None:
        """Tell everybody that it closes, and close."""
        for peer in list(self.peers):
            peer.say(0, result(24, code, "going down", [(CONTEXT, 10, NOTICE.encode())]))
            peer.ending = True

    def _push(self, item: Item, state: int) -> None:
        for peer in self.peers:
            for number, test in peer.persistent.items():
                if state == 3 or matches(test, item):
                    peer.entry(number, item, state, cookie=self.cookie())

    def cookie(self) -> bytes:
        """What is known now."""
        return f"n={self.number}".encode()

    def _accept(self) -> TaskSteps:
        while True:
            yield Wait(self._listener.fileno(), READABLE)
            sock, _ = self._listener.accept()
            if self.faults.refuse:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections += 1
            self.opened_at.append(self.loop.clock.now())
            self.peers.append(Peer(self, sock))


class Peer:
    """One connection."""

    def __init__(self, directory: Directory, sock: socket.socket) -> None:
        self.directory, self.sock = directory, sock
        self.persistent: dict[int, Node] = {}
        self.ending = False
        self._out = bytearray()
        self._sent = self._messages = 0
        self._in = bytearray()
        self._tls: ssl.SSLObject | None = None
        self._bios = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.task: Task = directory.loop.spawn(self._steps())

    # Sending.

    def say(self, number: int, op: Node, controls: list[Node] | None = None) -> None:
        """One message, as the faults leave it."""
        self._say(number, pack(op), controls)

    def _say(self, number: int, op: bytes, controls: list[Node] | None) -> None:
        inner = pack((UNIVERSAL, INTEGER, number)) + op + (pack((CONTEXT, 0, controls)) if controls else b"")
        data: bytes | None = wrap(0x30, inner)
        faults = self.directory.faults
        self._messages += 1
        if faults.mangle is not None and data is not None:
            data = faults.mangle(self._messages, data)
        if data is None or (faults.cut_at is not None and self._messages > faults.cut_at):
            self.ending = True
        else:
            if self._tls is not None:
                self._tls.write(data)
                data = self._bios[1].read()
            self._out += data
        self.directory.loop.wake(self.task)

    def entry(self, number: int, item: Item, state: int, cookie: bytes | None = None) -> None:
        """An entry with its state; only its name where it is gone or unchanged."""
        inner: list[Node] = [(UNIVERSAL, ENUM, state), octets(item.uuid)]
        if cookie is not None:
            inner.append(octets(cookie))
        bare = (APPLICATION, 4, [octets(item.dn), (UNIVERSAL, SEQ, [])])
        self._say(
            number,
            pack(bare) if state in (0, 3) else item.wire(),
            [control(SYNC_STATE, (UNIVERSAL, SEQ, inner))],
        )

    def _flush(self) -> None:
        faults = self.directory.faults
        if faults.stall:
            return
        most = len(self._out)
        for limit in (faults.stall_at, faults.reset_at):
            if limit is not None:
                most = min(most, max(0, limit - self._sent))
        if faults.drip_ms:
            most = min(most, 1)
        if most:
            try:
                sent = self.sock.send(self._out[:most])
            except BlockingIOError:
                return
            del self._out[:sent]
            self._sent += sent
        if faults.reset_at is not None and self._sent >= faults.reset_at:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise ConnectionResetError("by script")

    # Receiving.

    def _steps(self) -> TaskSteps:
        loop, directory = self.directory.loop, self.directory
        try:
            if directory.habits.ldaps:
                yield from self._handshake()
                yield from self._take(b"")  # what came along with the handshake's end
            while not (self.ending and not self._out):
                self._flush()
                faults = directory.faults
                blocked = (
                    faults.stall
                    or not self._out
                    or (faults.stall_at is not None and self._sent >= faults.stall_at)
                )
                mask = (0 if faults.stall else READABLE) | (0 if blocked or faults.drip_ms else WRITABLE)
                until = loop.clock.now() + (faults.drip_ms if faults.drip_ms and self._out else 1e12)
                got = yield Wait(self.sock.fileno(), mask, until)
                if got & (READABLE | HANGUP) and not faults.stall:
                    data = self.sock.recv(65536)
                    if not data:
                        return
                    yield from self._take(data)
        except (OSError, asn1.Error, ValueError, IndexError):
            pass
        finally:
            directory.peers.remove(self)
            loop.close(self.sock)

    def _handshake(self) -> Generator[Wait, int, None]:
        context = self.directory.habits.tls
        if context is None:
            raise ValueError("no context")
        tls = context.wrap_bio(*self._bios, server_side=True)
        while True:
            try:
                tls.do_handshake()
            except ssl.SSLWantReadError:
                done = False
            else:
                done = True
            self._out += self._bios[1].read()
            self._flush()
            if done:
                self._tls = tls
                return
            got = yield Wait(self.sock.fileno(), READABLE)
            if got:
                data = self.sock.recv(65536)
                if not data:
                    raise ConnectionResetError("the client left")
                self._bios[0].write(data)

    def _take(self, data: bytes) -> Generator[Wait, int, None]:
        if self._tls is not None:
            self._bios[0].write(data)
            data = b""
            try:
                while more := self._tls.read(65536):
                    data += more
            except ssl.SSLWantReadError:
                pass
        self._in += data
        while (length := _length(self._in)) is not None and len(self._in) >= length:
            frame = bytes(self._in[:length])
            del self._in[:length]
            decoder = asn1.Decoder()
            decoder.start(frame)
            if (yield from self._request(read_nodes(decoder)[0][2])):
                self._in.clear()  # what came in clear text behind StartTLS is nobody's
                yield from self._take(b"")
                return
        if len(self._in) > REQUEST_MAX:
            raise ValueError("a request without end")

    def _request(self, parts: list[Node]) -> Generator[Wait, int, bool]:
        """One request; True where what follows is in TLS."""
        number, (_, kind, value) = parts[0][2], parts[1]
        controls = {c[2][0][2].decode(): c[2][-1][2] for c in parts[2][2]} if len(parts) > 2 else {}
        habits, faults = self.directory.habits, self.directory.faults
        if kind == 0:
            self.directory.binds += 1
            name, method = value[1][2].decode(), value[2]
            known = habits.passwords
            good = not known or method[1] == 3 or (method[1] == 0 and known.get(name) == method[2].decode())
            self.say(number, result(1, faults.bind_code or (0 if good else 49)))
        elif kind == 2:
            self.ending = True
        elif kind == 3:
            self.directory.searches += 1
            self._search(number, value, controls)
        elif kind == 16:
            abandoned = value if isinstance(value, int) else int.from_bytes(value)
            self.persistent.pop(abandoned, None)
        elif kind == 23 and value[0][2].decode() == START_TLS and habits.tls is not None:
            self.say(number, result(24, 0, "", [(CONTEXT, 10, START_TLS.encode())]))
            yield from self._handshake()
            return True
        else:
            self.say(number, result(24, 2, "not known here"))
        return False

    def _search(self, number: int, value: list[Node], controls: dict[str, bytes]) -> None:
        directory, faults, habits = self.directory, self.directory.faults, self.directory.habits
        if faults.search_code:
            self.say(number, result(5, faults.search_code))
            return
        base, scope, test = value[0][2].decode(), value[1][2], value[6]
        if scope == 0:
            item = directory.items.get(base)
            if item is not None:
                self._say(number, item.wire(), None)
            self.say(number, result(5, 0 if item is not None or base == directory.base else 32))
            return
        found = [item for item in directory.items.values() if matches(test, item)]
        if SYNC in controls:
            if not habits.sync:
                self.say(number, result(5, 12))
                return
            self._synchronise(number, found, test, _tree(controls[SYNC])[2])
        elif PAGED in controls and habits.paging:
            request = _tree(controls[PAGED])[2]
            size, start = request[0][2], int(request[1][2] or b"0")
            for item in found[start : start + size]:
                self._say(number, item.wire(), None)
            more = str(start + size).encode() if start + size < len(found) else b""
            answer = (UNIVERSAL, SEQ, [(UNIVERSAL, INTEGER, len(found)), octets(more)])
            self.say(number, result(5, 0), [control(PAGED, answer)])
        elif PAGED in controls:
            self.say(number, result(5, 12))
        else:
            for item in found[: faults.size_limit or None]:
                self._say(number, item.wire(), None)
            self.say(number, result(5, 4 if faults.size_limit and len(found) > faults.size_limit else 0))

    def _synchronise(self, number: int, found: list[Item], test: Node, request: list[Node]) -> None:
        directory, faults = self.directory, self.directory.faults
        mode = request[0][2]
        cookie = next((v for _, n, v in request[1:] if n == OCTETS), None)
        known = 0
        if cookie is not None:
            known = int(cookie.removeprefix(b"n=") or b"0")
            if known < directory.oldest:
                self.say(number, result(5, 4096))
                return
        if faults.size_limit and len(found) > faults.size_limit:
            for item in found[: faults.size_limit]:
                self.entry(number, item, 1)
            self.say(number, result(5, 4))
            return
        for item in found:
            if item.number > known:
                self.entry(number, item, 1)
        deletes = cookie is not None
        gone = [u for u, n in directory.gone.items() if n > known] if deletes else []
        if gone:
            inner = [(UNIVERSAL, BOOLEAN, True), (UNIVERSAL, SET, [octets(u) for u in gone])]
            self.say(
                number,
                (
                    APPLICATION,
                    25,
                    [(CONTEXT, 0, SYNC_INFO.encode()), (CONTEXT, 1, pack((CONTEXT, 3, inner)))],
                ),
            )
        now = directory.cookie()
        if mode == 3 and directory.habits.persist:
            phase = (CONTEXT, 1 if deletes else 2, [octets(now)])
            self.say(number, (APPLICATION, 25, [(CONTEXT, 0, SYNC_INFO.encode()), (CONTEXT, 1, pack(phase))]))
            self.persistent[number] = test
        elif mode == 3:
            self.say(number, result(5, 53, "no persistence here"))
        else:
            done = [octets(now)] + ([(UNIVERSAL, BOOLEAN, True)] if deletes else [])
            self.say(number, result(5, 0), [control(SYNC_DONE, (UNIVERSAL, SEQ, done))])


def _tree(data: bytes) -> Node:
    decoder = asn1.Decoder()
    decoder.start(data)
    return read_nodes(decoder)[0]


def _length(data: bytearray) -> int | None:
    """The first message's length, None while its head is not whole."""
    if len(data) < 2:
        return None
    if data[1] < 0x80:
        return 2 + data[1]
    octet_count = data[1] & 0x7F
    if len(data) < 2 + octet_count:
        return None
    return 2 + octet_count + int.from_bytes(data[2 : 2 + octet_count])


def main() -> None:
    """A directory to try things out with: ``ADDRESS [TENANTS NETWORKS_EACH]``, five chains unless so many are
    named; each line typed is a command (``help`` lists them)."""
    import sys

    from snowthread.net.clock import Clock

    loop = EventLoop(Clock())
    directory = Directory(loop, Address.parse(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:3389"))
    count, each = (int(word) for word in [*sys.argv[2:], "0", "0"][:2])
    for n in range(count):
        networks = [str(ip_network((10 << 24 | (n * each + k) << 6, 26))) for k in range(each)]
        directory.put(f"tenant {n}", snowthreadNetwork=networks, snowthreadQuota=1 + n % 50)
    for n, name in enumerate(("Farbhof", "Kolory", "Tinte", "Malarz", "Pigment") if not count else ()):
        directory.put(name, snowthreadNetwork=[f"127.0.{n}.0/24"], snowthreadQuota=20 + 10 * n)
    print(f"directory: ldap://{directory.address} with {len(directory.items)} tenants; type help", flush=True)

    def typed() -> TaskSteps:
        while True:
            yield Wait(sys.stdin.fileno(), READABLE)
            line = sys.stdin.readline()
            if not line:
                return
            print(command(directory, line.split()), flush=True)

    try:
        loop.spawn(typed())
        loop.run()
    except (KeyboardInterrupt, PermissionError):  # a file as standard input can't be waited for
        pass


def command(directory: Directory, words: list[str]) -> str:
    """One typed command and what to say to it."""
    match words:
        case ["stall"]:
            directory.faults.stall = True
        case ["go"]:
            directory.faults.stall = False
        case ["suspend", name]:
            old = directory.items[f"cn={name},{directory.base}"].attributes
            kept: dict[str, Any] = {k: v for k, v in old.items() if k.startswith("snowthread")}
            directory.put(name, **kept | {"snowthreadStatus": "suspended"})
        case ["remove", name] if f"cn={name},{directory.base}" in directory.items:
            directory.remove(name)
        case ["put", name, network, quota]:
            directory.put(name, snowthreadNetwork=[network], snowthreadQuota=quota)
        case _:
            return "stall | go | suspend NAME | remove NAME | put NAME NETWORK QUOTA"
    directory.nudge()
    return f"done: {' '.join(words)}"


if __name__ == "__main__":
    main()
