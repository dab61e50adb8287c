"""Renders the summary of a lab run as one HTML file.

The report shows by second the service, the rejections, the load of the shared database and the number of
nodes that accept connections, and it lists the steps of the plan. It uses the charts of ``snowthread
report``.
"""

from __future__ import annotations

import html
import json
from collections.abc import Sequence
from typing import Any

from snowthread.incident.charts import line_chart

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
STYLE = "body{font-family:sans-serif;max-width:960px;margin:auto}th{text-align:left;padding-right:1em}"


def render_report(summary: dict[str, Any]) -> str:
    """Return the summary of a run as an HTML page."""
    title = html.escape(f"lab: {summary['scenario']}, seed {summary['seed']}, {summary['nodes']} nodes")
    return (
        f"<!doctype html><html><head><meta charset=utf-8><title>{title}</title><style>{STYLE}</style></head>"
        f"<body><h1>{title}</h1><table>{_figure_rows(summary)}</table>"
        f"<h2>Steps</h2><ol>{_step_items(summary)}</ol>"
        + "".join(f"<figure>{chart}</figure>" for chart in _charts(summary))
        + "</body></html>"
    )


def _figure_rows(summary: dict[str, Any]) -> str:
    return "".join(
        f"<tr><th>{html.escape(name)}</th><td>{html.escape(json.dumps(summary.get(name)))}</td></tr>"
        for name in FIGURES
    )


def _step_items(summary: dict[str, Any]) -> str:
    return "".join(
        f"<li>{event['at_ms'] / 1000:.1f} s: {html.escape(event['do'])} "
        f"{html.escape(' '.join(event['nodes']))} {html.escape(event['link'])}</li>"
        for event in summary["events"]
    )


def _charts(summary: dict[str, Any]) -> list[str]:
    last_second = len(summary["service_by_s"]) - 1
    capacity = float(summary["database_per_s"])

    def chart(title: str, **lines: Sequence[float]) -> str:
        return line_chart(
            title, 0, last_second, {name: dict(enumerate(values)) for name, values in lines.items()}
        )

    return [
        chart("Value served over value asked", service=summary["service_by_s"]),
        chart(
            "Requests a second",
            asked=summary["asked_by_s"],
            rejected=summary["refused_by_s"],
            failed=summary["failed_by_s"],
        ),
        chart(
            "Shared database: calls over its capacity",
            received=[calls / capacity for calls in summary["database_by_s"]],
            completed=[calls / capacity for calls in summary["database_done_by_s"]],
        ),
        chart("Nodes that accept connections", accepting=summary["alive_by_s"]),
    ]
