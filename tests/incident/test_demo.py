"""The demo, as a newcomer runs it: real nodes, a slow index, a rolling deploy, a crash, and its report."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_the_demo_tells_its_own_story_in_order(tmp_path: Path) -> None:
    out = tmp_path / "report.html"
    done = subprocess.run([sys.executable, "-m", "snowthread", "demo", "--seconds", "24", "-o", str(out)],
                          cwd=ROOT, capture_output=True, text=True, timeout=240)
    assert done.returncode == 0, done.stderr
    told = json.loads(out.with_suffix(".json").read_text())
    kinds = [s["kind"] for s in told["sentences"] if s["kind"] != "turned away"]
    assert kinds == ["slow database", "rolling deploy", "crash"], (kinds, done.stdout)
    deploy, crash = told["sentences"][-2:] if told["sentences"][-1]["kind"] == "crash" else (
        next(s for s in told["sentences"] if s["kind"] == k) for k in ("rolling deploy", "crash"))
    assert crash["nodes"] == ["n2"] and deploy["start"] < crash["start"]
    assert out.read_text().count("<svg") == 4 and not told["findings"]["spoilt"]
