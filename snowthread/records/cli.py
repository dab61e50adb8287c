"""``snowthread records``: what nodes left behind, as text."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path

import click

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
    import orjson

    from snowthread.records.reader import Findings, merge

    for record in merge(places, Findings()):
        if (kind and record.kind not in kind) or (node and record.node not in node):
            continue
        if as_json:
            click.echo(
                orjson.dumps(
                    {
                        "node": record.node,
                        "boot": record.boot,
                        "number": record.number,
                        "at": record.at,
                        "kind": record.kind,
                        **record.fields,
                    },
                    option=orjson.OPT_NON_STR_KEYS,
                )
            )
        else:
            when = datetime.fromtimestamp(record.at / 1000.0, UTC).isoformat(timespec="milliseconds")
            words = " ".join(f"{k}={v}" for k, v in record.fields.items())
            click.echo(f"{when} {record.node} {record.kind} {words}")


@records.command("verify")
@PLACES
def verify(places: tuple[Path, ...]) -> None:
    """Say what is missing or spoilt (status 1 where anything is)."""
    from snowthread.records.reader import Findings, merge

    findings = Findings()
    for _ in merge(places, findings):
        pass
    for line in findings.unreadable:
        click.echo(line)
    for spoilt in findings.spoilt:
        click.echo(
            f"{spoilt.path}: {spoilt.frame.size} bytes from {spoilt.frame.offset}: {spoilt.frame.reason}"
        )
    for hole in findings.holes:
        click.echo(f"{hole.node} {hole.boot}: {hole.count} records missing after number {hole.after}")
    if findings.more:
        click.echo(f"and {findings.more} more")
    wrong = len(findings.unreadable) + len(findings.spoilt) + len(findings.holes) + findings.more
    click.echo(
        f"{findings.records} records in {findings.files} files, {findings.copies} copies, "
        f"{wrong or 'nothing'} wrong"
    )
    if wrong:
        sys.exit(1)


@records.command("stats")
@PLACES
def stats(places: tuple[Path, ...]) -> None:
    """Say what is there: each node's boots, when, how they ended, and how many records of each kind."""
    from collections import Counter

    from snowthread.records.reader import Findings, merge

    boots: dict[tuple[str, str], list[float]] = {}
    kinds: dict[tuple[str, str], Counter[str]] = {}
    ended: set[tuple[str, str]] = set()
    for record in merge(places, Findings()):
        boot = record.node, record.boot
        span = boots.setdefault(boot, [record.at, record.at])
        span[1] = max(span[1], record.at)
        kinds.setdefault(boot, Counter())[record.kind] += 1
        if record.kind == "end":
            ended.add(boot)
    for boot, (first, last) in sorted(boots.items(), key=lambda item: item[1]):
        when = datetime.fromtimestamp(first / 1000.0, UTC).isoformat(timespec="seconds")
        counts = ", ".join(f"{n} {kind}" for kind, n in sorted(kinds[boot].items()))
        how = "left" if boot in ended else "no end is recorded"
        click.echo(f"{boot[0]} {boot[1]}: from {when} for {(last - first) / 1000.0:.1f} s, {how}; {counts}")
