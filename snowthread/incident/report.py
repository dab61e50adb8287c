"""Render the incident report as one self-contained HTML file and as JSON.

All text from records is escaped by the template and by the chart library, so that no script in it can run.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson
from jinja2 import Environment, PackageLoader, StrictUndefined

from snowthread import __version__
from snowthread.incident.charts import class_chart, fleet_chart, node_chart
from snowthread.incident.clocks import Clocks
from snowthread.incident.series import NodeSecond, Series, build_series
from snowthread.incident.timeline import Sentence, Timeline, build_timeline
from snowthread.incident.times import format_date, format_time_of_day
from snowthread.records.reader import Findings, merge_records

PROGRESS_INTERVAL = 100_000  # records between two progress messages
MAX_NODE_CHARTS = 40
TEMPLATE_FILE = "report.html.j2"


class Report:
    """The reconstructed timeline, and the series and clocks that it is based on.

    The records are read twice, once to fit the clocks and once to build the series, so that few of them are
    held in memory. ``progress`` is called with the number of records read, every ``PROGRESS_INTERVAL``
    records.
    """

    def __init__(self, paths: Iterable[Path], progress: Callable[[int], None] = lambda _count: None) -> None:
        path_list = list(paths)
        self.clocks = Clocks()
        self.findings = Findings()
        for count, record in enumerate(merge_records(path_list, Findings()), 1):
            self.clocks.add(record)
            if count % PROGRESS_INTERVAL == 0:
                progress(count)
        self.clocks.fit()
        self.series: Series = build_series(merge_records(path_list, self.findings), self.clocks)
        self.timeline: Timeline = build_timeline(self.series, self.clocks)

    def to_dict(self) -> dict[str, Any]:
        """Return the content of the JSON report: sentences with their records, offsets, findings, totals."""
        return {
            "version": __version__,
            "quiet": self.timeline.quiet,
            "span": list(self.series.span),
            "sentences": [_sentence_dict(sentence) for sentence in self.timeline.sentences],
            "unknown": list(self.timeline.unknown),
            "offsets": _offset_dicts(self.clocks),
            "findings": _findings_dict(self.findings),
            "nodes": [
                {"node": node, **_request_totals(rows.values())}
                for node, rows in sorted(self.series.nodes.items())
            ],
        }

    def json(self) -> bytes:
        """Return the JSON report, indented."""
        return orjson.dumps(self.to_dict(), option=orjson.OPT_INDENT_2)

    def html(self) -> str:
        """Return the HTML report."""
        environment = Environment(
            loader=PackageLoader("snowthread.incident", "."),
            autoescape=True,
            undefined=StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        environment.filters["clock"] = format_time_of_day
        nodes = sorted(self.series.nodes.items())
        return environment.get_template(TEMPLATE_FILE).render(
            report=self.to_dict(),
            timeline=self.timeline,
            charts=self._charts(),
            node_charts=[node_chart(node, rows) for node, rows in nodes[:MAX_NODE_CHARTS]],
            offsets=self.clocks.offsets,
            nodes_without_chart=max(0, len(nodes) - MAX_NODE_CHARTS),
            date=format_date(self.series.span[0] * 1000.0) if nodes else "",
        )

    def _charts(self) -> list[str]:
        """Return the chart of the fleet and a chart for each class."""
        charts = [fleet_chart(self.series)] if self.series.nodes else []
        return charts + [class_chart(name, rows) for name, rows in sorted(self.series.classes.items())]


def _sentence_dict(sentence: Sentence) -> dict[str, Any]:
    episode = sentence.episode
    return {
        "at": sentence.start_ms,
        "kind": sentence.kind,
        "text": sentence.text,
        "confidence": sentence.confidence,
        "start": episode.start_ms,
        "end": episode.end_ms,
        "bound_ms": episode.bound_ms,
        "nodes": list(episode.nodes),
        "cites": [list(key) for key in sentence.evidence],
    }


def _offset_dicts(clocks: Clocks) -> list[dict[str, Any]]:
    return [
        {
            "node": segment.node,
            "boot": segment.boot,
            "part": segment.part,
            **asdict(offset),
            "bound_ms": offset.bound_ms if math.isfinite(offset.bound_ms) else None,
        }
        for segment, offset in clocks.offsets.items()
    ]


def _findings_dict(findings: Findings) -> dict[str, Any]:
    return {
        "records": findings.records,
        "files": findings.files,
        "copies": findings.duplicates,
        "unreadable": findings.unreadable,
        "holes": [[gap.node, gap.boot, gap.last_number, gap.count] for gap in findings.gaps],
        "spoilt": [
            [corrupt.path.name, corrupt.frame.offset, corrupt.frame.size, corrupt.frame.reason]
            for corrupt in findings.corrupt_frames
        ],
    }


def _request_totals(rows: Collection[NodeSecond]) -> dict[str, int]:
    """Return the sums of the request counts of a node, with the keys of the JSON report."""
    return {
        "read": sum(row.read for row in rows),
        "good": sum(row.served_in_time for row in rows),
        "late": sum(row.late for row in rows),
        "refused": sum(row.rejected for row in rows),
        "leaving": sum(row.rejected_in_shutdown for row in rows),
        "failed": sum(row.failed for row in rows),
    }
