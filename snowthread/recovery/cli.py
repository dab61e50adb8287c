"""``snowthread warm``: the state folder of a node that comes back, for operators."""

from __future__ import annotations

import time
from pathlib import Path

import click

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


@click.group()
def warm() -> None:
    """The state that a node keeps for coming back (block ``comeback``)."""


@warm.command()
@FOLDER
def init(folder: Path) -> None:
    """Say that no earlier life of this node ran keyed requests: for a new machine, and only then."""
    from snowthread.config import ConfigError
    from snowthread.recovery import storage

    if storage.read(folder, storage.KEY_LOG_FILE):
        raise ConfigError(f"{folder}: has a ring of keys; where it is torn the node has to be blind")
    failed = storage.init(folder)
    if failed is not None:
        raise ConfigError(f"{folder}: {failed}")
    click.echo(f"{folder}: an empty ring of keys; the node's first start trusts it")


@warm.command()
@FOLDER
@click.option("--fresh-for", default=60.0, show_default=True, help="Seconds for which a snapshot is trusted.")
def show(folder: Path, fresh_for: float) -> None:
    """What a start now would find."""
    from snowthread.recovery import key_log, storage
    from snowthread.recovery.snapshot import assess, decode

    now = time.time() * 1000.0
    data = storage.read(folder)
    snapshot = decode(data)[2]
    generation = snapshot.generation if snapshot is not None else 0
    judged = assess(data, generation=generation, now_ms=now, fresh_for_ms=fresh_for * 1000.0)
    click.echo(f"incarnation {storage.read_incarnation(folder)}")
    click.echo(f"snapshot: {judged.verdict.value}{': ' if judged.reason else ''}{judged.reason}")
    if snapshot is not None:
        age_s = (now - snapshot.written_ms) / 1000.0
        click.echo(
            f"  generation {snapshot.generation}, written {age_s:.1f} s ago, "
            f"{snapshot.learned.read_per_s:.1f} requests a second"
        )
        for name, core in snapshot.learned.core_time_s.items():
            click.echo(
                f"  {name}: {core * 1000.0:.0f} ms on a core, "
                f"{snapshot.learned.run_time_s.get(name, 0.0) * 1000.0:.0f} ms in all, "
                f"{snapshot.learned.call_time_s.get(name, 0.0) * 1000.0:.0f} ms a call"
            )
    found = key_log.read_key_log(
        storage.read(folder, storage.KEY_LOG_FILE, key_log.key_log_size(key_log.SLOTS_MAX))
    )
    left = sum(until > now for until in found.keys.values())
    blind = f", blind for {(found.any_until_ms - now) / 1000.0:.1f} s" if found.any_until_ms > now else ""
    click.echo(
        f"ring of keys: {found.verdict.value}{': ' if found.reason else ''}{found.reason}; "
        f"{left} with an open window{blind}"
    )
