"""Serves as ``run`` in deploy/balancer.toml starts the program: without importing the command line."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

from snowthread import config, log
from snowthread.net.clock import Clock
from snowthread.node import BLOCKED_SIGNALS, Node

YOUNG_COLLECTION_THRESHOLD_OBJECTS = 10_000  # objects; high, because the node creates few reference cycles
MIDDLE_COLLECTION_THRESHOLD_RUNS = 20  # number of young collections per middle collection
OLD_COLLECTION_THRESHOLD_RUNS = 20  # number of middle collections per old collection


def main() -> int:
    """Serve and return the exit status; an invalid configuration prints one line."""
    try:
        serve(None)
    except config.ConfigError as error:
        print(f"snowthread: {error}", file=sys.stderr)
        return config.CONFIG_ERROR_STATUS
    return 0


def serve(operator_file: Path | None) -> None:
    """Serve with the configuration that the environment names, until the graceful shutdown ends.

    ``operator_file`` enables the optional features that it configures.

    Raises:
        config.ConfigError: a file is not valid, or the node cannot listen at an address.
    """
    # Blocked until the node handles them: the default handlers would kill the process with clients connected.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    log.set_up(os.environ)
    settings = config.load(os.environ)
    features = None
    if operator_file is not None:
        from snowthread.operator.features import Features

        features = Features.load(operator_file, settings)
    _tune_garbage_collector()
    try:
        node = Node(settings, Clock(), features)
    except OSError as error:
        address = error.filename or "{}:{}".format(*settings.listen)
        raise config.ConfigError(f"can't listen on {address}: {error.strerror}") from None
    node.serve()


def _tune_garbage_collector() -> None:
    """Exclude all objects loaded so far from garbage collection: scanning them stalls the event loop."""
    gc.freeze()
    gc.set_threshold(
        YOUNG_COLLECTION_THRESHOLD_OBJECTS, MIDDLE_COLLECTION_THRESHOLD_RUNS, OLD_COLLECTION_THRESHOLD_RUNS
    )
