"""The simulator's wire: one JSON line of events in, one line of actions out. Translation only."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from snowthread.admission import interface as api
from snowthread.admission.controller import Controller
from snowthread.admission.settings_parser import Fields, settings_from

__all__ = ["Drill", "main", "serve", "settings_from"]

log = logging.getLogger("snowthread.admission.simulator_adapter")


def _arrival(f: Fields) -> api.Event:
    tenant = f.get("tenant") or ""
    return api.Arrival(
        request=f["op_id"], class_name=f["category"], held_kb=f.get("held_kb", 0.0), tenant=tenant,
        key=f.get("partition_key") or "", left_s=f.get("left_s") or None,
        work_hint_s=f.get("work_hint_s") or None, rank=f.get("precedence"),
        is_retry=bool(f.get("is_retry")), caller=f.get("src", 0), backlog_s=f.get("backlog_time_s", 0.0),
        prior=f.get("prior") or None)


def _timer(f: Fields) -> api.Event:
    usage = f.get("usage") or {}
    return api.TimerFired(label=f.get("label", 0), core_use=usage.get("core_use"),
                          on_cores=usage.get("on_cores"), memory_share=usage.get("heap_share"),
                          connections=usage.get("links"))


_EVENT: dict[str, Callable[[Fields], api.Event]] = {
    "accept": _arrival,
    "tick_due": _timer,
    "expired": lambda f: api.CallerGone(f["op_id"]),
    "ready_to_call": lambda f: api.AtCall(f["op_id"]),
    "run_over": lambda f: api.RunEnded(f["op_id"], api.Outcome(f["rc"]), f.get("wait_time_s", 0.0)),
    "came_back": lambda f: api.CallEnded(f["op_id"], api.Outcome(f["rc"]), f.get("wait_time_s", 0.0)),
    "retire_soon": lambda f: api.LeaveNotice(f.get("left_s", 0.0)),
}

_ACTION: dict[type, Callable[[str, Any], Fields]] = {
    api.Run: lambda i, a: {"run": {"i": i, "op_id": a.request}},
    api.KeepKey: lambda i, a: {"record_key": {"i": i, "op_id": a.request, "lifetime_s": a.lifetime_s}},
    api.ForgetKey: lambda i, a: {"forget": {"i": i, "op_id": a.request}},
    api.Refuse: lambda i, a: {"say_no": {"i": i, "op_id": a.request, "hold_off_s": a.hold_off_s,
                                         "last": a.last}},
    api.Fail: lambda i, a: {"lose": {"i": i, "op_id": a.request}},
    api.Call: lambda i, a: {"ask_below": {"i": i, "op_id": a.request, "give_up_after_s": a.give_up_s}},
    api.SkipCall: lambda i, a: {"go_on": {"i": i, "op_id": a.request}},
    api.Preempt: lambda i, a: {"preempt": {"i": i, "op_id": a.request}},
    api.Attach: lambda i, a: {"attach": {"i": i, "op_id": a.request}},
    api.Publish: lambda i, a: {"publish": {"i": i, "value": a.value}},
    api.CloseIdle: lambda i, a: {"reap_after": {"i": i, "lifetime_s": a.after_s}},
    api.SetTimer: lambda i, a: {"wake_me": {"i": i, "offset_s": a.after_s, "label": a.label}},
    api.SetHealth: lambda i, a: {"health": {"i": i, "enable": a.good, "shallow": a.shallow}},
    api.Report: lambda i, a: {"remark": {"i": i, "words": a.text}},
}


class Drill:
    """The instances of one process, each a controller of its own."""

    def __init__(self) -> None:
        self.instances: dict[str, Controller] = {}

    def answer(self, line: bytes) -> bytes:
        """One batch in, one reply out."""
        name = ""
        try:
            batch = orjson.loads(line)
            now = batch["now_s"]
            out: list[Fields] = []
            for item in batch["events"]:
                for kind, fields in item.items():
                    name = fields.get("i", "")
                    out.extend(self._one(now, kind, name, fields))
            return orjson.dumps({"out": out})
        except Exception as error:  # the wire's own way to say so; the text is for the report
            log.exception("batch failed")
            return orjson.dumps({"out": [{"bug": {"i": name, "words": f"{type(error).__name__}: {error}"}}]})

    def _one(self, now: float, kind: str, name: str, fields: Fields) -> list[Fields]:
        if kind == "boot":
            controller = Controller(settings_from(fields["facts"]), fields.get("prng", 0))
            self.instances[name] = controller
            actions = controller.handle(now, api.Started())
        elif kind == "down":
            self.instances.pop(name, None)
            return []
        else:
            translate = _EVENT.get(kind)
            instance = self.instances.get(name)
            if translate is None or instance is None:
                return []
            actions = instance.handle(now, translate(fields))
        return [_ACTION[type(a)](name, a) for a in actions]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    drill = Drill()
    for line in source:
        if line.strip():
            sink.write(drill.answer(line) + b"\n")
            sink.flush()


def main() -> int:
    """Entry point."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO)
    serve(sys.stdin.buffer, sys.stdout.buffer)
    return 0


if __name__ == "__main__":
    sys.exit(main())
