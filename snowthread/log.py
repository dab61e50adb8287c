"""Logging as plain lines, or as one JSON object per line if NODE_LOG_FORMAT is ``json``.

Field names are stable: ``time``, ``level``, ``event``, ``message`` and the fields that a line binds
(``peer``, ``tenant``, ``ms``...). A line that binds no event has the event ``note``.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

PLAIN_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


def set_up(environment: Mapping[str, str]) -> None:
    """Log to standard error; NODE_LOG is the lowest level logged, NODE_LOG_FORMAT ``json`` or ``plain``."""
    logger.remove()
    level = environment.get("NODE_LOG", "INFO")
    if environment.get("NODE_LOG_FORMAT", "plain") == "json":
        logger.add(_write_json, level=level, backtrace=False, diagnose=False)
    else:
        logger.add(sys.stderr, level=level, backtrace=False, diagnose=False, format=PLAIN_FORMAT)


def _write_json(message: Message) -> None:
    sys.stderr.write(encode_json_line(message).decode() + "\n")
    sys.stderr.flush()


def encode_json_line(message: Message) -> bytes:
    """Return a log record as one JSON object; values without a JSON representation are written as text."""
    import orjson

    record = message.record
    fields: dict[str, object] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": "note",
        "message": record["message"],
    } | record["extra"]
    if record["exception"] is not None:
        fields["exception"] = str(message)
    return orjson.dumps(fields, default=str, option=orjson.OPT_NON_STR_KEYS)
