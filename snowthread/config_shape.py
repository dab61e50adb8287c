"""Compares the keys of a configuration file with earlier ones: a file that lost a key may be truncated."""

from __future__ import annotations

from typing import Any

Shape = dict[str, Any]
"""The nested keys of a JSON value.

Of an object, each key with the shape of its value; of a list of objects, the keys that all of them have.
"""


def shape_of(value: object) -> Shape:
    """Return the nested keys of a JSON value."""
    if isinstance(value, dict):
        return {key: shape_of(inner) for key, inner in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        common = set.intersection(*(set(item) for item in value))
        return {key: shape_of(value[0][key]) for key in sorted(common)}
    return {}


def missing_key(value: object, shape: Shape, prefix: str = "") -> str | None:
    """Return the first key of ``shape`` that ``value`` lacks, after its enclosing keys, or None.

    A key with an empty value counts as present; values are checked elsewhere. ``prefix`` is the text with the
    enclosing keys of ``value``.
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
