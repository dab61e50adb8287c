"""Tests the lab's TCP relay: it forwards bytes unchanged, and each fault has its effect."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator

import pytest

from emulators.servers import accept_connections, listen
from snowthread.address import Address
from snowthread.lab.faults import ForwardingState, LinkFaults, compute_release_ms
from snowthread.lab.relay import Relay
from snowthread.net.clock import Clock
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait


class Echo:
    """A server that echoes the bytes that it reads."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.sock = listen(Address("127.0.0.1", 0))
        self.address = Address(*self.sock.getsockname()[:2])
        loop.spawn(accept_connections(loop, self.sock, self._echo))

    def _echo(self, peer: socket.socket) -> Coroutine:
        try:
            while True:
                yield Wait(peer.fileno(), READABLE)
                data = peer.recv(65536)
                if not data:
                    return
                peer.sendall(data)
        except OSError:
            return
        finally:
            self.loop.close(peer)


@pytest.fixture
def link() -> Iterator[tuple[EventLoop, Relay]]:
    loop = EventLoop(Clock())
    echo = Echo(loop)
    relay = Relay(loop, Address("127.0.0.1", 0), echo.address, random.Random(1))
    yield loop, relay
    loop.end_all_tasks()


def exchange(loop: EventLoop, relay: Relay, data: bytes, timeout_ms: float = 3000.0) -> tuple[bytes, float]:
    """Send data and read the echo; return what arrived before the timeout, and the time taken in ms."""
    client = socket.create_connection(relay.address)
    client.setblocking(False)
    begin = loop.clock.now()
    client.sendall(data)
    received = b""
    while len(received) < len(data) and loop.clock.now() - begin < timeout_ms:
        loop.run_once(0.005)
        try:
            more = client.recv(65536)
        except BlockingIOError:
            continue
        except ConnectionResetError:
            break
        if not more:
            break
        received += more
    took_ms = loop.clock.now() - begin
    client.close()
    return received, took_ms


def test_bytes_are_forwarded_unchanged(link: tuple[EventLoop, Relay]) -> None:
    loop, relay = link
    data = random.Random(2).randbytes(300_000)
    assert exchange(loop, relay, data)[0] == data


def test_delay_applies_in_each_direction(link: tuple[EventLoop, Relay]) -> None:
    loop, relay = link
    relay.faults.delay_ms = 150.0
    received, took_ms = exchange(loop, relay, b"ping")
    assert received == b"ping" and took_ms >= 300.0  # Each direction adds 150 ms.


def test_bandwidth_limits_a_large_write(link: tuple[EventLoop, Relay]) -> None:
    loop, relay = link
    relay.faults.bytes_per_s = 200_000.0
    received, took_ms = exchange(loop, relay, b"x" * 100_000)
    assert len(received) == 100_000 and took_ms >= 500.0  # 0.5 s in each direction, partly at the same time.


def test_partition_rejects_new_connections_until_it_heals(link: tuple[EventLoop, Relay]) -> None:
    loop, relay = link
    relay.faults.partitioned = True
    received, _ = exchange(loop, relay, b"ping", timeout_ms=400.0)
    assert received == b"" and relay.rejected_connections == 1
    relay.faults.partitioned = False
    assert exchange(loop, relay, b"ping")[0] == b"ping"


def test_cut_closes_only_connections_opened_before_it(link: tuple[EventLoop, Relay]) -> None:
    loop, relay = link
    client = socket.create_connection(relay.address)
    client.setblocking(False)
    client.sendall(b"one")
    for _ in range(40):
        loop.run_once(0.005)
    assert client.recv(10) == b"one"
    relay.faults.cut_count += 1
    ended = False
    for _ in range(200):
        loop.run_once(0.005)
        try:
            ended = client.recv(10) == b""
        except BlockingIOError:
            continue
        except ConnectionResetError:
            ended = True
        if ended:
            break
    assert ended
    assert exchange(loop, relay, b"two")[0] == b"two"  # The relay still accepts connections.


def test_jitter_keeps_the_order_of_a_connection() -> None:
    faults = LinkFaults(delay_ms=10.0, jitter_ms=100.0)
    state = ForwardingState(0)
    generator = random.Random(3)
    times = [compute_release_ms(faults, state, float(at), 10, generator) for at in range(0, 100, 5)]
    assert times == sorted(times) and len(set(times)) > 5


def test_closed_relay_rejects_and_opens_again_at_the_same_address(link: tuple[EventLoop, Relay]) -> None:
    loop, relay = link
    relay.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(relay.address, 0.5)
    relay.open()
    assert exchange(loop, relay, b"ping")[0] == b"ping"
