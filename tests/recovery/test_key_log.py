"""The ring of keys over a crash: what was written is found, what was lost makes the node blind."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from snowthread.core.idempotency import Unknown, key_digest
from snowthread.recovery import storage as disk, key_log as ring
from snowthread.recovery.key_log import SLOT_BYTES, Ring, Verdict, empty, judge, size

NOW = 1_800_000_000_000.0


def filled(slots: int = 8, keys: int = 3) -> bytearray:
    data = bytearray(empty(slots=slots))
    made = Ring(memoryview(data), 0)
    for n in range(keys):
        assert made.put(key_digest(f"key{n}"), NOW + 1000.0 + n, NOW)
    return data


def test_keys_written_are_found_with_their_windows() -> None:
    found = judge(bytes(filled()))
    assert found.verdict is Verdict.WHOLE and found.sequence == 3
    assert found.keys == {key_digest(f"key{n}"): NOW + 1000.0 + n for n in range(3)}


def test_every_cut_and_every_flipped_byte_that_matters_is_told() -> None:
    data = bytes(filled())
    for length in range(1, len(data)):
        assert judge(data[:length]).verdict is not Verdict.WHOLE, length
    written = range(ring.HEADER_BYTES + SLOT_BYTES, ring.HEADER_BYTES + 4 * SLOT_BYTES)
    for at in [*range(22), *written]:
        spoilt = data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1:]
        slot_pad = at in written and (at - ring.HEADER_BYTES) % SLOT_BYTES >= 36
        assert (judge(spoilt).verdict is Verdict.WHOLE) == slot_pad, at
    assert judge(b"").verdict is Verdict.MISSING
    assert judge(b"x" * size(8)).verdict is Verdict.FOREIGN


def test_a_full_ring_takes_no_key_rather_than_forget_an_open_one() -> None:
    data = filled(slots=4, keys=4)
    made = Ring(memoryview(data), 4)
    assert not made.put(key_digest("one more"), NOW + 5000.0, NOW) and made.full == 1
    assert made.put(key_digest("one more"), NOW + 5000.0, NOW + 1002.0)  # the oldest window is over
    kept = judge(bytes(data)).keys
    assert len(kept) == 4 and key_digest("one more") in kept and key_digest("key1") in kept


def test_a_wiped_or_torn_folder_is_blind_and_stays_so_over_a_second_start(tmp_path: Path) -> None:
    found, made, why = disk.open_ring(tmp_path, NOW + 16_000.0)
    assert found.verdict is Verdict.MISSING and made is not None and not why
    made.put(key_digest("k"), NOW + 9000.0, NOW)
    again, _, _ = disk.open_ring(tmp_path, NOW + 99_000.0)  # restarted inside its window
    assert again.verdict is Verdict.WHOLE and again.blind_until == NOW + 16_000.0
    assert again.keys == {key_digest("k"): NOW + 9000.0}
    path = tmp_path / disk.RING
    path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])
    torn, _, _ = disk.open_ring(tmp_path, NOW + 50_000.0)
    assert torn.verdict is Verdict.TORN
    assert disk.open_ring(tmp_path, 0.0)[0].blind_until == NOW + 50_000.0


def test_an_operators_word_makes_a_new_machine_trusted(tmp_path: Path) -> None:
    assert disk.init(tmp_path) is None
    found, made, _ = disk.open_ring(tmp_path, NOW + 16_000.0)
    assert found.verdict is Verdict.WHOLE and found.blind_until == 0.0 and made is not None


def test_no_folder_no_ring(tmp_path: Path) -> None:
    _, made, why = disk.open_ring(tmp_path / "gone", NOW)
    assert made is None and why


@pytest.mark.parametrize(("once", "at", "held"), [
    ("ran", NOW + 99.0, True), ("ran", NOW + 100.0, False), ("other", NOW + 9.0, True),
    ("other", NOW + 10.0, False), ("ran", NOW + 10.0, True)])
def test_unknown_keys_end_with_their_windows(once: str, at: float, held: bool) -> None:
    unknown = Unknown({key_digest("ran"): NOW + 100.0}, blind_until=NOW + 10.0)
    assert unknown.holds(once, at) is held


def test_operators_make_a_ring_once_and_see_what_a_start_would_find(tmp_path: Path) -> None:
    def say(*words: str) -> tuple[int, str]:
        done = subprocess.run([sys.executable, "-m", "snowthread", "warm", *words, str(tmp_path)], text=True,
                              capture_output=True, check=False)
        return done.returncode, done.stdout + done.stderr

    assert "ring of keys: missing" in say("show")[1]
    assert say("init")[0] == 0 and "ring of keys: whole; 0 with an open window" in say("show")[1]
    code, told = say("init")
    assert code == 2 and "has a ring of keys" in told
