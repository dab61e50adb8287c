"""The demo, as a newcomer runs it: real nodes, a slow index, a rolling deploy, a crash, and its report."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_the_demo_tells_its_own_story_in_order(tmp_path: Path) -> None:
    out = tmp_path / "report.html"
    done = subprocess.run(
        [sys.executable, "-m", "snowthread", "demo", "--seconds", "24", "-o", str(out)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=240,
    )
    assert done.returncode == 0, done.stderr
    told = json.loads(out.with_suffix(".json").read_text())
    # Where the machine itself pauses, what was due comes at once: that jump is in the records, and is told.
    kinds = [s["kind"] for s in told["sentences"] if s["kind"] not in ("turned away", "traffic jump")]
    assert kinds == ["slow database", "rolling deploy", "crash"], (kinds, done.stdout)
    deploy, crash = (next(s for s in told["sentences"] if s["kind"] == k) for k in kinds[1:])
    assert crash["nodes"] == ["n2"] and deploy["start"] < crash["start"]
    offsets = {o["node"]: o["offset_ms"] for o in told["offsets"]}  # the last boot of each
    for node, apart in (("n2", 1000.0), ("n3", 400.0)):
        assert abs(offsets["n1"] - offsets[node] - apart) < 100.0
    assert out.read_text().count("<svg") == 7 and not told["findings"]["spoilt"]
