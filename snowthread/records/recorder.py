"""Records of one node: the observer's counts and the log's lines, framed and handed to the writer."""

from __future__ import annotations

import os
import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

from snowthread import __version__
from snowthread.admission.settings import Settings
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import State
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.records import writer
from snowthread.records.frame import encode
from snowthread.records.model import FORMAT, Fields, Record
from snowthread.records.observer import Observer
from snowthread.records.outbox import Outbox
from snowthread.records.retention import Retention

if TYPE_CHECKING:
    from loguru import Message

    from snowthread.config import Config

SECOND_MS = 1000.0
SHUT_MS = 300.0  # the longest wait at the end for the writer to take what is left
_PLAIN = (str, int, float, bool)


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """The block ``records`` of the operator's file."""

    folder: Path
    retention: Retention
    waiting_bytes: int

    def summary(self) -> str:
        """For people: what is on."""
        return f"records in {self.folder}, at most {self.retention.total_bytes // 2**20} MB"


class Recorder:
    """Records what a node does. Takes the place of ``reduce``: the same effects come out."""

    def __init__(self, loop: EventLoop, settings: RecordSettings, config: Config, state: State) -> None:
        self._loop, self._state = loop, state
        self._node, self._boot, self._number = config.name, secrets.token_hex(6), 0
        self._observer = Observer(config.settings, loop.clock.now())
        self._outbox = Outbox(settings.waiting_bytes)
        self._batch = bytearray()
        self._count = 0
        self._began = loop.clock.now()
        self._connections: Callable[[], int] = lambda: 0
        self._socket: socket.socket | None
        self._socket, self._child = writer.start(settings.folder, config.name, self._boot, settings.retention)
        self._page = os.sysconf("SC_PAGE_SIZE")
        self.record(
            "start",
            {
                "version": __version__,
                "pid": os.getpid(),
                "format": FORMAT,
                "cores": config.settings.cores,
                "classes": [
                    [c.name, c.latency_objective_s * 1000.0, c.deadline_s * 1000.0]
                    for c in config.settings.classes
                ],
            },
        )
        self._sink = logger.add(self._log, level="INFO", format="{message}", backtrace=False, diagnose=False)
        loop.spawn(self._steps())

    def start(self, connections: Callable[[], int]) -> None:
        """The front is there: how many connections it has."""
        self._connections = connections

    def apply_settings(self, settings: Settings) -> None:
        """Other classes are counted from now on."""
        self._observer.apply_settings(settings)

    def reduce(self, state: State, message: events.Event, now: float) -> list[effects.Effect]:
        """The reducer's step, looked at."""
        produced = reduce(state, message, now)
        for kind, fields in self._observer.observe(message, produced, state, now):
            self.record(kind, fields)
        return produced

    def record(self, kind: str, fields: Fields) -> None:
        """Put a record into the batch that goes out next."""
        owed = self._outbox.owed()
        if owed:
            self._put("gap", {"lost": owed, "why": "the writer is behind"})
        self._put(kind, fields)

    def _put(self, kind: str, fields: Fields) -> None:
        self._number += 1
        try:
            frame = encode(Record(self._node, self._boot, self._number, self._loop.clock.now(), kind, fields))
        except ValueError:
            frame = b""
        if not frame or len(frame) > writer.BATCH_MAX:
            self._outbox.dropped += 1
            return
        if len(self._batch) + len(frame) > writer.BATCH_MAX:
            self._close_batch()
        self._batch += frame
        self._count += 1

    def close(self, how: str) -> None:
        """The node ends: hand over what is left, waiting a little for the writer, which then ends too."""
        logger.remove(self._sink)
        now = self._loop.clock.now()
        self.record("second", self._second(now))
        self.record("end", {"how": how, "seconds": round((now - self._began) / 1000.0, 1)})
        self._close_batch()
        until = now + SHUT_MS
        while not self._send() and self._loop.clock.now() < until and self._socket is not None:
            self._socket.settimeout(0.05)
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    # Now and then.

    def _steps(self) -> TaskSteps:
        while True:
            now = self._loop.clock.now()
            yield Wait(until=now + SECOND_MS - now % SECOND_MS)  # so that nodes' seconds meet
            now = self._loop.clock.now()
            self.record("second", self._second(now))
            self._close_batch()
            self._send()

    def _second(self, now: float) -> Fields:
        fields = self._observer.take_totals(self._state, now)
        fields["connections"] = self._connections()
        try:
            with open("/proc/self/statm", "rb") as file:
                fields["memory_mb"] = round(int(file.read().split()[1]) * self._page / 2**20, 1)
        except (OSError, ValueError, IndexError):
            pass
        return fields

    def _close_batch(self) -> None:
        if self._count:
            if not self._outbox.add(self._count.to_bytes(4, "little") + bytes(self._batch)):
                # The outbox counts batches; those who read want records.
                self._outbox.dropped += self._count - 1
            self._batch.clear()
            self._count = 0

    def _send(self) -> bool:
        """Hand over what the writer takes now; True where nothing is left."""
        while self._socket is not None and (batch := self._outbox.first()) is not None:
            try:
                self._socket.send(batch)
            except (BlockingIOError, TimeoutError):
                return False
            except OSError as error:  # the writer is gone: nothing is recorded any more, the node serves on
                self._socket.close()
                self._socket = None
                logger.error("records: the writer has ended: {}", error)
                return True
            self._outbox.sent()
        return True

    def _log(self, message: Message) -> None:
        record = message.record
        event = record["extra"].get("event")
        if not isinstance(event, str):
            return
        fields: Fields = {"event": event, "text": record["message"][:500]}
        fields |= {
            name: value
            for name, value in record["extra"].items()
            if name not in fields and isinstance(value, _PLAIN)
        }
        if event in ("config.read", "config.refused"):
            self.record("config", {"taken": event == "config.read", "text": fields["text"]})
        elif event in ("link.lost", "link.moved"):
            pass  # the observer records the runtime's link
        else:
            self.record("note", fields)
