"""Serving, as ``run`` in deploy/balancer.toml starts it: without the command line's modules."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

from snowthread import config, log
from snowthread.net.clock import Clock
from snowthread.node import BLOCKED_SIGNALS, Node

YOUNG_COLLECTION_THRESHOLD_OBJECTS = 10_000  # high, as the node makes few reference cycles
MIDDLE_COLLECTION_THRESHOLD_RUNS = 20  # collections of the generation below
OLD_COLLECTION_THRESHOLD_RUNS = 20


def main() -> int:
    """Serve and return the exit status; a configuration that can't be used ends with one line."""
    try:
        serve(None)
    except config.ConfigError as error:
        print(f"snowthread: {error}", file=sys.stderr)
        return config.CONFIG_ERROR_STATUS
    return 0


def serve(operator_file: Path | None) -> None:
    """Serve as the environment says, with the features of an operator's file where one is named.

    Raises:
        config.ConfigError: a file can't be used, or an address where the node should listen.
    """
    # Blocked until the node listens for them: their defaults would end the program with clients connected.
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
    """Exclude what is loaded by now from collections: scanning it stalls the event loop."""
    gc.freeze()
    gc.set_threshold(
        YOUNG_COLLECTION_THRESHOLD_OBJECTS, MIDDLE_COLLECTION_THRESHOLD_RUNS, OLD_COLLECTION_THRESHOLD_RUNS
    )
