"""Reading HCL and checking it key by key, with errors that name file, block and key.

Only plain values are settings: strings, numbers, booleans, lists and nested blocks. Expressions and
references are refused, since nothing here would evaluate them. Lengths of time are strings like "250ms",
"30s", "5m" or "2h" and come out as float milliseconds.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import hcl2
from lark.exceptions import LarkError, UnexpectedInput

from snowthread.config import ConfigError

MAX_FILE_BYTES = 1024 * 1024  # bytes of an operator's file
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)")
_UNIT_MS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
_PARSER_KEYS = ("__is_block__", "__comments__", "__inline_comments__", "__start_line__", "__end_line__")


def read(path: Path) -> Block:
    """The file as one block; ConfigError names what is wrong with it and where."""
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            raise ConfigError(f"{path}: {size} bytes, at most {MAX_FILE_BYTES} are read")
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: not UTF-8 text") from None
    try:
        return Block(str(path), "", hcl2.loads(text if text.endswith("\n") else text + "\n"))
    except UnexpectedInput as error:
        raise ConfigError(f"{path}: line {error.line}, column {error.column}: not HCL") from None
    except (LarkError, RecursionError, ValueError) as error:
        raise ConfigError(f"{path}: not HCL: {type(error).__name__}") from None


class Block:
    """One block's keys, each read once; ``done`` says what nobody asked for."""

    def __init__(self, file: str, name: str, body: dict[str, Any]) -> None:
        self.file, self.name = file, name
        self._body = {key: value for key, value in body.items() if key not in _PARSER_KEYS}

    def wrong(self, key: str, what: str) -> ConfigError:
        """The error to raise about a key."""
        where = f"block {self.name!r}: " if self.name else ""
        return ConfigError(f"{self.file}: {where}key {key!r}: {what}")

    def text(self, key: str, default: str | None = None) -> str:
        """A string; without a default it must be there."""
        value = self._take(key, default)
        if not isinstance(value, str):
            raise self.wrong(key, "missing" if value is None else "a string is wanted")
        return value

    def maybe(self, key: str) -> str | None:
        """A string, or None where the key is absent."""
        return self.text(key) if self._body.get(key) is not None else None

    def choice(self, key: str, among: Iterable[str], default: str) -> str:
        """One of several words."""
        value, words = self.text(key, default), tuple(among)
        if value not in words:
            raise self.wrong(key, f"one of {', '.join(words)} is wanted")
        return value

    def number(
        self, key: str, default: float | None = None, least: float = 0.0, most: float = math.inf
    ) -> float:
        """A number within bounds, both included."""
        value = self._take(key, default)
        if value is None:
            raise self.wrong(key, "missing")
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            top = "" if most == math.inf else f" and at most {most:g}"
            raise self.wrong(key, f"a number of at least {least:g}{top} is wanted")
        return float(value)

    def count(self, key: str, default: int, least: int = 0, most: int = 2**31) -> int:
        """A whole number within bounds."""
        value = self.number(key, default, least, most)
        if value != int(value):
            raise self.wrong(key, "a whole number is wanted")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        """true or false."""
        value = self._take(key, default)
        if not isinstance(value, bool):
            raise self.wrong(key, "true or false is wanted")
        return value

    def time(self, key: str, default: str, least_ms: float = 1.0, most_ms: float = math.inf) -> float:
        """A length of time in milliseconds."""
        found = _DURATION.fullmatch(self.text(key, default))
        if found is None:
            raise self.wrong(key, 'a length of time like "250ms", "30s", "5m" or "2h" is wanted')
        ms = float(found[1]) * _UNIT_MS[found[2]]
        if not least_ms <= ms <= most_ms:
            raise self.wrong(key, f"at least {least_ms:g} ms and at most {most_ms:g} ms are wanted")
        return ms

    def texts(self, key: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
        """A list of strings."""
        value = self._body.pop(key, None)
        if value is None:
            if default is None:
                raise self.wrong(key, "missing")
            return default
        if not isinstance(value, list):
            raise self.wrong(key, "a list of strings is wanted")
        words = [self._plain(key, item) for item in value]
        if not all(isinstance(word, str) for word in words):
            raise self.wrong(key, "a list of strings is wanted")
        return tuple(words)

    def block(self, key: str) -> Block | None:
        """A nested block that may stand once, or None."""
        value = self._body.pop(key, None)
        if value is None:
            return None
        name = f"{self.name}.{key}" if self.name else key
        if not isinstance(value, list) or not all(isinstance(b, dict) and "__is_block__" in b for b in value):
            raise self.wrong(key, "a block is wanted")
        if len(value) > 1:
            raise self.wrong(key, f"the block stands {len(value)} times, once is wanted")
        return Block(self.file, name, value[0])

    def blocks(self, key: str, most: int) -> list[Block]:
        """A nested block that may stand any number of times up to ``most``, in the order written."""
        value = self._body.pop(key, None)
        if value is None:
            return []
        if not isinstance(value, list) or not all(isinstance(b, dict) and "__is_block__" in b for b in value):
            raise self.wrong(key, "a block is wanted")
        if len(value) > most:
            raise self.wrong(key, f"the block stands {len(value)} times, at most {most} are read")
        name = f"{self.name}.{key}" if self.name else key
        return [Block(self.file, f"{name}[{at}]", body) for at, body in enumerate(value)]

    def part(self, key: str) -> Block:
        """A nested block whose absence means that each of its keys has its default."""
        return self.block(key) or Block(self.file, f"{self.name}.{key}" if self.name else key, {})

    def done(self) -> None:
        """Everything was asked for, or a key is misspelt."""
        for key in self._body:
            raise self.wrong(key, "no such key")

    def _take(self, key: str, default: Any) -> Any:
        value = self._body.pop(key, None)
        return default if value is None else self._plain(key, value)

    def _plain(self, key: str, value: Any) -> Any:
        """A value as written. Strings come with their quotes; what has none is a name, a call or a sum."""
        if not isinstance(value, str):
            return value
        if len(value) < 2 or value[0] != '"' or value[-1] != '"' or "${" in value or "%{" in value:
            raise self.wrong(key, "a plain value is wanted, no expression")
        try:
            return json.loads(value)
        except ValueError:
            raise self.wrong(key, "a string on one line with plain escapes is wanted") from None
