"""The command ``snowthread records``: show as text what nodes have recorded."""

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

PLACES = click.argument("places", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))


@click.group()
def records() -> None:
    """Read the records that nodes have written: any number of files and folders, also cut or spoilt ones."""


@records.command("cat")
@PLACES
@click.option("--kind", multiple=True, help="Only records of this kind; may be given again.")
@click.option("--node", multiple=True, help="Only this node's records; may be given again.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def cat(places: tuple[Path, ...], kind: tuple[str, ...], node: tuple[str, ...], as_json: bool) -> None:
    """Print records in the order of time."""
    from snowthread.records.reader import Findings, merge_records

    for record in merge_records(places, Findings()):
        if (kind and record.kind not in kind) or (node and record.node not in node):
            continue
        click.echo(_as_json(record) if as_json else _as_text(record))


@records.command("verify")
@PLACES
def verify(places: tuple[Path, ...]) -> None:
    """Say what is missing or spoilt (status 1 where anything is)."""
    from snowthread.records.reader import Findings, merge_records

    findings = Findings()
    for _ in merge_records(places, findings):
        pass
    for line in findings.unreadable:
        click.echo(line)
    for corrupt in findings.corrupt_frames:
        frame = corrupt.frame
        click.echo(f"{corrupt.path}: {frame.size} bytes from {frame.offset}: {frame.reason}")
    for gap in findings.gaps:
        click.echo(f"{gap.node} {gap.boot}: {gap.count} records missing after number {gap.last_number}")
    if findings.findings_left_out:
        click.echo(f"and {findings.findings_left_out} more")
    click.echo(
        f"{findings.records} records in {findings.files} files, {findings.duplicates} copies, "
        f"{findings.problems or 'nothing'} wrong"
    )
    if findings.problems:
        sys.exit(1)


@records.command("stats")
@PLACES
def stats(places: tuple[Path, ...]) -> None:
    """Say what is there: each node's boots, when, how they ended, and how many records of each kind."""
    from snowthread.records.reader import Findings, merge_records

    for boot_id, boot in _summarize_boots(merge_records(places, Findings())):
        started = datetime.fromtimestamp(boot.first_at / 1000.0, UTC).isoformat(timespec="seconds")
        seconds = (boot.last_at - boot.first_at) / 1000.0
        how = "left" if boot.ended else "no end is recorded"
        counts = ", ".join(f"{count} {kind}" for kind, count in sorted(boot.kinds.items()))
        click.echo(f"{boot_id.node} {boot_id.boot}: from {started} for {seconds:.1f} s, {how}; {counts}")


@dataclass(slots=True)
class _BootSummary:
    """The records of one boot; times in Unix milliseconds."""

    first_at: float
    last_at: float
    kinds: Counter[str] = field(default_factory=Counter)

    @property
    def ended(self) -> bool:
        """Whether the end of the boot is recorded."""
        return "end" in self.kinds


def _summarize_boots(stream: Iterable[Record]) -> list[tuple[BootId, _BootSummary]]:
    """Return a summary of each boot, by its first and last time."""
    boots: dict[BootId, _BootSummary] = {}
    for record in stream:
        boot = boots.setdefault(record.boot_id, _BootSummary(record.at_ms, record.at_ms))
        boot.last_at = max(boot.last_at, record.at_ms)
        boot.kinds[record.kind] += 1
    return sorted(boots.items(), key=lambda item: (item[1].first_at, item[1].last_at))


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
