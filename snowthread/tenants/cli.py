"""``snowthread tenants``: look at the directory of tenants, or at its snapshot on disk.

The modules that read them are imported by the commands, so that ``snowthread --help`` stays fast.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

SNAPSHOT_OPTION = click.option(
    "--snapshot",
    "snapshot",
    metavar="FILE",
    type=click.Path(path_type=Path),
    default=None,
    help="Read this snapshot instead of asking the directory.",
)
OPERATOR_FILE_OPTION = click.option(
    "--with",
    "operator_file",
    metavar="FILE",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The operator's file with the block 'tenants'.",
)


@click.group()
def tenants() -> None:
    """Look at the directory of tenants, or at its snapshot on disk."""


@tenants.command("show")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
def tenants_show(operator_file: Path, snapshot: Path | None) -> None:
    """List the tenants: status, quota, networks, balancers, classes."""
    from snowthread.tenants.inspection import fetch, format_tenants

    for line in format_tenants(fetch(operator_file, snapshot)):
        click.echo(line)


@tenants.command("whois")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
@click.option("--balancer", type=int, default=None, help="The balancer's number, where it is believed.")
@click.argument("address")
def tenants_whois(operator_file: Path, snapshot: Path | None, balancer: int | None, address: str) -> None:
    """Say whose requests from ADDRESS are, and by which rule (status 1: nobody's)."""
    from snowthread.tenants.inspection import describe_owner, fetch

    owner = describe_owner(fetch(operator_file, snapshot), address, balancer)
    click.echo(owner.text)
    if not owner.is_known:
        sys.exit(1)


@tenants.command("check")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
def tenants_check(operator_file: Path, snapshot: Path | None) -> None:
    """Say what in the directory can't be used or contradicts itself (status 1 where anything does)."""
    from snowthread.tenants.inspection import fetch, find_problems

    problems = find_problems(fetch(operator_file, snapshot))
    for line in problems:
        click.echo(line)
    click.echo(f"{len(problems)} to put right" if problems else "all entries can be used")
    if problems:
        sys.exit(1)
