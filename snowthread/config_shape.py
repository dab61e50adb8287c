"""Which keys a configuration file has: one that lacks a key it had before may be truncated."""

from __future__ import annotations

from typing import Any

Shape = dict[str, Any]
"""The keys of an object, each with the shape of its value; of a list of objects, the keys that all have."""


def shape_of(value: object) -> Shape:
    """Return the keys in a value, however deep."""
    if isinstance(value, dict):
        return {key: shape_of(inner) for key, inner in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        common = set.intersection(*(set(item) for item in value))
        return {key: shape_of(value[0][key]) for key in sorted(common)}
    return {}


def missing_key(value: object, shape: Shape, prefix: str = "") -> str | None:
    """Return the first key of the shape that the value lacks, with the keys round it, or None.

    A key with an empty value is not missing: what it may contain is checked elsewhere.
    """
    if isinstance(value, list):
        return next(filter(None, (missing_key(item, shape, prefix) for item in value)), None)
    if not isinstance(value, dict):
        return None
    for key, inner_shape in shape.items():
        if key not in value:
            return prefix + key
        found = missing_key(value[key], inner_shape, f"{prefix}{key}: ")
        if found is not None:
            return found
    return None
