"""The command line."""

from __future__ import annotations

import argparse
import gc
import os
import signal
import sys
from collections.abc import Sequence

from loguru import logger

from snowthread import __version__, config
from snowthread.net.clock import Clock
from snowthread.node import Node

COLLECT_AFTER = 10_000  # objects made between two rounds of the collector: the node makes few cycles


def main(arguments: Sequence[str] | None = None) -> int:
    """Entry point; without a sub-command it serves."""
    parser = argparse.ArgumentParser(prog="snowthread", description="A formula node on real sockets.")
    parser.set_defaults(run=serve)
    commands = parser.add_subparsers(metavar="COMMAND")
    for name, run, text in (("serve", serve, "serve until SIGTERM (the default)"),
                            ("check", check, "read the configuration, say whether it can be used, and exit"),
                            ("version", version, "print the version")):
        commands.add_parser(name, help=text, description=text).set_defaults(run=run)
    try:
        code: int = parser.parse_args(arguments).run()
    except config.ConfigError as error:
        print(f"snowthread: {error}", file=sys.stderr)
        return 2
    return code


def serve() -> int:
    """Serve as the environment says."""
    # Held back until the node listens for it: it would end the program, and one ignored would be lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    logger.remove()
    logger.add(sys.stderr, level=os.environ.get("NODE_LOG", "INFO"), backtrace=False, diagnose=False,
               format="{time:HH:mm:ss.SSS} {level} {message}")
    settings = config.load(os.environ)
    # What is loaded by now stays: looked through at each of the collector's rounds it cost a stall each.
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 20, 20)
    try:
        node = Node(settings, Clock())
    except OSError as error:
        host, port = settings.listen
        raise config.ConfigError(f"can't listen on {host}:{port}: {error.strerror}") from None
    node.serve()
    return 0


def check() -> int:
    """Say whether the configuration can be used."""
    settings = config.load(os.environ)
    print(f"{settings.name}: listens on {settings.listen.host}:{settings.listen.port}, "
          f"{len(settings.settings.classes)} classes, {settings.settings.cores} cores")
    return 0


def version() -> int:
    """Print the version."""
    print(f"snowthread {__version__}")
    return 0
