"""Writes idempotency keys to the key log before their runs start, and restores them from it at start."""

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
    """Opens the key log when the process starts and appends keys to it."""

    def __init__(
        self, settings: RecoverySettings, state: NodeState, now_ms: float, longest_window_ms: float
    ) -> None:
        """Open the key log and set ``state.indeterminate_keys`` from it.

        Args:
            settings: Has the state folder.
            state: The node state that receives the indeterminate keys.
            now_ms: Current wall clock time in ms.
            longest_window_ms: The longest idempotency window of all request classes. If the log is missing
                or invalid, every key is indeterminate for this time.
        """
        all_indeterminate_until_ms = now_ms + longest_window_ms
        opened = storage.open_key_log(settings.folder, all_indeterminate_until_ms)
        self._key_log = opened.key_log
        _mark_indeterminate_keys(state, opened, all_indeterminate_until_ms, now_ms)

    def record_key(self, state: NodeState, start: effects.StartRun, now_ms: float) -> bool:
        """Write the key of a run to the key log.

        Returns:
            Whether the run may start: its key was written, or it has none. A key cannot be written if the key
            log was not opened, or if its next slot holds a key whose window is open.
        """
        record = state.idempotency_table.find_by_attempt(start.attempt_id)
        if record is None:
            return True
        digest = key_digest(record.idempotency_key)
        if self._key_log is not None and self._key_log.append(digest, record.expires_at_ms, now_ms):
            return True
        logger.bind(event="recovery.key_log").warning(
            "could not write an idempotency key: the key log is full of keys with open windows, or could not "
            "be opened at start; the run of the key is not started and its request fails"
        )
        return False


def _mark_indeterminate_keys(
    state: NodeState, opened: OpenedKeyLog, all_indeterminate_until_ms: float, now_ms: float
) -> None:
    contents = opened.contents
    if opened.error is not None:
        logger.bind(event="recovery.key_log").error(
            "cannot use the key log ({}); every request with an idempotency key will fail", opened.error
        )
        all_indeterminate_until_ms = math.inf
    elif contents.status is KeyLogStatus.COMPLETE:
        all_indeterminate_until_ms = contents.all_indeterminate_until_ms
    keys = {
        digest: window_end_ms for digest, window_end_ms in contents.keys.items() if window_end_ms > now_ms
    }
    if keys or all_indeterminate_until_ms > now_ms:
        state.indeterminate_keys = IndeterminateKeys(keys, all_indeterminate_until_ms)
    logger.bind(event="recovery.key_log", verdict=contents.status.value, keys=len(keys)).info(
        "key log: {}{}{}; {} keys indeterminate{}",
        contents.status.value,
        ": " if contents.reason else "",
        contents.reason,
        len(keys),
        f"; all keys indeterminate for {(all_indeterminate_until_ms - now_ms) / 1000.0:.1f} s"
        if all_indeterminate_until_ms > now_ms
        else "",
    )
