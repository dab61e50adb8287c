"""Configuration files with missing or invalid values are rejected as a whole, and the node is not changed."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import orjson
import pytest
from support.exchange import EXAMPLE, ExchangePlayer

from snowthread.config import Config, ConfigError, load
from snowthread.config_shape import missing_key, shape_of
from snowthread.reload import reload


def load_fields(path: Path, fields: object, previous: Config | None = None) -> Config:
    """Write a configuration file with these fields, or with these raw bytes, and load it."""
    path.write_bytes(fields if isinstance(fields, bytes) else orjson.dumps(fields))
    return load({"NODE_CONFIG": str(path)}, previous)


def key_paths(value: object, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of every key in the fields of a configuration file."""
    found: list[tuple[Any, ...]] = []
    if isinstance(value, dict):
        for key, inner in value.items():
            found += [(*path, key), *key_paths(inner, (*path, key))]
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            found += key_paths(inner, (*path, index))
    return found


@pytest.fixture
def example() -> dict[str, Any]:
    """Return the fields of the example configuration."""
    fields: dict[str, Any] = json.loads(EXAMPLE.read_bytes())
    return fields


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "node.json"


def test_a_file_that_lacks_any_key_is_rejected(path: Path, example: dict[str, Any]) -> None:
    old = load_fields(path, example)
    assert load_fields(path, example, old) == old
    common = set.intersection(*(set(c) for c in example["settings"]["classes"]))
    required = [
        key_path
        for key_path in key_paths(example)
        if "classes" not in key_path[:-1] or key_path[-1] in common
    ]
    assert len(required) > 30
    for *parents, key in required:
        fields = copy.deepcopy(example)
        inner: Any = fields
        for parent in parents:
            inner = inner[parent]
        del inner[key]
        with pytest.raises(ConfigError, match=str(key)):
            load_fields(path, fields, old)


def test_a_file_that_is_empty_or_cut_short_at_any_byte_is_rejected(path: Path) -> None:
    complete = EXAMPLE.read_bytes().rstrip()
    assert len(complete) > 1000 and load_fields(path, complete)
    for length in range(len(complete)):
        with pytest.raises(ConfigError, match="not JSON"):
            load_fields(path, complete[:length])


@pytest.mark.parametrize("value", [0, -5, "5", "", None, True, [], {}, b"1e999", b"NaN"])
@pytest.mark.parametrize("key", ["deadline_s", "goal_time_s"])
def test_a_time_that_is_not_a_positive_number_is_rejected(
    path: Path, example: dict[str, Any], key: str, value: Any
) -> None:
    literal = value if isinstance(value, bytes) else orjson.dumps(value)
    example["settings"]["classes"][-1][key] = "HERE"
    with pytest.raises(ConfigError):
        load_fields(path, orjson.dumps(example).replace(b'"HERE"', literal))


@pytest.mark.parametrize("classes", [5, "x", [5], {"a": 1}, [{"name": "m"}], "twice"])
def test_malformed_classes_are_rejected(path: Path, example: dict[str, Any], classes: Any) -> None:
    twice = example["settings"]["classes"][:1] * 2
    example["settings"]["classes"] = twice if classes == "twice" else classes
    with pytest.raises(ConfigError, match="settings"):
        load_fields(path, example)


def test_a_new_class_may_lack_keys_that_only_some_classes_have() -> None:
    shape = shape_of({"classes": [{"name": "a", "window_s": 1.0}, {"name": "b"}], "empty": [], "null": None})
    assert missing_key({"classes": [{"name": "c"}], "empty": [], "null": 1}, shape) is None
    assert missing_key({"classes": [{}], "empty": [], "null": 1}, shape) == "classes: name"
    assert missing_key({"classes": [], "null": 1}, shape) == "empty"


def test_nothing_of_a_rejected_file_is_applied(
    path: Path, example: dict[str, Any], player: ExchangePlayer
) -> None:
    node = player.node
    environment = {"NODE_CONFIG": str(path)}
    previous = load_fields(path, example)
    node.config = previous
    bad = copy.deepcopy(example) | {"runtime": "127.0.0.1:9"}
    bad["settings"]["classes"][0]["deadline_s"] = -5
    path.write_bytes(orjson.dumps(bad))
    reload(node, environment)
    assert node.config is previous and node.runtime._address != ("127.0.0.1", 9)
    assert node.state.retired_until_ms == {}

    added = example["settings"]["classes"][0] | {"name": "tint"}
    good = copy.deepcopy(example)
    good["settings"]["classes"].append(added)
    path.write_bytes(orjson.dumps(good))
    reload(node, environment)
    assert "tint" in {c.name for c in node.state.settings.classes}
