"""The command ``snowthread report``: write the incident report of a fleet."""

from __future__ import annotations

from pathlib import Path

import click


@click.command()
@click.argument("places", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option(
    "-o",
    "--output",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The HTML file to write; a JSON file with the same name is written next to it.",
)
def report(places: tuple[Path, ...], output: Path) -> None:
    """Reconstruct incidents from records of nodes (files and folders); write an HTML and a JSON report."""
    from snowthread.incident.report import Report

    click.echo("Reading records...", err=True)
    result = Report(places, lambda count: click.echo(f"{count} records read...", err=True))
    output.write_text(result.html(), encoding="utf-8")
    json_output = output.with_suffix(".json")
    json_output.write_bytes(result.json())
    for sentence in result.timeline.sentences:
        click.echo(sentence.text)
    if not result.timeline.sentences:
        click.echo("The records show no incidents.")
    click.echo(f"Wrote {output} and {json_output}.", err=True)
