"""What a node is told at its start: the environment and a JSON file, checked."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from clovertack.decide import Controller
from clovertack.interface import Settings
from clovertack.settings import settings_from
from snowthread.address import Address

SOCKETS, MEMORY_MB = 1024, 192.0  # where the file sets no limit


class ConfigError(Exception):
    """Why the configuration can't be used, in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration."""

    name: str
    listen: Address
    runtime: Address
    roster: Address
    index: Address
    seed: int
    stop_ms: float
    sockets: int
    memory_mb: float
    settings: Settings
    meters: tuple[str, ...]
    admin: Address | None = None  # where the operators call
    door: int | None = None  # the descriptor of a listening socket that was passed on
    folder: str | None = None  # where processes that share it find each other


def load(environment: Mapping[str, str]) -> Config:
    """Read what NODE_CONFIG names; NODE_NAME, NODE_LISTEN and NODE_ADMIN_ADDR, where set, go before it."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set: it names the configuration file")
    try:
        fields = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(fields, dict):
        raise ConfigError(f"{path}: not a JSON object")
    for name, variable in (("name", "NODE_NAME"), ("listen", "NODE_LISTEN"),
                           ("admin_addr", "NODE_ADMIN_ADDR")):
        if environment.get(variable):
            fields[name] = environment[variable]
    number = environment.get("NODE_FD") or None
    if number is not None and not (number.isascii() and number.isdigit()):
        raise ConfigError(f"NODE_FD: {number!r} is not a descriptor's number")
    try:
        config = parse(fields)
        if number is not None:
            config = replace(config, door=int(number), folder=environment.get("TMPDIR"))
        return config
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(fields: Mapping[str, Any]) -> Config:
    """Check the fields one by one."""
    name = fields.get("name")
    if not isinstance(name, str) or not name or any(c.isspace() for c in name):
        raise ConfigError("name: a word is wanted")
    addresses = {}
    for field in ("listen", "runtime", "roster", "index"):
        try:
            addresses[field] = Address.parse(str(fields.get(field, "")))
        except ValueError as error:
            raise ConfigError(f"{field}: {error}") from None
    admin = None
    if fields.get("admin_addr") is not None:
        try:
            admin = Address.parse(str(fields["admin_addr"]))
        except ValueError as error:
            raise ConfigError(f"admin_addr: {error}") from None
    stop = fields.get("stop_ms", 3000.0)
    if isinstance(stop, bool) or not isinstance(stop, int | float) or not 0.0 < stop < math.inf:
        raise ConfigError("stop_ms: a number of milliseconds above 0 is wanted")
    limits = fields.get("limits") or {}
    sockets = limits.get("sockets", SOCKETS) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 64:
        raise ConfigError("limits: sockets: a whole number of at least 64 is wanted")
    memory = limits.get("memory_mb", MEMORY_MB) if isinstance(limits, dict) else None
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not 0.0 < memory < math.inf:
        raise ConfigError("limits: memory_mb: a number above 0 is wanted")
    try:
        seed = int(str(fields.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError("seed: hex digits are wanted") from None
    facts = fields.get("settings")
    if not isinstance(facts, dict):
        raise ConfigError("settings: an object is wanted")
    try:
        settings = settings_from(facts)
        Controller(settings, seed)
        meters = tuple(str(m) for m in (facts.get("domain") or {}).get("meters") or ())
    except (ValueError, TypeError, KeyError, AttributeError, ZeroDivisionError) as error:
        raise ConfigError(f"settings can't be used: {type(error).__name__}: {error}") from None
    return Config(name=name, seed=seed, stop_ms=float(stop), sockets=sockets,
                  memory_mb=float(memory), settings=settings, meters=meters, listen=addresses["listen"],
                  runtime=addresses["runtime"], roster=addresses["roster"], index=addresses["index"],
                  admin=admin)
