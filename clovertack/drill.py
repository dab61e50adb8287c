"""The simulator's wire: one JSON line of events in, one line of actions out. Translation only."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from clovertack import interface as api
from clovertack.decide import Controller

log = logging.getLogger("clovertack.drill")

Fields = dict[str, Any]

_EFFECT = {"read_like": api.Effect.SAFE, "idempotency_key": api.Effect.KEYED,
           "non_idempotent": api.Effect.UNSAFE}
_PREEMPTION = {"silent": api.Preemption.NONE, "drop": api.Preemption.DROP, "pause": api.Preemption.PAUSE}
_SIGNAL = {"silent": api.Signal.NONE, "level": api.Signal.LEVEL, "credit": api.Signal.CREDIT,
           "weight": api.Signal.WEIGHT}
_BELOW = {"silent": api.Below.NONE, "shared": api.Below.SHARED, "tier": api.Below.TIER}


def _told(part: Fields | None) -> Fields:
    """What is told in a part of the settings; null is the same as absent."""
    return {name: value for name, value in (part or {}).items() if value is not None}


def settings_from(facts: Fields) -> api.Settings:
    """Translate the wire's settings; unknown keys are skipped."""
    domain, rules, limits = (_told(facts.get(part)) for part in ("domain", "rules", "limits"))
    may_call = domain.get("class_calls") or []
    skip = domain.get("class_skip_worth") or []
    classes = tuple(
        api.RequestClass(
            name=c["name"], goal_s=c["goal_time_s"], deadline_s=c["deadline_s"],
            effect=_EFFECT.get(c.get("effect", "read_like"), api.Effect.UNSAFE),  # unknown: never twice
            worth=c.get("importance", 1.0),
            late_value=c.get("late_value", 0.0), window_s=c.get("window_s") or 0.0,
            aim_stretch=c.get("aim_stretch") or 0.0,
            may_call=bool(may_call[n]) if n < len(may_call) else False,
            skip_worth=skip[n] if n < len(skip) else 0.0)
        for n, c in enumerate(facts.get("classes") or []))
    tenants = tuple(api.Tenant(t["name"], t.get("quota_per_s") or 0.0) for t in facts.get("projects") or [])
    return api.Settings(
        classes=classes, tenants=tenants, cores=domain.get("cores", 0),
        memory_kb=domain.get("memory_kb", 0.0), run_factor=domain.get("run_factor", 1.0),
        key_kb=domain.get("kb_per_key", 0.0),
        cold=bool(domain.get("cold")), cold_share=rules.get("cold_share", 1.0),
        ramp_s=rules.get("ramp_time_s", 0.0), fall_multiple=rules.get("fall_multiple", 3.0),
        overload_for_s=rules.get("overload_for_s", 2.0), drain_grace_s=rules.get("drain_grace_s", 1.0),
        preemption=_PREEMPTION.get(domain.get("preemption", "silent"), api.Preemption.NONE),
        passes_deadline=bool(domain.get("passes_deadline")),
        marks_retry=bool((facts.get("callers") or {}).get("marks_retry")),
        signal=_SIGNAL.get(domain.get("say", "silent"), api.Signal.NONE),
        signal_heard_s=domain.get("heard_for_s", 0.0), upstreams=domain.get("upstreams", 1),
        peers=facts.get("peers_total", 1),
        below=_BELOW.get(domain.get("below", "silent"), api.Below.NONE),
        calls_share=domain.get("calls_out", 0.0), calls_over_s=domain.get("calls_over_s", 0.0),
        linger_s=domain.get("linger_s", 0.0), retry_after=bool(limits.get("retry_after")),
        max_retry_after_s=limits.get("max_retry_after_s", 0.0), fresh_s=domain.get("fresh_s", 0.0),
        idle_s=domain.get("idle_s", 0.0), value_by_work=facts.get("value_by") == "work",
        over_share_worth=facts.get("over_share_worth", 1.0), deep_checks=bool(domain.get("deep_checks")))


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
