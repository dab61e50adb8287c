"""Serving, as ``run`` in deploy/balancer.toml starts it: no command line is loaded for it."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

from snowthread import config, log
from snowthread.net.clock import Clock
from snowthread.node import BLOCKED_SIGNALS, Node

COLLECT_AFTER = 10_000  # objects made between two rounds of the collector: the node makes few cycles


def main() -> int:
    """Serve; a configuration that can't be used ends it with status 2 and one line."""
    try:
        serve(None)
    except config.ConfigError as error:
        print(f"snowthread: {error}", file=sys.stderr)
        return 2
    return 0


def serve(operator_file: Path | None) -> None:
    """Serve as the environment says, with the features of an operator's file where one is named."""
    # Held back until the node listens for them: they would end the program, some with clients at its door.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    log.set_up(os.environ)
    settings = config.load(os.environ)
    features = None
    if operator_file is not None:
        from snowthread.operator.features import Features

        features = Features.load(operator_file, settings)
    # What is loaded by now stays: looked through at each of the collector's rounds it cost a stall each.
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 20, 20)
    try:
        node = Node(settings, Clock(), features)
    except OSError as error:
        place = error.filename or "{}:{}".format(*settings.listen)
        raise config.ConfigError(f"can't listen on {place}: {error.strerror}") from None
    node.serve()
