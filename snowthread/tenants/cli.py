"""``snowthread tenants``: look at the directory of tenants, or at its snapshot on disk."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group()
def tenants() -> None:
    """Look at the directory of tenants, or at its snapshot on disk."""


SOURCE = click.option(
    "--snapshot",
    "snapshot",
    metavar="FILE",
    type=click.Path(path_type=Path),
    default=None,
    help="Read this snapshot instead of asking the directory.",
)
NEEDED = click.option(
    "--with",
    "operator_file",
    metavar="FILE",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The operator's file with the block 'tenants'.",
)


@tenants.command("show")
@NEEDED
@SOURCE
def tenants_show(operator_file: Path, snapshot: Path | None) -> None:
    """List the tenants: status, quota, networks, balancers, classes."""
    from snowthread.tenants.inspection import fetch, format_tenants

    for line in format_tenants(fetch(operator_file, snapshot)):
        click.echo(line)


@tenants.command("whois")
@NEEDED
@SOURCE
@click.option("--balancer", type=int, default=None, help="The balancer's number, where it is believed.")
@click.argument("address")
def tenants_whois(operator_file: Path, snapshot: Path | None, balancer: int | None, address: str) -> None:
    """Say whose requests from ADDRESS are, and by which rule (status 1: nobody's)."""
    from snowthread.tenants.inspection import fetch, describe_owner

    known, line = describe_owner(fetch(operator_file, snapshot), address, balancer)
    click.echo(line)
    if not known:
        sys.exit(1)


@tenants.command("check")
@NEEDED
@SOURCE
def tenants_check(operator_file: Path, snapshot: Path | None) -> None:
    """Say what in the directory can't be used or contradicts itself (status 1 where anything does)."""
    from snowthread.tenants.inspection import find_problems as look
    from snowthread.tenants.inspection import fetch

    faults = look(fetch(operator_file, snapshot))
    for line in faults:
        click.echo(line)
    click.echo(f"{len(faults)} to put right" if faults else "all entries can be used")
    if faults:
        sys.exit(1)
