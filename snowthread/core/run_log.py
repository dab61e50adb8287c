"""Log messages on single runs and on the idempotency keys of their requests, at the level DEBUG."""

from __future__ import annotations

from snowthread.core import effects
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.state import Request
from snowthread.core.transition import Transition

RUN_LOG_EVENT = "runtime.run"
KEY_LOG_EVENT = "idempotency.key"


def log_run_status(transition: Transition, request: Request, status: str) -> None:
    """Log the status of one run."""
    _log(transition, f"runtime: run {request.attempt_id}: {status}", RUN_LOG_EVENT)


def log_key_release(transition: Transition, record: IdempotencyRecord, released: bool) -> None:
    """Log that the key of an attempt is free again, or that it stays taken although it should be freed."""
    owner = "the peer process" if record.owned_by_peer else "this process"
    outcome = "released: it counts as never run" if released else "stays taken: its run has begun"
    _log(transition, f"idempotency key of attempt {record.attempt_id} of {owner} {outcome}", KEY_LOG_EVENT)


def _log(transition: Transition, text: str, event: str) -> None:
    transition.emit(effects.LogMessage(text, event, is_detail=True))
