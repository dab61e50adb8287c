"""Benchmarks: each is a program with ``--seed`` and ``--short`` whose last line is one JSON object."""
