"""The command line. ``python -m snowthread`` without arguments serves without it (see ``serve.py``)."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path

import click

from snowthread import __version__, config
from snowthread.console.cli import console
from snowthread.demo import demo
from snowthread.incident.cli import report
from snowthread.lab.cli import lab
from snowthread.records.cli import records
from snowthread.recovery.cli import warm
from snowthread.tenants.cli import tenants

INTERRUPTED_STATUS = 130
"""Exit status after a keyboard interrupt, by the convention of shells."""

operator_file_option = click.option(
    "--with",
    "operator_file",
    metavar="FILE",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The operator's file (HCL), with one block per feature; see deploy/tenants.hcl.",
)


@click.group(
    invoke_without_command=True,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="NODE_CONFIG names the node's configuration (JSON, see examples/node.json); NODE_LOG is "
    "the lowest level logged; NODE_LOG_FORMAT=json logs one JSON object per line.",
)
@click.version_option(__version__, prog_name="snowthread")
@click.pass_context
def cli(context: click.Context) -> None:
    """snowthread: a formula node.

    It reads requests from balancers, runs, queues or rejects each one, and answers it exactly once. Without a
    command, it serves.
    """
    if context.invoked_subcommand is None:
        context.invoke(serve)


@cli.command()
@operator_file_option
def serve(operator_file: Path | None) -> None:
    """Serve until SIGTERM, answer the requests that were read, and exit. SIGHUP reloads the files."""
    from snowthread.serve import serve as serve_node

    serve_node(operator_file)


@cli.command()
@operator_file_option
def check(operator_file: Path | None) -> None:
    """Check the configuration, and exit with status 2 if it is not valid."""
    settings = config.load(os.environ)
    if operator_file is not None:
        from snowthread.operator.features import Features

        for line in Features.load(operator_file, settings).summary_lines():
            click.echo(line)
    click.echo(
        f"{settings.name}: listens on {settings.listen.host}:{settings.listen.port}, "
        f"{len(settings.settings.classes)} classes, {settings.settings.cores} cores"
    )


@cli.command()
def version() -> None:
    """Print the version."""
    click.echo(f"snowthread {__version__}")


cli.add_command(console)
cli.add_command(demo)
cli.add_command(lab)
cli.add_command(records)
cli.add_command(report)
cli.add_command(tenants)
cli.add_command(warm)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status; a usage or configuration error prints one line."""
    try:
        status = cli.main(
            args=None if arguments is None else list(arguments), prog_name="snowthread", standalone_mode=False
        )
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return INTERRUPTED_STATUS
    except config.ConfigError as error:
        print(f"snowthread: {error}", file=sys.stderr)
        return config.CONFIG_ERROR_STATUS
    return status if isinstance(status, int) else 0
