"""Tests the key log across crashes.

Keys that were written are found at the next start. If the log is missing or corrupt, every key is
indeterminate, so that no keyed request runs twice.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from snowthread.core.idempotency import IndeterminateKeys, key_digest
from snowthread.recovery import key_log, storage
from snowthread.recovery.key_log import (
    SLOT_BYTES,
    KeyLog,
    KeyLogStatus,
    decode_key_log,
    encode_empty_key_log,
    key_log_size,
)

NOW = 1_800_000_000_000.0


def filled_key_log(slot_count: int = 8, keys: int = 3) -> bytearray:
    data = bytearray(encode_empty_key_log(slot_count=slot_count))
    log = KeyLog(memoryview(data), 0)
    for index in range(keys):
        assert log.append(key_digest(f"key{index}"), NOW + 1000.0 + index, NOW)
    return data


def test_written_keys_are_found_with_their_windows() -> None:
    found = decode_key_log(bytes(filled_key_log()))
    assert found.status is KeyLogStatus.COMPLETE and found.sequence == 3
    assert found.keys == {key_digest(f"key{index}"): NOW + 1000.0 + index for index in range(3)}


def test_every_cut_and_every_flipped_byte_that_matters_is_detected() -> None:
    data = bytes(filled_key_log())
    for length in range(1, len(data)):
        assert decode_key_log(data[:length]).status is not KeyLogStatus.COMPLETE, length
    written = range(key_log.HEADER_BYTES + SLOT_BYTES, key_log.HEADER_BYTES + 4 * SLOT_BYTES)
    # Bytes 0 to 19 are the header, 20 and 21 the first half of its checksum. A slot and its checksum take 36
    # bytes; no checksum covers the padding after them.
    for offset in [*range(22), *written]:
        altered = data[:offset] + bytes([data[offset] ^ 0x10]) + data[offset + 1 :]
        is_padding = offset in written and (offset - key_log.HEADER_BYTES) % SLOT_BYTES >= 36
        assert (decode_key_log(altered).status is KeyLogStatus.COMPLETE) == is_padding, offset
    assert decode_key_log(b"").status is KeyLogStatus.MISSING
    assert decode_key_log(b"x" * key_log_size(8)).status is KeyLogStatus.UNKNOWN_FORMAT


def test_full_key_log_rejects_a_key_rather_than_overwrite_one_with_an_open_window() -> None:
    data = filled_key_log(slot_count=4, keys=4)
    log = KeyLog(memoryview(data), 4)
    assert not log.append(key_digest("one more"), NOW + 5000.0, NOW) and log.rejected_appends == 1
    # The window of the oldest key is over by then, so its slot can be reused.
    assert log.append(key_digest("one more"), NOW + 5000.0, NOW + 1002.0)
    keys = decode_key_log(bytes(data)).keys
    assert len(keys) == 4 and key_digest("one more") in keys and key_digest("key1") in keys


def test_missing_or_torn_key_log_makes_any_key_indeterminate_over_a_second_start(tmp_path: Path) -> None:
    opened = storage.open_key_log(tmp_path, NOW + 16_000.0)
    assert opened.contents.status is KeyLogStatus.MISSING
    assert opened.key_log is not None and opened.error is None
    opened.key_log.append(key_digest("k"), NOW + 9000.0, NOW)
    # Restarted while all keys are still indeterminate.
    again = storage.open_key_log(tmp_path, NOW + 99_000.0).contents
    assert again.status is KeyLogStatus.COMPLETE and again.all_indeterminate_until_ms == NOW + 16_000.0
    assert again.keys == {key_digest("k"): NOW + 9000.0}
    path = tmp_path / storage.KEY_LOG_FILE
    path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])
    torn = storage.open_key_log(tmp_path, NOW + 50_000.0).contents
    assert torn.status is KeyLogStatus.CORRUPT
    assert storage.open_key_log(tmp_path, 0.0).contents.all_indeterminate_until_ms == NOW + 50_000.0


def test_key_log_that_the_operator_made_is_trusted(tmp_path: Path) -> None:
    assert storage.create_key_log(tmp_path) is None
    opened = storage.open_key_log(tmp_path, NOW + 16_000.0)
    assert (
        opened.contents.status is KeyLogStatus.COMPLETE and opened.contents.all_indeterminate_until_ms == 0.0
    )
    assert opened.key_log is not None


def test_missing_folder_gives_an_error_and_no_key_log(tmp_path: Path) -> None:
    opened = storage.open_key_log(tmp_path / "gone", NOW)
    assert opened.key_log is None
    assert opened.error == storage.StorageFailure(storage.StorageStep.OPEN, "No such file or directory")
    assert str(opened.error) == "open: No such file or directory"


@pytest.mark.parametrize(
    ("key", "at_ms", "may_have_run"),
    [
        ("ran", NOW + 99.0, True),
        ("ran", NOW + 100.0, False),
        ("other", NOW + 9.0, True),
        ("other", NOW + 10.0, False),
        ("ran", NOW + 10.0, True),
    ],
)
def test_indeterminate_keys_end_with_their_windows(key: str, at_ms: float, may_have_run: bool) -> None:
    keys = IndeterminateKeys({key_digest("ran"): NOW + 100.0}, all_indeterminate_until_ms=NOW + 10.0)
    assert keys.may_have_run(key, at_ms) is may_have_run


def test_operators_make_a_key_log_once_and_see_what_a_start_would_find(tmp_path: Path) -> None:
    def warm(*words: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "snowthread", "warm", *words, str(tmp_path)],
            text=True,
            capture_output=True,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    assert "key log: missing" in warm("show")[1]
    assert warm("init")[0] == 0 and "key log: whole; 0 keys with an open window" in warm("show")[1]
    code, output = warm("init")
    assert code == 2 and "a key log exists" in output
