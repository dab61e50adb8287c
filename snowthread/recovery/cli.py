"""``snowthread warm``: the state folder of a node that recovers, for operators."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from snowthread.recovery.key_log import KeyLogContents
    from snowthread.recovery.snapshot import Snapshot

MS_PER_S = 1000.0
FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


@click.group()
def warm() -> None:
    """Show or prepare the state that a node stores for its recovery (block ``comeback``)."""


@warm.command()
@FOLDER
def init(folder: Path) -> None:
    """State that no earlier incarnation of this node ran keyed requests: for a new machine, and only then."""
    _create_key_log(folder)
    click.echo(f"{folder}: an empty ring of keys; the node's first start trusts it")


def _create_key_log(folder: Path) -> None:
    from snowthread.config import ConfigError
    from snowthread.recovery import storage

    if storage.read_state_file(folder, storage.KEY_LOG_FILE):
        raise ConfigError(f"{folder}: has a ring of keys; where it is torn the node has to be blind")
    error = storage.create_key_log(folder)
    if error is not None:
        raise ConfigError(f"{folder}: {error}")


@warm.command()
@FOLDER
@click.option("--fresh-for", default=60.0, show_default=True, help="Seconds for which a snapshot is trusted.")
def show(folder: Path, fresh_for: float) -> None:
    """Show what a start now would find."""
    from snowthread.recovery import storage
    from snowthread.recovery.snapshot import decode_snapshot
    from snowthread.recovery.snapshot_assessment import assess_snapshot

    now_ms = time.time() * MS_PER_S
    data = storage.read_state_file(folder)
    snapshot = decode_snapshot(data).snapshot
    generation = snapshot.generation if snapshot is not None else 0
    assessment = assess_snapshot(data, generation=generation, now_ms=now_ms, max_age_ms=fresh_for * MS_PER_S)
    click.echo(f"incarnation {storage.read_incarnation(folder)}")
    click.echo(f"snapshot: {_with_reason(assessment.status.value, assessment.reason)}")
    if snapshot is not None:
        _show_snapshot(snapshot, now_ms)
    _show_key_log(storage.read_key_log(folder), now_ms)


def _with_reason(status: str, reason: str) -> str:
    return f"{status}: {reason}" if reason else status


def _show_snapshot(snapshot: Snapshot, now_ms: float) -> None:
    learned = snapshot.learned
    age_s = (now_ms - snapshot.written_at_ms) / MS_PER_S
    click.echo(
        f"  generation {snapshot.generation}, written {age_s:.1f} s ago, "
        f"{learned.requests_per_s:.1f} requests a second"
    )
    for name, core_time_s in learned.core_time_s.items():
        click.echo(
            f"  {name}: {core_time_s * MS_PER_S:.0f} ms on a core, "
            f"{learned.run_time_s.get(name, 0.0) * MS_PER_S:.0f} ms in all, "
            f"{learned.call_time_s.get(name, 0.0) * MS_PER_S:.0f} ms a call"
        )


def _show_key_log(contents: KeyLogContents, now_ms: float) -> None:
    open_windows = sum(until_ms > now_ms for until_ms in contents.keys.values())
    blind_s = (contents.all_indeterminate_until_ms - now_ms) / MS_PER_S
    blind = f", blind for {blind_s:.1f} s" if blind_s > 0.0 else ""
    click.echo(
        f"ring of keys: {_with_reason(contents.status.value, contents.reason)}; "
        f"{open_windows} with an open window{blind}"
    )
