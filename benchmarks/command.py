"""The command line of benchmarks that have a seed, a short form and targets."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any

Figures = dict[str, Any]


def run_benchmark(
    description: str | None,
    default_seed: int,
    measure: Callable[[int, bool], Figures],
    missed_targets: Callable[[Figures], list[str]],
    short_help: str = "ends within 45 s",
) -> int:
    """Run a benchmark from the command line and return the exit status, which is 1 if a target is missed.

    Each figure is printed to standard error, and all of them to standard output as one JSON object.

    Args:
        description: Description for ``--help``.
        default_seed: Seed without the option ``--seed``.
        measure: Function that takes the seed and whether to run the short form, and returns the figures.
        missed_targets: Function that takes the figures and returns the names of the targets that they miss.
        short_help: Description of the short form for ``--help``.
    """
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=default_seed)
    parser.add_argument("--short", action="store_true", help=short_help)
    options = parser.parse_args()
    figures = measure(options.seed, options.short)
    figures["missed"] = missed_targets(figures)
    for name, value in figures.items():
        print(f"{name}: {value}", file=sys.stderr)
    print(json.dumps(figures))
    return 1 if figures["missed"] else 0
