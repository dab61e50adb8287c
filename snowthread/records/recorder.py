"""Record what a node does: encode the drafts of the observer and the log, and send them to the writer."""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

from snowthread import __version__
from snowthread.admission.settings import Settings
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import NodeState
from snowthread.net.loop import Coroutine, EventLoop, Wait
from snowthread.records import writer
from snowthread.records.batch import RecordBatch
from snowthread.records.frame import encode_record
from snowthread.records.log_lines import draft_from_log
from snowthread.records.model import FORMAT_VERSION, Record, RecordFields, RecordKind
from snowthread.records.observer import Observer
from snowthread.records.outbox import Outbox
from snowthread.records.settings import RecordSettings
from snowthread.records.writer_link import WriterLink

if TYPE_CHECKING:
    from loguru import Message

    from snowthread.config import Config

SECOND_MS = 1000.0  # time between two ``second`` records
BOOT_ID_BYTES = 6  # random bytes from which a boot id is made
BYTES_PER_MB = 2**20
# The kernel reports the memory of the process in this file, in pages.
_MEMORY_FILE = Path("/proc/self/statm")
_RESIDENT_FIELD = 1  # index of the resident memory among the fields of /proc/self/statm


class Recorder:
    """Records one node. Its ``reduce`` replaces the reducer's and returns the same effects."""

    def __init__(self, loop: EventLoop, settings: RecordSettings, config: Config, state: NodeState) -> None:
        self._loop = loop
        self._state = state
        self._node = config.name
        self._boot = secrets.token_hex(BOOT_ID_BYTES)
        self._last_number = 0
        self._started_at_ms = loop.clock.now()
        self._observer = Observer(config.settings, self._started_at_ms)
        self._outbox = Outbox(settings.queue_max_bytes)
        self._batch = RecordBatch()
        self._count_connections: Callable[[], int] = lambda: 0
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        child = writer.start(settings.folder, config.name, self._boot, settings.retention)
        self._link = WriterLink(loop.clock, child.socket, self._outbox)
        self.record(RecordKind.START, _start_fields(config.settings))
        self._log_sink = logger.add(
            self._record_log, level="INFO", format="{message}", backtrace=False, diagnose=False
        )
        loop.spawn(self._record_seconds())

    def set_connection_counter(self, count_connections: Callable[[], int]) -> None:
        """Set the function that counts open connections; until then 0 connections are recorded."""
        self._count_connections = count_connections

    def apply_settings(self, settings: Settings) -> None:
        """Use the classes of these settings from now on."""
        self._observer.apply_settings(settings)

    def reduce(self, state: NodeState, event: events.Event, now: float) -> list[effects.Effect]:
        """Run one step of the reducer, record it, and return its effects."""
        produced = reduce(state, event, now)
        for kind, fields in self._observer.observe(event, produced, state, now):
            self.record(kind, fields)
        return produced

    def record(self, kind: RecordKind, fields: RecordFields) -> None:
        """Add a record to the next batch, preceded by a ``gap`` record if records were dropped before it."""
        dropped = self._outbox.take_dropped()
        if dropped:
            self._add_to_batch(RecordKind.GAP, {"lost": dropped, "why": "the writer is behind"})
        self._add_to_batch(kind, fields)

    def close(self, how: str) -> None:
        """Record the end, send what is queued and close the socket, after which the writer process exits.

        ``how`` is recorded as the way the node ended. The call waits at most ``CLOSE_TIMEOUT_MS`` for the
        writer to take the queued batches.
        """
        logger.remove(self._log_sink)
        now = self._loop.clock.now()
        self.record(RecordKind.SECOND, self._second_fields(now))
        seconds = round((now - self._started_at_ms) / SECOND_MS, 1)
        self.record(RecordKind.END, {"how": how, "seconds": seconds})
        self._queue_batch()
        self._link.close(now)

    def _record_seconds(self) -> Coroutine:
        while True:
            now = self._loop.clock.now()
            # Waits for the next full second of the clock, so that the seconds of all nodes coincide.
            yield Wait(until_ms=now + SECOND_MS - now % SECOND_MS)
            self.record(RecordKind.SECOND, self._second_fields(self._loop.clock.now()))
            self._queue_batch()
            self._link.send()

    def _second_fields(self, now: float) -> RecordFields:
        fields = self._observer.take_second_fields(self._state, now)
        fields["connections"] = self._count_connections()
        with suppress(OSError, ValueError, IndexError):
            resident_pages = int(_MEMORY_FILE.read_bytes().split()[_RESIDENT_FIELD])
            fields["memory_mb"] = round(resident_pages * self._page_bytes / BYTES_PER_MB, 1)
        return fields

    def _record_log(self, message: Message) -> None:
        draft = draft_from_log(message.record)
        if draft is not None:
            self.record(draft.kind, draft.fields)

    def _add_to_batch(self, kind: RecordKind, fields: RecordFields) -> None:
        self._last_number += 1
        record = Record(self._node, self._boot, self._last_number, self._loop.clock.now(), kind, fields)
        try:
            frame = encode_record(record)
        except ValueError:  # the record is too long, or has a value that cannot be encoded
            frame = b""
        if not frame or len(frame) > writer.BATCH_MAX_BYTES:
            self._outbox.drop(1)
            return
        if not self._batch.has_capacity_for(frame):
            self._queue_batch()
        self._batch.add(frame)

    def _queue_batch(self) -> None:
        records = self._batch.records
        if records:
            self._outbox.add(self._batch.take(), records)


def _start_fields(settings: Settings) -> RecordFields:
    return {
        "version": __version__,
        "pid": os.getpid(),
        "format": FORMAT_VERSION,
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
