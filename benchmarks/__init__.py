"""Benchmarks: programs with the options ``--seed`` and ``--short`` whose last line of output is JSON."""
