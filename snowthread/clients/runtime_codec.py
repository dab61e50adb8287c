"""The protocol of the runtime: commands and notices, one JSON object per line. Sans-I/O."""

from __future__ import annotations

import base64
from typing import Any

import orjson

from snowthread.admission.settings import Outcome
from snowthread.core import effects, events

RuntimeCommand = effects.Command | effects.RequestLoadSample

_OUTCOMES = {
    "done": Outcome.SUCCESS,
    "crashed": Outcome.FAILURE,
    "aborted": Outcome.CANCELLED,
    "stale": Outcome.NOT_STARTED,
}


Notice = tuple[int | None, events.Event | None]
"""A line from the runtime: its number, if it has one, and its event, if its kind is known.

A plain tuple is cheaper than a class; one is created for each notice of each run.
"""


class NoticeError(ValueError):
    """A line from the runtime is not a valid notice."""


def encode(command: RuntimeCommand) -> bytes:
    """Return the line that sends a command."""
    fields: dict[str, Any]
    match command:
        case effects.StartRun():
            fields = {
                "action": "start",
                "uid": command.attempt_id,
                "lane": command.class_name,
                "content": _encode_content(command.body),
            }
        case effects.StopRun():
            fields = {"action": "stop", "uid": command.attempt_id}
        case effects.DeliverReply():
            fields = {
                "action": "give",
                "uid": command.attempt_id,
                "content": _encode_content(command.reply),
            }
        case effects.SkipCall():
            fields = {"action": "omit", "uid": command.attempt_id, "pos": command.notice_number}
        case effects.RequestLoadSample():
            fields = {"action": "gauges", "echo": command.tag}
    return orjson.dumps(fields) + b"\n"


def encode_sync(last_notice: int) -> bytes:
    """Return the first line on a link, which asks the runtime to repeat all notices after ``last_notice``."""
    return orjson.dumps({"action": "sync", "pos": last_notice}) + b"\n"


def decode(line: bytes) -> Notice:
    """Return the number and the event of a line from the runtime.

    Raises:
        NoticeError: the line is not a valid notice.
    """
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise NoticeError(str(error)) from None
    if not isinstance(fields, dict):
        raise NoticeError("notice is not a JSON object")
    number = fields.get("pos")
    if number is not None and (not isinstance(number, int) or number < 0):
        raise NoticeError("notice field pos is not a non-negative integer")
    try:
        return number, _event(fields)
    except (KeyError, TypeError, ValueError) as error:
        raise NoticeError(
            f"notice {fields.get('action')!r} has a missing or invalid field: {error!r}"
        ) from None


def _event(fields: dict[str, Any]) -> events.Event | None:
    """Return the event of a notice, or None if the kind of the notice is unknown.

    Raises:
        TypeError: a field has a wrong type. A missing field raises KeyError and an invalid value ValueError.
    """
    match fields.get("action"):
        case "ready":
            age_ms = max(0.0, float(fields.get("wall_ms") or 0.0))
            return events.RuntimeConnected(fields["code"] == "fresh", age_ms)
        case "end":
            duration_ms = float(fields.get("wall_ms") or 0.0)
            outcome = _OUTCOMES[fields["code"]]
            return events.RunCompleted(str(fields["uid"]), outcome, duration_ms, _decode_content(fields))
        case "wants":
            if not isinstance(fields["pos"], int):
                raise TypeError("notice field pos is not an integer, so the call could never be skipped")
            return events.CallRequested(str(fields["uid"]), fields["pos"], _decode_content(fields))
        case "load":
            values = tuple(float(value) for value in fields["meters"])
            return events.LoadSampleReceived(str(fields["echo"]), values)
        case "nack":
            return events.CommandRejected(str(fields.get("uid") or ""), fields["code"] == "start")
    return None


def _encode_content(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _decode_content(fields: dict[str, Any]) -> bytes:
    return base64.b64decode(fields.get("content") or "", validate=True)
