"""The command ``snowthread tenants``: inspect the tenant directory or a snapshot file.

Each command imports the modules that it needs when it runs, so that ``snowthread --help`` stays fast.
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
    help="Read this snapshot file instead of querying the directory.",
)
OPERATOR_FILE_OPTION = click.option(
    "--with",
    "operator_file",
    metavar="FILE",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The operator's file that contains the block 'tenants'.",
)


def _read_tenants(operator_file: Path, snapshot: Path | None) -> InspectionResult:
    """Read the tenants from the snapshot, or from the directory that the operator's file configures.

    The example node configuration is used if NODE_CONFIG is not set, since reading tenants needs no node.

    Raises:
        ConfigError: The operator's file has no block ``tenants``.
    """
    from snowthread import config
    from snowthread.operator.features import Features
    from snowthread.tenants.inspection import read_tenants

    environment = dict(os.environ)
    if not environment.get("NODE_CONFIG"):
        environment["NODE_CONFIG"] = str(EXAMPLE_NODE_CONFIG)
    settings = Features.load(operator_file, config.load(environment)).tenants
    if settings is None:
        raise config.ConfigError(f"{operator_file}: the block 'tenants' is missing")
    return read_tenants(settings, snapshot)


@click.group()
def tenants() -> None:
    """Inspect the tenant directory or a snapshot file."""


@tenants.command("show")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
def tenants_show(operator_file: Path, snapshot: Path | None) -> None:
    """List all tenants with their status, quota, networks, balancer numbers and classes."""
    from snowthread.tenants.inspection import format_tenants

    for line in format_tenants(_read_tenants(operator_file, snapshot)):
        click.echo(line)


@tenants.command("whois")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
@click.option(
    "--balancer",
    type=int,
    default=None,
    help="The balancer number in the request, used only if the network of ADDRESS is trusted.",
)
@click.argument("address")
def tenants_whois(operator_file: Path, snapshot: Path | None, balancer: int | None, address: str) -> None:
    """Show which tenant owns requests from ADDRESS, and by which rule (exit status 1 if none does)."""
    from snowthread.tenants.inspection import describe_owner

    owner = describe_owner(_read_tenants(operator_file, snapshot), address, balancer)
    click.echo(owner.text)
    if not owner.is_known:
        sys.exit(1)


@tenants.command("check")
@OPERATOR_FILE_OPTION
@SNAPSHOT_OPTION
def tenants_check(operator_file: Path, snapshot: Path | None) -> None:
    """List invalid and conflicting entries in the directory (exit status 1 if there are any)."""
    from snowthread.tenants.inspection import find_problems

    problems = find_problems(_read_tenants(operator_file, snapshot))
    for line in problems:
        click.echo(line)
    click.echo(f"{len(problems)} problems found" if problems else "no problems found")
    if problems:
        sys.exit(1)
