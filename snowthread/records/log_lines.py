"""Which lines of the log are recorded, and as what."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snowthread.records.model import RecordDraft, RecordFields, RecordKind

if TYPE_CHECKING:
    import loguru

TEXT_MAX_CHARS = 500  # of a line
CONFIG_EVENTS = {"config.read": True, "config.refused": False}  # and whether the configuration was accepted
# The observer records the runtime's connection itself.
LINK_EVENTS = frozenset({"runtime.link_lost", "runtime.link_moved"})
_PLAIN_TYPES = (str, int, float, bool)


def draft_of(line: loguru.Record) -> RecordDraft | None:
    """Return the record of a line of the log, or None if it has no event or is recorded otherwise."""
    event = line["extra"].get("event")
    if not isinstance(event, str) or event in LINK_EVENTS:
        return None
    text = line["message"][:TEXT_MAX_CHARS]
    if event in CONFIG_EVENTS:
        return RecordDraft(RecordKind.CONFIG, {"taken": CONFIG_EVENTS[event], "text": text})
    fields: RecordFields = {"event": event, "text": text}
    for name, value in line["extra"].items():
        if name not in fields and isinstance(value, _PLAIN_TYPES):
            fields[name] = value
    return RecordDraft(RecordKind.NOTE, fields)
