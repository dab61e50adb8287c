"""Clients that harm a node on purpose, as one process of their own: slow, half-finished, flooding, leaving.

``python -m emulators.abusive_clients HOST:PORT BEHAVIOUR SECONDS CONNECTIONS SEED`` plays one behaviour and
prints its counts as one line of JSON. The clients are a process of their own, so that their load does not
delay the emulators of a measurement.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgpack

from emulators.abusive_messages import (
    FLOODS,
    Flood,
    half_request,
    many_short_fields,
    nested_lists,
    request_burst,
)
from emulators.request_protocol import ANSWER_MESSAGE

READ_BYTES = 65536
PIECE_BYTES = 1  # what a slow writer sends at a time
PIECE_PAUSE_S = 0.02  # time between two pieces of a slow writer
SLOW_FIRST_SHARE = 0.9  # share of its message that a slow writer sends at once
RECONNECT_PAUSE_S = 0.05
FLOOD_BATCH = 200  # messages that a flood writes before it lets the event loop run
OPEN_REQUESTS_MAX = 30  # open requests of a flood of valid requests; the node allows 32
BURST_REQUESTS = 30
BURST_PAUSE_S = 0.2  # time between a burst and its repeat on a new connection


@dataclass(slots=True)
class Clients:
    """The clients of one run: where they connect, until when, and what they have counted."""

    host: str
    port: int
    until_s: float  # end of the run by the event loop's clock
    generator: random.Random
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def is_over(self) -> bool:
        """Whether the time of the run is over."""
        return asyncio.get_running_loop().time() >= self.until_s

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        reader, writer = await asyncio.open_connection(self.host, self.port)
        self.counts["connections"] += 1
        return reader, writer


async def _repeat(clients: Clients, play: Callable[[Clients], Awaitable[None]]) -> None:
    """Play a connection again and again until the time is over, whatever the node does with it."""
    while not clients.is_over:
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout_at(clients.until_s):
                await play(clients)
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    while await reader.read(READ_BYTES):
        pass


class AnswerCounter:
    """Reads the answers on a connection and counts them."""

    def __init__(self, reader: asyncio.StreamReader, counts: Counter[str]) -> None:
        self.answers = 0
        self._reader = reader
        self._counts = counts
        self._unpacker = msgpack.Unpacker()

    async def read(self, wait_s: float | None) -> None:
        """Read what has arrived, and wait up to ``wait_s`` seconds for it, or without limit."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(wait_s):
                self._unpacker.feed(await self._reader.read(READ_BYTES))
        for message in self._unpacker:
            if message[0] == ANSWER_MESSAGE:
                self.answers += 1
                self._counts["answers"] += 1
                self._counts["served"] += message[2] is None


def _stop_half_way(message: bytes) -> Callable[[Clients], Awaitable[None]]:
    async def play(clients: Clients) -> None:
        reader, writer = await clients.connect()
        with contextlib.closing(writer):
            writer.write(message)
            await _read_to_end(reader)

    return play


def _write_slowly(message: bytes) -> Callable[[Clients], Awaitable[None]]:
    async def play(clients: Clients) -> None:
        reader, writer = await clients.connect()
        with contextlib.closing(writer):
            sent = int(len(message) * SLOW_FIRST_SHARE)
            writer.write(message[:sent])
            while sent < len(message) and not reader.at_eof() and not writer.is_closing():
                await asyncio.sleep(PIECE_PAUSE_S)
                writer.write(message[sent : sent + PIECE_BYTES])
                await writer.drain()
                sent += PIECE_BYTES
                clients.counts["pieces"] += 1

    return play


def _flood(flood: Flood) -> Callable[[Clients], Awaitable[None]]:
    async def play(clients: Clients) -> None:
        reader, writer = await clients.connect()
        counter = AnswerCounter(reader, clients.counts)
        with contextlib.closing(writer):
            number = 0
            while not reader.at_eof():
                unanswered = number - counter.answers
                batch = OPEN_REQUESTS_MAX - unanswered if flood.awaits_answers else FLOOD_BATCH
                for _ in range(batch):
                    number += 1
                    writer.write(flood.message(number, clients.generator))
                clients.counts["messages"] += batch
                await writer.drain()
                await counter.read(wait_s=None if flood.awaits_answers else 0.0)

    return play


async def _burst_and_leave(clients: Clients) -> None:
    """Write a burst of large requests and close at once; the same again, ids and keys included."""
    burst = request_burst(BURST_REQUESTS, clients.generator)
    for _ in range(2):
        _reader, writer = await clients.connect()
        writer.write(burst)
        clients.counts["messages"] += BURST_REQUESTS
        writer.close()
        await writer.wait_closed()
        await asyncio.sleep(BURST_PAUSE_S)


BEHAVIOURS: dict[str, Callable[[Clients], Awaitable[None]]] = {
    "half-requests": _stop_half_way(half_request()),
    "slow-nested-lists": _write_slowly(nested_lists()),
    "slow-short-fields": _write_slowly(many_short_fields()),
    "slow-large-requests": _write_slowly(half_request()),
    "half-short-fields": _stop_half_way(many_short_fields()[:-1]),
    "burst-and-leave": _burst_and_leave,
    **{kind: _flood(flood) for kind, flood in FLOODS.items()},
}


async def run(address: str, behaviour: str, seconds: float, connections: int, seed: int) -> Counter[str]:
    """Play a behaviour on several connections at once and return what was counted."""
    host, port = address.rsplit(":", 1)
    until_s = asyncio.get_running_loop().time() + seconds
    clients = Clients(host, int(port), until_s, random.Random(seed))
    await asyncio.gather(*(_repeat(clients, BEHAVIOURS[behaviour]) for _ in range(connections)))
    return clients.counts


def main(address: str, behaviour: str, seconds: str, connections: str, seed: str) -> None:
    """Play the behaviour of the command line and print its counts."""
    counts = asyncio.run(run(address, behaviour, float(seconds), int(connections), int(seed)))
    print(json.dumps(counts), flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
