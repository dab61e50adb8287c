"""Records the key of each run before it starts, and marks the keys of an earlier incarnation."""

from __future__ import annotations

import math

from loguru import logger

from snowthread.core import effects
from snowthread.core.idempotency import IndeterminateKeys, key_digest
from snowthread.core.state import NodeState
from snowthread.recovery import storage
from snowthread.recovery.key_log import KeyLogStatus
from snowthread.recovery.settings import RecoverySettings
from snowthread.recovery.storage import OpenedKeyLog


class KeyRecorder:
    """Opens the key log at the start of the process and appends to it."""

    def __init__(
        self, settings: RecoverySettings, state: NodeState, now_ms: float, longest_window_ms: float
    ) -> None:
        """Open the key log and mark in ``state`` which keys may have run in an earlier incarnation.

        ``longest_window_ms`` is the longest idempotency window of all request classes: where the log is
        incomplete, any key may have run until that time has passed.
        """
        all_indeterminate_until_ms = now_ms + longest_window_ms
        opened = storage.open_key_log(settings.folder, all_indeterminate_until_ms)
        self._key_log = opened.key_log
        _mark_indeterminate_keys(state, opened, all_indeterminate_until_ms, now_ms)

    def record_start(self, state: NodeState, start: effects.StartRun, now_ms: float) -> bool:
        """Write the key of a run that is about to start; return False where it must not start.

        A run without a key may start at once.
        """
        record = state.idempotency_table.find_by_attempt(start.attempt_id)
        if record is None:
            return True
        digest = key_digest(record.idempotency_key)
        if self._key_log is not None and self._key_log.append(digest, record.expires_at_ms, now_ms):
            return True
        logger.bind(event="recovery.key_log").warning("the key log has no free slot: run not started")
        return False


def _mark_indeterminate_keys(
    state: NodeState, opened: OpenedKeyLog, all_indeterminate_until_ms: float, now_ms: float
) -> None:
    contents = opened.contents
    if opened.error is not None:
        logger.bind(event="recovery.key_log").error(
            "no key log, no request with a key is run: {}", opened.error
        )
        all_indeterminate_until_ms = math.inf
    elif contents.status is KeyLogStatus.COMPLETE:
        all_indeterminate_until_ms = contents.all_indeterminate_until_ms
    keys = {digest: until_ms for digest, until_ms in contents.keys.items() if until_ms > now_ms}
    if keys or all_indeterminate_until_ms > now_ms:
        state.indeterminate_keys = IndeterminateKeys(keys, all_indeterminate_until_ms)
    logger.bind(event="recovery.key_log", verdict=contents.status.value, keys=len(keys)).info(
        "key log: {}{}{}; {} keys indeterminate{}",
        contents.status.value,
        ": " if contents.reason else "",
        contents.reason,
        len(keys),
        f", all for {(all_indeterminate_until_ms - now_ms) / 1000.0:.1f} s"
        if all_indeterminate_until_ms > now_ms
        else "",
    )
