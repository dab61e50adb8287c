"""Hot restart messages of version 4b467b1, in both directions, exchanged with the present version.

``tests/data/stored/hot_restart`` holds one stream for each direction, written once with version 4b467b1 by
``encode`` from the literal messages below, in their order. The bytes that a node sends in the sessions below
were compared with that version, byte for byte. Do not regenerate the files: a message that this version
cannot read means that it cannot replace a running node of an earlier version.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import msgpack
import pytest
from support.exchange import START, ExchangePlayer, loopback

from snowthread.core import events
from snowthread.core.idempotency import IdempotencyRecord, IdempotencyTable
from snowthread.core.state import HandoverRole
from snowthread.hot_restart.messages import (
    HandoverSignal,
    IncomingMessage,
    decode,
    encode,
    unpacker,
)

STORED = Path(__file__).parents[1] / "data" / "stored" / "hot_restart"
PATIENCE_S = 10.0
CONTENT = bytes(range(0xF0, 0x100))
REQUESTED_CONTENT = bytes.fromhex("86d87da02efa6ebc05f6ce7c171fa906")
UNTIL = START + 60_000.0

RUNNING, DONE, FREED, REQUESTED, OWNED, NEW = (
    f"00000000000000{number}" for number in ("a1", "a2", "a3", "b1", "b2", "b3")
)

# Each message as it is decoded; a KeyReplicated message is encoded from an IdempotencyRecord.
PREDECESSOR_TO_SUCCESSOR: tuple[IncomingMessage, ...] = (
    events.KeyReplicated("key-running", RUNNING, UNTIL, CONTENT, False, None),
    events.KeyReplicated("key-done", DONE, UNTIL + 0.5, CONTENT, True, b"\x00result\xff"),
    events.KeyReplicated("key-failed", FREED, UNTIL, b"", True, None),
    events.DrainRequested(False),
    events.PeerLoadReported(0, 0.0, 0, 16),
    HandoverSignal.HANDOVER_COMPLETE,
    HandoverSignal.CLIENTS_RELEASED,
    events.KeyRunCompleted(RUNNING, b"late result"),
    events.KeyReleased(FREED),
    events.KeyClaimDecided("key-requested", REQUESTED, True),
    events.KeyClaimDecided("key-done", OWNED, False),
    events.KeyRunCompleted(RUNNING, None),
    events.PeerLoadReported(3, 61_440.5, 2, 40),
    events.DrainRequested(True),
)
SUCCESSOR_TO_PREDECESSOR: tuple[IncomingMessage, ...] = (
    HandoverSignal.HELLO,
    HandoverSignal.TAKING_CLIENTS,
    events.KeyClaimRequested("key-requested", REQUESTED, START, REQUESTED_CONTENT),
    events.KeyClaimRequested("key-done", OWNED, START + 0.25, CONTENT),
    events.KeyReplicated("key-requested", REQUESTED, UNTIL + 250.0, REQUESTED_CONTENT, False, None),
    events.KeyRunCompleted(REQUESTED, b"its result"),
    events.KeyReplicated("key-n\udce9w", NEW, UNTIL, CONTENT, True, b"r"),
    events.KeyReleased(NEW),
    events.PeerLoadReported(1, 20_480.0, 1, 18),
    events.DrainRequested(True),
)
STREAMS = {
    "older_to_newer.msgpack": PREDECESSOR_TO_SUCCESSOR,
    "newer_to_older.msgpack": SUCCESSOR_TO_PREDECESSOR,
}


def encoded(message: IncomingMessage) -> bytes:
    """Return the bytes of a message; KeyReplicated is encoded from the record that its sender holds."""
    if isinstance(message, events.KeyReplicated):
        return encode(
            IdempotencyRecord(
                message.idempotency_key,
                1,
                message.attempt_id,
                message.expires_at_ms,
                message.body_digest,
                message.completed,
                message.result,
            )
        )
    return encode(message)


def stored_messages(name: str) -> list[bytes]:
    """Return the messages of a stored stream."""
    data = (STORED / name).read_bytes()
    stream = unpacker()
    messages = []
    start = 0
    stream.feed(data)
    for _ in stream:
        messages.append(data[start : stream.tell()])
        start = stream.tell()
    assert start == len(data)
    return messages


def decoded(data: bytes) -> IncomingMessage:
    """Decode the bytes of one message."""
    stream = unpacker()
    stream.feed(data)
    return decode(stream.unpack())


@pytest.mark.parametrize("name", STREAMS)
def test_each_stored_message_is_decoded_to_its_fields(name: str) -> None:
    assert [decoded(data) for data in stored_messages(name)] == list(STREAMS[name])


@pytest.mark.parametrize("name", STREAMS)
def test_each_message_is_encoded_to_the_stored_bytes(name: str) -> None:
    assert [encoded(message) for message in STREAMS[name]] == stored_messages(name)


@pytest.mark.parametrize("name", STREAMS)
def test_any_altered_byte_of_a_stored_stream_is_detected(name: str) -> None:
    for number, data in enumerate(stored_messages(name)):
        for offset in range(len(data)):
            altered = bytearray(data)
            altered[offset] ^= 0x01
            # An altered byte is also detected if the bytes are rejected as no message.
            with suppress(ValueError, msgpack.UnpackException):
                assert decoded(bytes(altered)) != STREAMS[name][number], (number, offset)


def test_every_message_kind_is_stored() -> None:
    names = set()
    for name in STREAMS:
        for data in stored_messages(name):
            stream = unpacker()
            stream.feed(data)
            names.add(stream.unpack()[0])
    assert names == {
        "hello",
        "all",
        "takes",
        "yours",
        "key",
        "over",
        "freed",
        "asked",
        "judged",
        "drain",
        "load",
    }


class Session:
    """A node of the present version, and a socket on which the test acts as the other process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.balancer_listener = loopback(socket.SOCK_STREAM)
        self.path = str(folder / "beside")  # socket name that processes of both versions look for
        self.listener: socket.socket | None = None
        self.other: socket.socket | None = None
        self.player: ExchangePlayer | None = None

    def start_node(self) -> ExchangePlayer:
        """Start the node; its role depends on whether another process listens in the folder."""
        self.player = ExchangePlayer(os.dup(self.balancer_listener.fileno()), str(self.folder))
        self.player.settle()
        return self.player

    def role(self) -> HandoverRole:
        """Return the node's role."""
        assert self.player is not None
        return self.player.node.state.handover_role

    def listen(self) -> None:
        """Listen on the socket as the older process."""
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.listener.bind(self.path)
        self.listener.listen()

    def accept(self) -> None:
        """Accept the connection of the node."""
        assert self.listener is not None
        self.listener.settimeout(PATIENCE_S)
        self.other = self.listener.accept()[0]
        self.other.setblocking(False)

    def connect(self) -> None:
        """Connect to the node as the newer process."""
        self.other = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.other.connect(self.path)
        self.other.setblocking(False)

    def play(self, messages: list[bytes]) -> None:
        """Send stored messages to the node."""
        assert self.other is not None and self.player is not None
        self.other.sendall(b"".join(messages))
        self.player.settle()

    def expect(self, messages: list[bytes]) -> None:
        """Check that the node sends exactly these messages, byte for byte."""
        assert self.other is not None and self.player is not None
        expected = b"".join(messages)
        received = b""
        end = time.monotonic() + PATIENCE_S
        while len(received) < len(expected) and time.monotonic() < end:
            self.player.settle()
            received += self._read()
        self.player.settle()
        assert received + self._read() == expected

    def _read(self) -> bytes:
        assert self.other is not None
        try:
            return self.other.recv(65536)
        except BlockingIOError:
            return b""

    def close_other(self) -> None:
        """Close the sockets of the other process, as when it exits."""
        for sock in (self.other, self.listener):
            if sock is not None:
                sock.close()
        self.other = None
        self.listener = None

    def close(self) -> None:
        """Stop the node and close all sockets."""
        if self.player is not None:
            if self.player.node.hot_restart is not None:
                self.player.node.hot_restart.close()
            self.player.node.loop.stop()
            self.player.node.loop.run()
            for sock in (*self.player.peers.values(), *self.player.listeners.values()):
                sock.close()
        self.close_other()
        self.balancer_listener.close()


@pytest.fixture
def session(tmp_path: Path) -> Iterator[Session]:
    made = Session(tmp_path)
    try:
        yield made
    finally:
        made.close()


def request(key: str, attempt: str) -> events.RequestReceived:
    """Return the event of a received request with an idempotency key."""
    return events.RequestReceived((99, 1), attempt, "dispense", b"p", START, 5000.0, 4, 20.0, 0.5, key)


def check_records_of_the_predecessor(table: IdempotencyTable) -> IdempotencyRecord:
    """Check the first three records of the stored stream; return the one whose run is not completed."""
    running, done, failed = (table.find_by_attempt(attempt) for attempt in (RUNNING, DONE, FREED))
    assert running is not None and done is not None and failed is not None
    assert (running.idempotency_key, running.expires_at_ms, running.body_digest) == (
        "key-running",
        1_764_576_060_000.0,
        CONTENT,
    )
    assert running.owned_by_peer and not running.completed and running.result is None
    assert done.expires_at_ms == 1_764_576_060_000.5 and done.completed and done.result == b"\x00result\xff"
    assert failed.completed and failed.result is None
    return running


def test_successor_takes_over_from_an_older_process(session: Session) -> None:
    peer_messages = stored_messages("older_to_newer.msgpack")
    expected_messages = stored_messages("newer_to_older.msgpack")
    session.listen()
    player = session.start_node()
    session.accept()
    node = player.node
    hot_restart = node.hot_restart
    assert hot_restart is not None
    session.expect(expected_messages[:1])  # the message hello
    assert session.role() is HandoverRole.SUCCESSOR and not node.balancers.accepting

    session.play(peer_messages[:6])  # three keys, drain, load, and the end of the keys ("all")
    session.expect(expected_messages[1:2])  # the message takes
    assert node.balancers.accepting and not hot_restart.takeover_complete
    running = check_records_of_the_predecessor(node.state.idempotency_table)
    assert node.state.peer_load == events.PeerLoadReported(0, 0.0, 0, 16) and not node.state.drained

    session.play(peer_messages[6:7])  # the message yours
    assert hot_restart.takeover_complete
    node.post(request("key-requested", REQUESTED))
    session.expect(expected_messages[2:3])  # the message asked
    assert "key-requested" in node.state.pending_claims

    # The result of one key, and the release of another one, which stays taken because its run has ended.
    session.play(peer_messages[7:9])
    assert running.completed and running.result == b"late result"
    assert node.state.idempotency_table.owner_at("key-failed", START) is not None
    session.play(peer_messages[9:10])  # the message judged, which grants the claim
    assert node.state.pending_claims == {}
    session.play(peer_messages[11:14])
    assert running.result == b"late result"  # a completion without a result does not remove a known one
    assert node.state.peer_load == events.PeerLoadReported(3, 61_440.5, 2, 40) and node.state.drained


def test_successor_is_standalone_with_the_keys_once_the_older_process_has_ended(session: Session) -> None:
    session.listen()
    player = session.start_node()
    session.accept()
    session.expect(stored_messages("newer_to_older.msgpack")[:1])
    session.play(stored_messages("older_to_newer.msgpack")[:7])
    session.expect(stored_messages("newer_to_older.msgpack")[1:2])
    session.close_other()
    player.settle()
    player.clock.now_ms += 1000.0  # the node tries to reconnect before it treats the process as exited
    player.settle()
    assert session.role() is HandoverRole.STANDALONE
    done = player.node.state.idempotency_table.find_by_attempt(DONE)
    assert done is not None and done.result == b"\x00result\xff"


def test_predecessor_hands_over_to_a_newer_process(session: Session) -> None:
    expected_messages = stored_messages("older_to_newer.msgpack")
    peer_messages = stored_messages("newer_to_older.msgpack")
    player = session.start_node()
    node = player.node
    hot_restart = node.hot_restart
    assert hot_restart is not None and hot_restart.takeover_complete
    assert session.role() is HandoverRole.STANDALONE and node.balancers.accepting
    for message in PREDECESSOR_TO_SUCCESSOR[:3]:
        assert isinstance(message, events.KeyReplicated)
        node.post(message)

    session.connect()
    session.play(peer_messages[:1])  # the message hello
    session.expect(expected_messages[:6])  # three keys, drain, load, all
    assert session.role() is HandoverRole.PREDECESSOR and node.balancers.accepting

    session.play(peer_messages[1:2])  # the message takes
    session.expect(expected_messages[6:7])  # the message yours
    assert node.state.superseded and not node.balancers.accepting

    session.play(peer_messages[2:4])  # claims for a key without an owner and for one with an owner
    session.expect(expected_messages[9:11])  # two messages judged: one claim is granted, one is not
    requested = node.state.idempotency_table.find_by_attempt(REQUESTED)
    assert requested is not None and requested.owned_by_peer and requested.body_digest == REQUESTED_CONTENT

    session.play(peer_messages[4:7])  # the expiry of the key, its result, and a key that is not valid UTF-8
    assert requested.expires_at_ms == 1_764_576_060_250.0
    assert requested.completed and requested.result == b"its result"
    other = node.state.idempotency_table.find_by_attempt(NEW)
    assert other is not None and other.idempotency_key == "key-n\udce9w" and other.result == b"r"

    session.play(peer_messages[7:])
    # The key whose release was read stays taken, because its run has ended.
    assert node.state.idempotency_table.owner_at("key-n\udce9w", START) is not None
    assert node.state.peer_load == events.PeerLoadReported(1, 20_480.0, 1, 18) and node.state.drained
