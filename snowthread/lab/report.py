"""A play of the lab as one HTML file: service, refusals, the shared database's load and nodes alive, a second
at a time, with the plan's steps listed. Drawn by the same chart code as ``snowthread report``.
"""

from __future__ import annotations

import html
import json
from typing import Any

from snowthread.incident.report import _chart

FIGURES = (
    "comeback",
    "asked",
    "tries",
    "lost",
    "late",
    "answered_twice",
    "keyed_runs_doubled",
    "served_before",
    "time_to_full_s",
    "second_dips",
    "worth_lost",
    "classes",
    "falls",
    "database_peak_over_capacity",
    "database_held_over_limit",
    "starts",
    "cpu_s",
)


def page(summary: dict[str, Any]) -> str:
    """The HTML of a summary that :func:`snowthread.lab.runner.summary` made."""
    seconds = len(summary["service_by_s"])

    def series(values: list[float]) -> dict[int, float]:
        return dict(enumerate(values))

    capacity = float(summary["database_per_s"])
    charts = [
        _chart("Worth served over worth asked", 0, seconds - 1, {"service": series(summary["service_by_s"])}),
        _chart(
            "Requests a second",
            0,
            seconds - 1,
            {
                "asked": series(summary["asked_by_s"]),
                "refused": series(summary["refused_by_s"]),
                "failed": series(summary["failed_by_s"]),
            },
        ),
        _chart(
            "Shared database: calls over its capacity",
            0,
            seconds - 1,
            {
                "came": series([calls / capacity for calls in summary["database_by_s"]]),
                "done": series([calls / capacity for calls in summary["database_done_by_s"]]),
            },
        ),
        _chart("Nodes that take connections", 0, seconds - 1, {"alive": series(summary["alive_by_s"])}),
    ]
    rows = "".join(
        f"<tr><th>{html.escape(name)}</th><td>{html.escape(json.dumps(summary.get(name)))}</td></tr>"
        for name in FIGURES
    )
    steps = "".join(
        f"<li>{event['at_ms'] / 1000:.1f} s: {html.escape(event['do'])} "
        f"{html.escape(' '.join(event['nodes']))} {html.escape(event['link'])}</li>"
        for event in summary["events"]
    )
    title = html.escape(f"lab: {summary['scenario']}, seed {summary['seed']}, {summary['nodes']} nodes")
    return (
        f"<!doctype html><html><head><meta charset=utf-8><title>{title}</title>"
        "<style>body{font-family:sans-serif;max-width:960px;margin:auto}th{text-align:left;padding-right:1em}"
        "</style></head>"
        f"<body><h1>{title}</h1><table>{rows}</table><h2>Steps</h2><ol>{steps}</ol>"
        + "".join(f"<figure>{chart}</figure>" for chart in charts)
        + "</body></html>"
    )
