"""The command ``snowthread report``: what happened, as one HTML file."""

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
    help="The HTML file to write; a JSON file is written beside it.",
)
def report(places: tuple[Path, ...], output: Path) -> None:
    """Tell from nodes' records (files and folders) what happened, in one HTML file and a JSON beside it."""
    from snowthread.incident.report import Report

    click.echo("reading the records...", err=True)
    result = Report(places, lambda count: click.echo(f"{count} records...", err=True))
    output.write_text(result.html(), encoding="utf-8")
    json_output = output.with_suffix(".json")
    json_output.write_bytes(result.json())
    for sentence in result.timeline.sentences:
        click.echo(sentence.text)
    if not result.timeline.sentences:
        click.echo("Nothing out of the ordinary is in these records.")
    click.echo(f"{output} and {json_output}", err=True)
