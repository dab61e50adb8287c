"""``snowthread warm``: commands for operators on the state folder that a node uses for recovery."""

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
    """Show or initialize the recovery state that a node stores on disk (block ``comeback``)."""


@warm.command()
@FOLDER
def init(folder: Path) -> None:
    """Create an empty key log, which states that this node has never run a request with an idempotency key.

    Use it for a new machine only: on any other machine a keyed request could run twice.
    """
    _create_key_log(folder)
    click.echo(f"{folder}: created an empty key log; the node will trust it when it starts")


def _create_key_log(folder: Path) -> None:
    from snowthread.config import ConfigError
    from snowthread.recovery import storage

    if storage.read_state_file(folder, storage.KEY_LOG_FILE):
        raise ConfigError(
            f"{folder}: a key log exists; even a corrupt one is kept, so that no keyed request runs twice"
        )
    error = storage.create_key_log(folder)
    if error is not None:
        raise ConfigError(f"{folder}: {error}")


@warm.command()
@FOLDER
@click.option("--fresh-for", default=60.0, show_default=True, help="Seconds for which a snapshot is trusted.")
def show(folder: Path, fresh_for: float) -> None:
    """Show the state that a node started now would find, and whether it would use it.

    The snapshot's generation is not compared with the fleet's, which only the registry knows. So a snapshot
    that is fresh here may still be of an older generation for the node.
    """
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
        f"{learned.requests_per_s:.1f} requests/s"
    )
    for name, core_time_s in learned.core_time_s.items():
        click.echo(
            f"  {name}: {core_time_s * MS_PER_S:.0f} ms of core time per run, "
            f"{learned.run_time_s.get(name, 0.0) * MS_PER_S:.0f} ms per run with its calls, "
            f"{learned.call_time_s.get(name, 0.0) * MS_PER_S:.0f} ms per call"
        )


def _show_key_log(contents: KeyLogContents, now_ms: float) -> None:
    open_windows = sum(window_end_ms > now_ms for window_end_ms in contents.keys.values())
    all_indeterminate_s = (contents.all_indeterminate_until_ms - now_ms) / MS_PER_S
    indeterminate = (
        f"; all keys indeterminate for {all_indeterminate_s:.1f} s" if all_indeterminate_s > 0.0 else ""
    )
    click.echo(
        f"key log: {_with_reason(contents.status.value, contents.reason)}; "
        f"{open_windows} keys with an open window{indeterminate}"
    )
