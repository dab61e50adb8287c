"""The command line that benchmarks with a seed, a short form and targets share."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any

Figures = dict[str, Any]


def run_benchmark(
    description: str | None,
    first_seed: int,
    measure: Callable[[int, bool], Figures],
    missed_targets: Callable[[Figures], list[str]],
    short_help: str = "ends within 45 s",
) -> int:
    """Measure, print every figure to standard error and all as one JSON object; return 1 for a missed target.

    ``measure`` takes the seed and whether the short form is wanted; ``short_help`` describes that form.
    """
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=first_seed)
    parser.add_argument("--short", action="store_true", help=short_help)
    options = parser.parse_args()
    figures = measure(options.seed, options.short)
    figures["missed"] = missed_targets(figures)
    for name, value in figures.items():
        print(f"{name}: {value}", file=sys.stderr)
    print(json.dumps(figures))
    return 1 if figures["missed"] else 0
