"""Record what a node does: frame the observer's counts and the log's lines, and send them to the writer."""

from __future__ import annotations

import os
import secrets
import socket
from collections.abc import Callable
from contextlib import suppress
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
from snowthread.records.model import FORMAT, Fields, Record, RecordKind
from snowthread.records.observer import Observer
from snowthread.records.outbox import Outbox
from snowthread.records.retention import Retention

if TYPE_CHECKING:
    from loguru import Message

    from snowthread.config import Config

SECOND_MS = 1000.0
CLOSE_TIMEOUT_MS = 300.0  # the longest wait at the end for the writer to take what is left
CLOSE_SEND_TIMEOUT_S = 0.05  # of one send during that wait
LOG_TEXT_MAX = 500  # characters of a log line that are recorded
CONFIG_EVENTS = {"config.read": True, "config.refused": False}  # and whether the configuration was accepted
LINK_EVENTS = {
    "runtime.link_lost",
    "runtime.link_moved",
}  # the observer records the runtime's connection itself
_MEMORY_FILE = Path("/proc/self/statm")
_PLAIN_TYPES = (str, int, float, bool)


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """The block ``records`` of the operator's file; ``waiting_bytes`` bounds what waits for the disk."""

    folder: Path
    retention: Retention
    waiting_bytes: int

    def summary(self) -> str:
        """Return one line for people that says what is on."""
        return f"records in {self.folder}, at most {self.retention.total_bytes // 2**20} MB"


class Recorder:
    """Records of one node. ``reduce`` takes the place of the reducer's: the same effects come out."""

    def __init__(self, loop: EventLoop, settings: RecordSettings, config: Config, state: State) -> None:
        self._loop = loop
        self._state = state
        self._node = config.name
        self._boot = secrets.token_hex(6)
        self._last_number = 0
        self._started_at_ms = loop.clock.now()
        self._observer = Observer(config.settings, self._started_at_ms)
        self._outbox = Outbox(settings.waiting_bytes)
        self._batch = bytearray()
        self._batch_records = 0
        self._count_connections: Callable[[], int] = lambda: 0
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        child = writer.start(settings.folder, config.name, self._boot, settings.retention)
        self._socket: socket.socket | None = child.socket  # None once the writer has ended
        self.record(RecordKind.START, _start_fields(config.settings))
        self._log_sink = logger.add(
            self._record_log, level="INFO", format="{message}", backtrace=False, diagnose=False
        )
        loop.spawn(self._record_seconds())

    def set_connection_counter(self, connections: Callable[[], int]) -> None:
        """Take the function that counts open connections, once there is one."""
        self._count_connections = connections

    def apply_settings(self, settings: Settings) -> None:
        """Count the classes of these settings from now on."""
        self._observer.apply_settings(settings)

    def reduce(self, state: State, message: events.Event, now: float) -> list[effects.Effect]:
        """Run one step of the reducer, record it, and return its effects."""
        produced = reduce(state, message, now)
        for kind, fields in self._observer.observe(message, produced, state, now):
            self.record(kind, fields)
        return produced

    def record(self, kind: RecordKind, fields: Fields) -> None:
        """Add a record to the batch that is sent next, after a gap if records were dropped before it."""
        dropped = self._outbox.take_dropped()
        if dropped:
            self._add_to_batch(RecordKind.GAP, {"lost": dropped, "why": "the writer is behind"})
        self._add_to_batch(kind, fields)

    def close(self, how: str) -> None:
        """Record the end and hand over what is left, waiting a little for the writer, which then ends too."""
        logger.remove(self._log_sink)
        now = self._loop.clock.now()
        self.record(RecordKind.SECOND, self._second_fields(now))
        seconds = round((now - self._started_at_ms) / 1000.0, 1)
        self.record(RecordKind.END, {"how": how, "seconds": seconds})
        self._close_batch()
        deadline = now + CLOSE_TIMEOUT_MS
        while not self._send() and self._loop.clock.now() < deadline and self._socket is not None:
            self._socket.settimeout(CLOSE_SEND_TIMEOUT_S)
        self._close_socket()

    # Once a second.

    def _record_seconds(self) -> TaskSteps:
        while True:
            now = self._loop.clock.now()
            yield Wait(
                until_ms=now + SECOND_MS - now % SECOND_MS
            )  # so that the seconds of all nodes coincide
            self.record(RecordKind.SECOND, self._second_fields(self._loop.clock.now()))
            self._close_batch()
            self._send()

    def _second_fields(self, now: float) -> Fields:
        fields = self._observer.take_totals(self._state, now)
        fields["connections"] = self._count_connections()
        with suppress(OSError, ValueError, IndexError):
            resident_pages = int(_MEMORY_FILE.read_bytes().split()[1])
            fields["memory_mb"] = round(resident_pages * self._page_bytes / 2**20, 1)
        return fields

    # Batches.

    def _add_to_batch(self, kind: RecordKind, fields: Fields) -> None:
        self._last_number += 1
        record = Record(self._node, self._boot, self._last_number, self._loop.clock.now(), kind, fields)
        try:
            frame = encode(record)
        except ValueError:
            frame = b""
        if not frame or len(frame) > writer.BATCH_MAX:
            self._outbox.dropped += 1
            return
        if len(self._batch) + len(frame) > writer.BATCH_MAX:
            self._close_batch()
        self._batch += frame
        self._batch_records += 1

    def _close_batch(self) -> None:
        if not self._batch_records:
            return
        if not self._outbox.add(writer.encode_batch(self._batch_records, self._batch)):
            self._outbox.dropped += self._batch_records - 1  # the outbox counted the batch as one
        self._batch.clear()
        self._batch_records = 0

    def _send(self) -> bool:
        """Send what the writer takes now; return True if nothing is left."""
        while self._socket is not None and (batch := self._outbox.first()) is not None:
            try:
                self._socket.send(batch)
            except (BlockingIOError, TimeoutError):
                return False
            except OSError as error:  # nothing is recorded any more, but the node goes on
                self._close_socket()
                logger.error("records: the writer has ended: {}", error)
                return True
            self._outbox.remove_first()
        return True

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    # The log.

    def _record_log(self, message: Message) -> None:
        """Record a line of the log that has an event."""
        record = message.record
        event = record["extra"].get("event")
        if not isinstance(event, str) or event in LINK_EVENTS:
            return
        text = record["message"][:LOG_TEXT_MAX]
        if event in CONFIG_EVENTS:
            self.record(RecordKind.CONFIG, {"taken": CONFIG_EVENTS[event], "text": text})
            return
        fields: Fields = {"event": event, "text": text}
        for name, value in record["extra"].items():
            if name not in fields and isinstance(value, _PLAIN_TYPES):
                fields[name] = value
        self.record(RecordKind.NOTE, fields)


def _start_fields(settings: Settings) -> Fields:
    return {
        "version": __version__,
        "pid": os.getpid(),
        "format": FORMAT,
        "cores": settings.cores,
        "classes": [
            [
                request_class.name,
                request_class.latency_objective_s * 1000.0,
                request_class.deadline_s * 1000.0,
            ]
            for request_class in settings.classes
        ],
    }
