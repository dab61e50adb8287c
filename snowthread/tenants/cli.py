"""``snowthread tenants``: look at the directory of tenants, or at its snapshot on disk.

The modules that read them are imported by the commands, so that ``snowthread --help`` stays fast.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from snowthread.tenants.inspection import InspectionResult

EXAMPLE_NODE_CONFIG = Path(__file__).parents[2] / "examples" / "node.json"

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


def _fetch(operator_file: Path, snapshot: Path | None) -> InspectionResult:
    """Read the tenants by the settings of an operator's file.

    Without NODE_CONFIG the configuration of the example is used: reading tenants needs no node.

    Raises:
        ConfigError: The file has no block of tenants.
    """
    from snowthread import config
    from snowthread.operator.features import Features
    from snowthread.tenants.inspection import fetch

    environment = dict(os.environ)
    if not environment.get("NODE_CONFIG"):
        environment["NODE_CONFIG"] = str(EXAMPLE_NODE_CONFIG)
    settings = Features.load(operator_file, config.load(environment)).tenants
    if settings is None:
        raise config.ConfigError(f"{operator_file}: it has no block 'tenants'")
    return fetch(settings, snapshot)


@click.group()
def tenants() -> None:
    """Look at the directory of tenants, or at its snapshot on disk."""


@tenants.command("show")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
def tenants_show(operator_file: Path, snapshot: Path | None) -> None:
    """List the tenants: status, quota, networks, balancers, classes."""
    from snowthread.tenants.inspection import format_tenants

    for line in format_tenants(_fetch(operator_file, snapshot)):
        click.echo(line)


@tenants.command("whois")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
@click.option("--balancer", type=int, default=None, help="The balancer's number, where it is believed.")
@click.argument("address")
def tenants_whois(operator_file: Path, snapshot: Path | None, balancer: int | None, address: str) -> None:
    """Say whose requests from ADDRESS are, and by which rule (status 1: nobody's)."""
    from snowthread.tenants.inspection import describe_owner

    owner = describe_owner(_fetch(operator_file, snapshot), address, balancer)
    click.echo(owner.text)
    if not owner.is_known:
        sys.exit(1)


@tenants.command("check")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
def tenants_check(operator_file: Path, snapshot: Path | None) -> None:
    """Say what in the directory can't be used or contradicts itself (status 1 where anything does)."""
    from snowthread.tenants.inspection import find_problems

    problems = find_problems(_fetch(operator_file, snapshot))
    for line in problems:
        click.echo(line)
    click.echo(f"{len(problems)} to put right" if problems else "all entries can be used")
    if problems:
        sys.exit(1)
