"""The command ``snowthread records``: print, check and summarize the records of nodes."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from snowthread.records.model import BootId, Record

PATHS_ARGUMENT = click.argument(
    "places", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)


@click.group()
def records() -> None:
    """Read records of nodes from any number of files and folders, also from truncated or corrupt files."""


@records.command("cat")
@PATHS_ARGUMENT
@click.option("--kind", multiple=True, help="Print only records of this kind; may be repeated.")
@click.option("--node", multiple=True, help="Print only records of this node; may be repeated.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def cat(places: tuple[Path, ...], kind: tuple[str, ...], node: tuple[str, ...], as_json: bool) -> None:
    """Print records ordered by time."""
    from snowthread.records.reader import Findings, merge_records

    for record in merge_records(places, Findings()):
        if (kind and record.kind not in kind) or (node and record.node not in node):
            continue
        click.echo(_as_json(record) if as_json else _as_text(record))


@records.command("verify")
@PATHS_ARGUMENT
def verify(places: tuple[Path, ...]) -> None:
    """Report missing records, corrupt frames and unreadable files; exit with status 1 if there are any."""
    from snowthread.records.reader import Findings, merge_records

    findings = Findings()
    for _ in merge_records(places, findings):
        pass
    for line in findings.unreadable:
        click.echo(line)
    for corrupt in findings.corrupt_frames:
        frame = corrupt.frame
        click.echo(f"{corrupt.path}: {frame.size} invalid bytes at offset {frame.offset}: {frame.reason}")
    for gap in findings.gaps:
        click.echo(f"{gap.node} {gap.boot}: {gap.count} records missing after record {gap.last_number}")
    if findings.unlisted_findings:
        click.echo(f"and {findings.unlisted_findings} more problems")
    click.echo(
        f"{findings.records} records in {findings.files} files, {findings.duplicates} duplicates, "
        f"{findings.problems or 'no'} problems found"
    )
    if findings.problems:
        sys.exit(1)


@records.command("stats")
@PATHS_ARGUMENT
def stats(places: tuple[Path, ...]) -> None:
    """Print a line for each boot: its start, duration, whether its end is recorded, and counts by kind."""
    from snowthread.records.reader import Findings, merge_records

    for boot_id, boot in _summarize_boots(merge_records(places, Findings())):
        started = datetime.fromtimestamp(boot.first_at_ms / 1000.0, UTC).isoformat(timespec="seconds")
        seconds = (boot.last_at_ms - boot.first_at_ms) / 1000.0
        end = "ended normally" if boot.ended else "no end recorded"
        counts = ", ".join(f"{count} {kind}" for kind, count in sorted(boot.counts.items()))
        click.echo(f"{boot_id.node} {boot_id.boot}: from {started} for {seconds:.1f} s, {end}; {counts}")


@dataclass(slots=True)
class _BootSummary:
    """The first and last time of one boot in Unix milliseconds, and its number of records of each kind."""

    first_at_ms: float
    last_at_ms: float
    counts: Counter[str] = field(default_factory=Counter)

    @property
    def ended(self) -> bool:
        """Whether the boot has an ``end`` record."""
        return "end" in self.counts


def _summarize_boots(records: Iterable[Record]) -> list[tuple[BootId, _BootSummary]]:
    """Return a summary of each boot, sorted by first and last time."""
    boots: dict[BootId, _BootSummary] = {}
    for record in records:
        boot = boots.setdefault(record.boot_id, _BootSummary(record.at_ms, record.at_ms))
        boot.last_at_ms = max(boot.last_at_ms, record.at_ms)
        boot.counts[record.kind] += 1
    return sorted(boots.items(), key=lambda item: (item[1].first_at_ms, item[1].last_at_ms))


def _as_json(record: Record) -> bytes:
    import orjson

    head = {
        "node": record.node,
        "boot": record.boot,
        "number": record.number,
        "at": record.at_ms,
        "kind": record.kind,
    }
    return orjson.dumps(head | record.fields, option=orjson.OPT_NON_STR_KEYS)


def _as_text(record: Record) -> str:
    when = datetime.fromtimestamp(record.at_ms / 1000.0, UTC).isoformat(timespec="milliseconds")
    fields = " ".join(f"{name}={value}" for name, value in record.fields.items())
    return f"{when} {record.node} {record.kind} {fields}"
