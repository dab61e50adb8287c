"""Measurements: each is run by itself, with --seed and --short, and ends with one JSON object."""
