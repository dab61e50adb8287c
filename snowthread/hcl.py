"""Reads HCL files and checks them key by key; errors name the file, the block and the key.

Only plain values are allowed: strings, numbers, booleans, lists and nested blocks. Expressions and references
are errors, because they are not evaluated. Durations are strings like "250ms", "30s", "5m" or "2h", and are
returned as float milliseconds.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, TypeVar

import hcl2
from lark.exceptions import LarkError, UnexpectedInput

from snowthread.config import ConfigError

MAX_FILE_BYTES = 1024 * 1024
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)")
_UNIT_MS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
_BLOCK_MARK = "__is_block__"
_PARSER_KEYS = (_BLOCK_MARK, "__comments__", "__inline_comments__", "__start_line__", "__end_line__")

Value = TypeVar("Value")
Parsed = TypeVar("Parsed")


class BlockKeyError(ConfigError):
    """A key of a block is not valid; ``block`` is the block's name, empty for keys outside of blocks."""

    def __init__(self, reason: str, *, file: str, block: str, key: str) -> None:
        where = f"block {block!r}: " if block else ""
        super().__init__(reason, key=f"{where}key {key!r}", path=file)
        self.key = key
        self.block = block


def read_file(path: Path) -> Block:
    """Return the file as one block.

    Raises:
        ConfigError: the file cannot be read or is not HCL.
    """
    text = _read_text(path)
    try:
        return Block(str(path), "", hcl2.loads(text if text.endswith("\n") else text + "\n"))
    except UnexpectedInput as error:
        raise ConfigError(f"line {error.line}, column {error.column}: not HCL", path=str(path)) from None
    except (LarkError, RecursionError, ValueError) as error:
        raise ConfigError(f"not HCL: {type(error).__name__}", path=str(path)) from None


def _read_text(path: Path) -> str:
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            raise ConfigError(f"the file has {size} bytes, the limit is {MAX_FILE_BYTES}", path=str(path))
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(str(error.strerror), path=str(path)) from None
    except UnicodeDecodeError:
        raise ConfigError("not UTF-8 text", path=str(path)) from None


class Block:
    """The keys of one block; each is read once, and ``reject_unknown_keys`` rejects the keys that are left.

    Every method that reads a key raises BlockKeyError if the value is not valid.
    """

    def __init__(self, file: str, name: str, body: dict[str, Any]) -> None:
        self.file = file
        self.name = name
        self._body = {key: value for key, value in body.items() if key not in _PARSER_KEYS}

    def error(self, key: str, reason: str) -> BlockKeyError:
        """Return the error to raise for a key, with the reason."""
        return BlockKeyError(reason, file=self.file, block=self.name, key=key)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string; if there is no default, the key is required."""
        value = self._take(key, default)
        if not isinstance(value, str):
            raise self.error(key, "missing" if value is None else "must be a string")
        return value

    def optional_text(self, key: str) -> str | None:
        """Return a string, or None if the key is absent."""
        return self.text(key) if self._body.get(key) is not None else None

    def choice(self, key: str, among: Iterable[str], default: str) -> str:
        """Return a string that must be one of ``among``."""
        value = self.text(key, default)
        words = tuple(among)
        if value not in words:
            raise self.error(key, f"must be one of {', '.join(words)}")
        return value

    def number(
        self, key: str, default: float | None = None, minimum: float = 0.0, maximum: float = math.inf
    ) -> float:
        """Return a number from ``minimum`` to ``maximum``; without a default the key is required."""
        value = self._take(key, default)
        if value is None:
            raise self.error(key, "missing")
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            top = "" if maximum == math.inf else f" and at most {maximum:g}"
            raise self.error(key, f"must be a number of at least {minimum:g}{top}")
        return float(value)

    def integer(self, key: str, default: int, minimum: int = 0, maximum: int = 2**31) -> int:
        """Return an integer between ``minimum`` and ``maximum``, inclusive."""
        value = self.number(key, default, minimum, maximum)
        if value != int(value):
            raise self.error(key, "must be a whole number")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._take(key, default)
        if not isinstance(value, bool):
            raise self.error(key, "must be true or false")
        return value

    def duration_ms(self, key: str, default: str, min_ms: float = 1.0, max_ms: float = math.inf) -> float:
        """Return a duration in milliseconds, between ``min_ms`` and ``max_ms``, inclusive."""
        match = _DURATION.fullmatch(self.text(key, default))
        if match is None:
            raise self.error(key, 'must be a duration like "250ms", "30s", "5m" or "2h"')
        duration_ms = float(match[1]) * _UNIT_MS[match[2]]
        if not min_ms <= duration_ms <= max_ms:
            raise self.error(key, f"must be at least {min_ms:g} ms and at most {max_ms:g} ms")
        return duration_ms

    def text_list(self, key: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
        """Return a list of strings; if there is no default, the key is required."""
        value = self._body.pop(key, None)
        if value is None:
            if default is None:
                raise self.error(key, "missing")
            return default
        if not isinstance(value, list):
            raise self.error(key, "must be a list of strings")
        texts = [self._plain(key, item) for item in value]
        if not all(isinstance(text, str) for text in texts):
            raise self.error(key, "must be a list of strings")
        return tuple(texts)

    def parsed(self, key: str, parse: Callable[[Value], Parsed], value: Value) -> Parsed:
        """Return ``parse(value)``; a ValueError becomes a BlockKeyError of the key."""
        try:
            return parse(value)
        except ValueError as error:
            raise self.error(key, str(error)) from None

    def block(self, key: str) -> Block | None:
        """Return a nested block that may occur at most once, or None."""
        bodies = self._take_bodies(key)
        if len(bodies) > 1:
            raise self.error(key, f"the block occurs {len(bodies)} times, at most one is allowed")
        return Block(self.file, self._name_of(key), bodies[0]) if bodies else None

    def blocks(self, key: str, maximum: int) -> list[Block]:
        """Return the nested blocks of a kind, at most ``maximum``, in the order in the file."""
        bodies = self._take_bodies(key)
        if len(bodies) > maximum:
            raise self.error(key, f"the block occurs {len(bodies)} times, at most {maximum} are allowed")
        name = self._name_of(key)
        return [Block(self.file, f"{name}[{index}]", body) for index, body in enumerate(bodies)]

    def block_or_empty(self, key: str) -> Block:
        """Return a nested block, or an empty one if it is absent, so that its keys have their defaults."""
        return self.block(key) or Block(self.file, self._name_of(key), {})

    def reject_unknown_keys(self) -> None:
        """Raise BlockKeyError if a key was not read, as it is unknown or misspelt."""
        for key in self._body:
            raise self.error(key, "no such key")

    def _name_of(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key

    def _take_bodies(self, key: str) -> list[dict[str, Any]]:
        bodies = self._body.pop(key, None)
        if bodies is None:
            return []
        if not isinstance(bodies, list) or not all(_is_block(body) for body in bodies):
            raise self.error(key, "must be a block")
        return bodies

    def _take(self, key: str, default: Any) -> Any:
        value = self._body.pop(key, None)
        return default if value is None else self._plain(key, value)

    def _plain(self, key: str, value: Any) -> Any:
        """Return a value without the parser's markup.

        The parser returns strings with their quotes; text without quotes is a name, a call or an expression.
        """
        if not isinstance(value, str):
            return value
        if len(value) < 2 or value[0] != '"' or value[-1] != '"' or "${" in value or "%{" in value:
            raise self.error(key, "must be a plain value, expressions are not supported")
        try:
            return json.loads(value)
        except ValueError:
            raise self.error(key, "must be a string on one line with JSON escapes") from None


def _is_block(body: object) -> bool:
    return isinstance(body, dict) and _BLOCK_MARK in body
