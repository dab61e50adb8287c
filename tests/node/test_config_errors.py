"""Tests of configuration errors: the text, and the file and key that it names."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from support.node_harness import EXAMPLE

from snowthread.config import DEFAULT_MAX_SOCKETS, ConfigError, load, parse

FIELDS: dict[str, Any] = json.loads(EXAMPLE.read_bytes())


@pytest.mark.parametrize(
    ("changes", "key", "reason"),
    [
        ({"name": "two words"}, "name", "must be a non-empty string without spaces"),
        ({"listen": "127.0.0.1"}, "listen", "'127.0.0.1' is not an address of the form host:port"),
        ({"admin_addr": "host:1"}, "admin_addr", "'host:1': the host must be a numeric address"),
        ({"stop_ms": True}, "stop_ms", "must be a number of milliseconds above 0"),
        ({"limits": [1]}, "limits: sockets", "must be a whole number of at least 64"),
        ({"limits": {"memory_mb": 0}}, "limits: memory_mb", "must be a number above 0"),
        ({"seed": "xyz"}, "seed", "must be hexadecimal digits"),
        ({"settings": []}, "settings", "must be an object"),
    ],
)
def test_invalid_field_is_named(changes: dict[str, Any], key: str, reason: str) -> None:
    with pytest.raises(ConfigError) as raised:
        parse(FIELDS | changes)
    error = raised.value
    assert (error.path, error.key, error.reason) == (None, key, reason)
    assert str(error) == f"{key}: {reason}"


@pytest.mark.parametrize("empty", [None, [], {}])
def test_empty_limits_are_the_defaults(empty: object) -> None:
    assert parse(FIELDS | {"limits": empty}).sockets == DEFAULT_MAX_SOCKETS


def test_error_in_a_file_names_the_file(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(FIELDS | {"seed": "xyz"}))
    with pytest.raises(ConfigError) as raised:
        load({"NODE_CONFIG": str(path)})
    assert (raised.value.path, raised.value.key) == (str(path), "seed")
    assert str(raised.value) == f"{path}: seed: must be hexadecimal digits"


def test_listen_descriptor_error_names_the_variable() -> None:
    with pytest.raises(ConfigError) as raised:
        load({"NODE_CONFIG": str(EXAMPLE), "NODE_FD": "x"})
    assert str(raised.value) == "NODE_FD: 'x' is not a descriptor number"


def test_error_of_a_single_text_is_that_text() -> None:
    error = ConfigError("something is wrong")
    assert (str(error), error.key, error.path) == ("something is wrong", None, None)
