"""What a node is told at its start: the environment and a JSON file, checked."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from snowthread.address import Address
from snowthread.admission.controller import Controller
from snowthread.admission.settings import Dependency, Settings
from snowthread.admission.settings_parser import parse_settings

SOCKETS, MEMORY_MB = 1024, 192.0  # where the file sets no limit


class ConfigError(Exception):
    """Why the configuration can't be used, in one line."""


Shape = dict[str, Any]
"""The keys of an object, each with the shape of what it holds; of a list of objects, what all have."""


def shape_of(value: object) -> Shape:
    """The keys in a value, however deep."""
    if isinstance(value, dict):
        return {key: shape_of(held) for key, held in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        common = set.intersection(*(set(item) for item in value))
        return {key: shape_of(value[0][key]) for key in sorted(common)}
    return {}


def missing_key(value: object, shape: Shape, place: str = "") -> str | None:
    """The first key of the shape that is not in the value, with where it should stand. One that is there and
    empty is there: what it may hold is another check's."""
    if isinstance(value, list):
        return next(filter(None, (missing_key(item, shape, place) for item in value)), None)
    if not isinstance(value, dict):
        return None
    for key, inner in shape.items():
        if key not in value:
            return place + key
        found = missing_key(value[key], inner, f"{place}{key}: ")
        if found is not None:
            return found
    return None


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration."""

    name: str
    listen: Address
    runtime: Address
    registry: Address
    database: Address | None  # none where the settings say that nothing lies below
    seed: int
    stop_ms: float
    sockets: int
    memory_mb: float
    settings: Settings
    gauge_names: tuple[str, ...]
    admin: Address | None = None  # where the operators call
    listen_descriptor: int | None = None  # the descriptor of a listening socket that was passed on
    handover_directory: str | None = None  # where processes that share it find each other
    shape: Shape = field(default_factory=dict, compare=False)  # the keys of the file


def load(environment: Mapping[str, str], old: Config | None = None) -> Config:
    """Read what NODE_CONFIG names; NODE_NAME, NODE_LISTEN and NODE_ADMIN_ADDR, where set, go before it. It
    may lack no key that the ``old`` one had: half a file would else pass for one that leaves things out."""
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
    shape = shape_of(fields)
    lacks = missing_key(fields, old.shape) if old is not None else None
    if lacks is not None:
        raise ConfigError(f"{path}: {lacks}: is missing, the configuration in force has it")
    for name, variable in (
        ("name", "NODE_NAME"),
        ("listen", "NODE_LISTEN"),
        ("admin_addr", "NODE_ADMIN_ADDR"),
    ):
        if environment.get(variable):
            fields[name] = environment[variable]
    number = environment.get("NODE_FD") or None
    if number is not None and not (number.isascii() and number.isdigit()):
        raise ConfigError(f"NODE_FD: {number!r} is not a descriptor's number")
    try:
        config = replace(parse(fields), shape=shape)
        if number is not None:
            config = replace(
                config, listen_descriptor=int(number), handover_directory=environment.get("TMPDIR")
            )
        return config
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(fields: Mapping[str, Any]) -> Config:
    """Check the fields one by one."""
    name = fields.get("name")
    if not isinstance(name, str) or not name or any(c.isspace() for c in name):
        raise ConfigError("name: a word is wanted")
    addresses = {}
    for peer in ("listen", "runtime", "roster", *(["index"] if fields.get("index") else [])):
        try:
            addresses[peer] = Address.parse(str(fields.get(peer, "")))
        except ValueError as error:
            raise ConfigError(f"{peer}: {error}") from None
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
        for n, kind in enumerate(facts.get("classes") or ()):
            for key in ("goal_time_s", "deadline_s"):
                value = kind[key]
                if type(value) not in (int, float) or not 0.0 < value < math.inf:
                    raise ValueError(f"classes: {n}: {key}: a number of seconds above 0 is wanted")
        settings = parse_settings(facts)
        names = [c.name for c in settings.classes]
        if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
            raise ValueError("classes: each wants a name of its own")
        Controller(settings, seed)
        meters = tuple(str(m) for m in (facts.get("domain") or {}).get("meters") or ())
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError) as error:
        raise ConfigError(f"settings can't be used: {type(error).__name__}: {error}") from None
    if "index" not in addresses and settings.dependency is not Dependency.NONE:
        raise ConfigError("index: an address is wanted, the settings say that calls are made below")
    return Config(
        name=name,
        seed=seed,
        stop_ms=float(stop),
        sockets=sockets,
        memory_mb=float(memory),
        settings=settings,
        gauge_names=meters,
        listen=addresses["listen"],
        runtime=addresses["runtime"],
        registry=addresses["roster"],
        database=addresses.get("index"),
        admin=admin,
    )
