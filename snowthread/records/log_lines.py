"""Select the log lines that are recorded, and make record drafts of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snowthread.records.model import RecordDraft, RecordFields, RecordKind

if TYPE_CHECKING:
    import loguru

TEXT_MAX_CHARS = 500  # longer log lines are cut when they are recorded
# Log events of configuration changes, with whether the configuration was accepted.
CONFIG_EVENTS = {"config.read": True, "config.refused": False}
# Log events that are not recorded, because the observer records the connection to the runtime itself.
OBSERVED_EVENTS = frozenset({"runtime.link_lost", "runtime.link_moved"})
_PLAIN_TYPES = (str, int, float, bool)  # types of the log fields that are recorded


def draft_from_log(line: loguru.Record) -> RecordDraft | None:
    """Return the draft for a log line, or None if the line has no event or the observer records it."""
    event = line["extra"].get("event")
    if not isinstance(event, str) or event in OBSERVED_EVENTS:
        return None
    text = line["message"][:TEXT_MAX_CHARS]
    if event in CONFIG_EVENTS:
        return RecordDraft(RecordKind.CONFIG, {"taken": CONFIG_EVENTS[event], "text": text})
    fields: RecordFields = {"event": event, "text": text}
    for name, value in line["extra"].items():
        if name not in fields and isinstance(value, _PLAIN_TYPES):
            fields[name] = value
    return RecordDraft(RecordKind.NOTE, fields)
