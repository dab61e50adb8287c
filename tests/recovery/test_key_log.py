"""The ring of keys over a crash: what was written is found, what was lost makes the node blind."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from snowthread.core.idempotency import IndeterminateKeys, key_digest
from snowthread.recovery import key_log, storage
from snowthread.recovery.key_log import SLOT_BYTES, KeyLog, Verdict, key_log_size, new_key_log, read_key_log

NOW = 1_800_000_000_000.0


def filled(slots: int = 8, keys: int = 3) -> bytearray:
    data = bytearray(new_key_log(slots=slots))
    made = KeyLog(memoryview(data), 0)
    for n in range(keys):
        assert made.append(key_digest(f"key{n}"), NOW + 1000.0 + n, NOW)
    return data


def test_keys_written_are_found_with_their_windows() -> None:
    found = read_key_log(bytes(filled()))
    assert found.verdict is Verdict.WHOLE and found.sequence == 3
    assert found.keys == {key_digest(f"key{n}"): NOW + 1000.0 + n for n in range(3)}


def test_every_cut_and_every_flipped_byte_that_matters_is_told() -> None:
    data = bytes(filled())
    for length in range(1, len(data)):
        assert read_key_log(data[:length]).verdict is not Verdict.WHOLE, length
    written = range(key_log.HEADER_BYTES + SLOT_BYTES, key_log.HEADER_BYTES + 4 * SLOT_BYTES)
    for at in [*range(22), *written]:
        spoilt = data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :]
        slot_pad = at in written and (at - key_log.HEADER_BYTES) % SLOT_BYTES >= 36
        assert (read_key_log(spoilt).verdict is Verdict.WHOLE) == slot_pad, at
    assert read_key_log(b"").verdict is Verdict.MISSING
    assert read_key_log(b"x" * key_log_size(8)).verdict is Verdict.FOREIGN


def test_a_full_ring_takes_no_key_rather_than_forget_an_open_one() -> None:
    data = filled(slots=4, keys=4)
    made = KeyLog(memoryview(data), 4)
    assert not made.append(key_digest("one more"), NOW + 5000.0, NOW) and made.rejected_appends == 1
    assert made.append(key_digest("one more"), NOW + 5000.0, NOW + 1002.0)  # the oldest window is over
    kept = read_key_log(bytes(data)).keys
    assert len(kept) == 4 and key_digest("one more") in kept and key_digest("key1") in kept


def test_a_wiped_or_torn_folder_is_blind_and_stays_so_over_a_second_start(tmp_path: Path) -> None:
    found, made, why = storage.open_key_log(tmp_path, NOW + 16_000.0)
    assert found.verdict is Verdict.MISSING and made is not None and not why
    made.append(key_digest("k"), NOW + 9000.0, NOW)
    again, _, _ = storage.open_key_log(tmp_path, NOW + 99_000.0)  # restarted inside its window
    assert again.verdict is Verdict.WHOLE and again.any_until_ms == NOW + 16_000.0
    assert again.keys == {key_digest("k"): NOW + 9000.0}
    path = tmp_path / storage.KEY_LOG_FILE
    path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])
    torn, _, _ = storage.open_key_log(tmp_path, NOW + 50_000.0)
    assert torn.verdict is Verdict.TORN
    assert storage.open_key_log(tmp_path, 0.0)[0].any_until_ms == NOW + 50_000.0


def test_an_operators_word_makes_a_new_machine_trusted(tmp_path: Path) -> None:
    assert storage.init(tmp_path) is None
    found, made, _ = storage.open_key_log(tmp_path, NOW + 16_000.0)
    assert found.verdict is Verdict.WHOLE and found.any_until_ms == 0.0 and made is not None


def test_no_folder_no_ring(tmp_path: Path) -> None:
    _, made, why = storage.open_key_log(tmp_path / "gone", NOW)
    assert made is None and why


@pytest.mark.parametrize(
    ("once", "at", "held"),
    [
        ("ran", NOW + 99.0, True),
        ("ran", NOW + 100.0, False),
        ("other", NOW + 9.0, True),
        ("other", NOW + 10.0, False),
        ("ran", NOW + 10.0, True),
    ],
)
def test_unknown_keys_end_with_their_windows(once: str, at: float, held: bool) -> None:
    unknown = IndeterminateKeys({key_digest("ran"): NOW + 100.0}, blind_until=NOW + 10.0)
    assert unknown.may_have_run(once, at) is held


def test_operators_make_a_ring_once_and_see_what_a_start_would_find(tmp_path: Path) -> None:
    def say(*words: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "snowthread", "warm", *words, str(tmp_path)],
            text=True,
            capture_output=True,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    assert "ring of keys: missing" in say("show")[1]
    assert say("init")[0] == 0 and "ring of keys: whole; 0 with an open window" in say("show")[1]
    code, told = say("init")
    assert code == 2 and "has a ring of keys" in told
