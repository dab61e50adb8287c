"""The simulator's wire: one JSON line of events in, one line of actions out. Translation only."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from snowthread.admission.actions import (
    AwaitOriginal,
    Fail,
    ForgetKey,
    LogNote,
    PublishLoad,
    Reject,
    RememberKey,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from snowthread.admission.controller import Controller
from snowthread.admission.events import (
    CallFinished,
    CallNeeded,
    Event,
    RequestAbandoned,
    RequestArrived,
    RunFinished,
    ShutdownNotice,
    Started,
    TimerFired,
)
from snowthread.admission.settings import Outcome
from snowthread.admission.settings_parser import Fields, parse_settings

__all__ = ["SimulatorAdapter", "main", "parse_settings", "serve"]

log = logging.getLogger("snowthread.admission.simulator_adapter")


def _arrival(f: Fields) -> Event:
    tenant = f.get("tenant") or ""
    return RequestArrived(
        request_id=f["op_id"],
        class_name=f["category"],
        memory_kb=f.get("held_kb", 0.0),
        tenant=tenant,
        partition_key=f.get("partition_key") or "",
        time_left_s=f.get("left_s") or None,
        work_hint_s=f.get("work_hint_s") or None,
        rank=f.get("precedence"),
        is_retry=bool(f.get("is_retry")),
        caller_id=f.get("src", 0),
        unread_s=f.get("backlog_time_s", 0.0),
        original_id=f.get("prior") or None,
    )


def _timer(f: Fields) -> Event:
    usage = f.get("usage") or {}
    return TimerFired(
        label=f.get("label", 0),
        core_utilization=usage.get("core_use"),
        core_demand=usage.get("on_cores"),
        memory_utilization=usage.get("heap_share"),
        connections=usage.get("links"),
    )


_EVENT: dict[str, Callable[[Fields], Event]] = {
    "accept": _arrival,
    "tick_due": _timer,
    "expired": lambda f: RequestAbandoned(f["op_id"]),
    "ready_to_call": lambda f: CallNeeded(f["op_id"]),
    "run_over": lambda f: RunFinished(f["op_id"], Outcome(f["rc"]), f.get("wait_time_s", 0.0)),
    "came_back": lambda f: CallFinished(f["op_id"], Outcome(f["rc"]), f.get("wait_time_s", 0.0)),
    "retire_soon": lambda f: ShutdownNotice(f.get("left_s", 0.0)),
}

_ACTION: dict[type, Callable[[str, Any], Fields]] = {
    StartRun: lambda i, a: {"run": {"i": i, "op_id": a.request_id}},
    RememberKey: lambda i, a: {"record_key": {"i": i, "op_id": a.request_id, "lifetime_s": a.lifetime_s}},
    ForgetKey: lambda i, a: {"forget": {"i": i, "op_id": a.request_id}},
    Reject: lambda i, a: {
        "say_no": {"i": i, "op_id": a.request_id, "hold_off_s": a.retry_after_s, "last": a.do_not_retry}
    },
    Fail: lambda i, a: {"lose": {"i": i, "op_id": a.request_id}},
    StartCall: lambda i, a: {"ask_below": {"i": i, "op_id": a.request_id, "give_up_after_s": a.timeout_s}},
    SkipCall: lambda i, a: {"go_on": {"i": i, "op_id": a.request_id}},
    StopRun: lambda i, a: {"preempt": {"i": i, "op_id": a.request_id}},
    AwaitOriginal: lambda i, a: {"attach": {"i": i, "op_id": a.request_id}},
    PublishLoad: lambda i, a: {"publish": {"i": i, "value": a.value}},
    SetIdleTimeout: lambda i, a: {"reap_after": {"i": i, "lifetime_s": a.timeout_s}},
    SetTimer: lambda i, a: {"wake_me": {"i": i, "offset_s": a.delay_s, "label": a.label}},
    SetHealth: lambda i, a: {"health": {"i": i, "enable": a.healthy, "shallow": a.shallow}},
    LogNote: lambda i, a: {"remark": {"i": i, "words": a.text}},
}


class SimulatorAdapter:
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
            controller = Controller(parse_settings(fields["facts"]), fields.get("prng", 0))
            self.instances[name] = controller
            actions = controller.handle(now, Started())
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
    drill = SimulatorAdapter()
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
