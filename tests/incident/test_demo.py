"""The demo command: real nodes, a slow database, a rolling deploy, a crash, and the report of them."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_demo_reports_its_incidents_in_order(tmp_path: Path) -> None:
    output = tmp_path / "report.html"
    process = subprocess.run(
        [sys.executable, "-m", "snowthread", "demo", "--seconds", "24", "-o", str(output)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=240,
        check=False,
    )
    assert process.returncode == 0, process.stderr
    report = json.loads(output.with_suffix(".json").read_text())
    # If the machine pauses, requests that were due arrive at once, which the report shows as a traffic jump.
    kinds = [s["kind"] for s in report["sentences"] if s["kind"] not in ("turned away", "traffic jump")]
    assert kinds == ["slow database", "rolling deploy", "crash"], (kinds, process.stdout)
    deploy, crash = (next(s for s in report["sentences"] if s["kind"] == k) for k in kinds[1:])
    assert crash["nodes"] == ["n2"] and deploy["start"] < crash["start"]
    offsets = {o["node"]: o["offset_ms"] for o in report["offsets"]}  # offset of the last boot of each node
    for node, difference_ms in (("n2", 1000.0), ("n3", 400.0)):
        assert abs(offsets["n1"] - offsets[node] - difference_ms) < 100.0
    assert output.read_text().count("<svg") == 7 and not report["findings"]["spoilt"]
