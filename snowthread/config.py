"""The configuration of a node: a JSON file and environment variables, read and checked.

NODE_CONFIG names the file; NODE_NAME, NODE_LISTEN and NODE_ADMIN_ADDR replace single fields of it, and
NODE_FD is a listening socket that another process of this node passed on. Anything that can't be used is a
:class:`ConfigError` that names the file and the key.
"""

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
from snowthread.config_shape import Shape, missing_key, shape_of

CONFIG_ERROR_STATUS = 2
"""Exit status for a configuration that can't be used, as click has it for a wrong command line."""

DEFAULT_MAX_SOCKETS = 1024  # where the file sets no limit
DEFAULT_MEMORY_MB = 192.0  # where the file sets no limit
DEFAULT_TERMINATION_GRACE_PERIOD_MS = 3000.0  # where the file states none
MAX_SOCKETS_MIN = 64  # with fewer a node has none left for balancers
SEED_BASE = 16
FIELD_BY_VARIABLE = {"NODE_NAME": "name", "NODE_LISTEN": "listen", "NODE_ADMIN_ADDR": "admin_addr"}
"""The fields of the file that an environment variable replaces."""


class ConfigError(Exception):
    """A configuration that can't be used.

    ``reason`` says why in one line; ``key`` is the key at fault, with the keys of the objects round it before
    it, and ``path`` the file, where they are known. The text is ``path: key: reason``.
    """

    def __init__(self, reason: str, *, key: str | None = None, path: str | None = None) -> None:
        super().__init__(": ".join(part for part in (path, key, reason) if part is not None))
        self.reason = reason
        self.key = key
        self.path = path

    def in_file(self, path: str) -> ConfigError:
        """Return the same error with the file that it was found in."""
        return ConfigError(self.reason, key=self.key, path=path)


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration."""

    name: str
    listen: Address
    runtime: Address
    registry: Address
    database: Address | None  # None where the settings say that runs call no database
    seed: int
    termination_grace_period_ms: float  # from SIGTERM to the kill
    sockets: int  # the most that may be open
    memory_mb: float
    settings: Settings
    gauge_names: tuple[str, ...]
    admin: Address | None = None  # where operators call
    listen_descriptor: int | None = None  # of a listening socket that another process passed on
    handover_directory: str | None = None  # where processes that share that socket find each other
    key_shape: Shape = field(default_factory=dict, compare=False)  # the keys of the file


def load(environment: Mapping[str, str], previous: Config | None = None) -> Config:
    """Return the configuration that the environment names.

    It may lack no key that the ``previous`` one had: a truncated file would be taken for one that omits them.

    Raises:
        ConfigError: the file, a field or a variable can't be used.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set: it names the configuration file")
    fields = _read_file(path)
    shape = shape_of(fields)
    missing = missing_key(fields, previous.key_shape) if previous is not None else None
    if missing is not None:
        raise ConfigError("is missing, the configuration in force has it", key=missing, path=path)
    for variable, key in FIELD_BY_VARIABLE.items():
        if environment.get(variable):
            fields[key] = environment[variable]
    descriptor = _listen_descriptor(environment)
    try:
        config = replace(parse(fields), key_shape=shape)
    except ConfigError as error:
        raise error.in_file(path) from None
    if descriptor is None:
        return config
    return replace(config, listen_descriptor=descriptor, handover_directory=environment.get("TMPDIR"))


def _read_file(path: str) -> dict[str, Any]:
    try:
        fields = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(str(error.strerror), path=path) from None
    except ValueError as error:
        raise ConfigError(f"not JSON: {error}", path=path) from None
    if not isinstance(fields, dict):
        raise ConfigError("not a JSON object", path=path)
    return fields


def _listen_descriptor(environment: Mapping[str, str]) -> int | None:
    """Return the descriptor of a listening socket that was passed on, if any.

    Raises:
        ConfigError: the variable is no number.
    """
    number = environment.get("NODE_FD")
    if not number:
        return None
    if not (number.isascii() and number.isdigit()):
        raise ConfigError(f"{number!r} is not a descriptor's number", key="NODE_FD")
    return int(number)


def parse(fields: Mapping[str, Any]) -> Config:
    """Check the fields of a file one by one and return them as a configuration.

    Raises:
        ConfigError: names the first field that can't be used.
    """
    name = _parse_name(fields)
    listen = _parse_address(fields, "listen")
    runtime = _parse_address(fields, "runtime")
    registry = _parse_address(fields, "roster")
    database = _parse_address(fields, "index") if fields.get("index") else None
    admin = _parse_address(fields, "admin_addr") if fields.get("admin_addr") is not None else None
    termination_grace_period_ms = _parse_termination_grace_period_ms(fields)
    sockets, memory_mb = _parse_limits(fields)
    seed = _parse_seed(fields)
    settings, gauge_names = _parse_settings(fields, seed)
    if database is None and settings.dependency is not Dependency.NONE:
        raise ConfigError("an address is wanted, the settings say that calls are made below", key="index")
    return Config(
        name=name,
        listen=listen,
        runtime=runtime,
        registry=registry,
        database=database,
        seed=seed,
        termination_grace_period_ms=termination_grace_period_ms,
        sockets=sockets,
        memory_mb=memory_mb,
        settings=settings,
        gauge_names=gauge_names,
        admin=admin,
    )


def _parse_name(fields: Mapping[str, Any]) -> str:
    name = fields.get("name")
    if not isinstance(name, str) or not name or any(character.isspace() for character in name):
        raise ConfigError("a word is wanted", key="name")
    return name


def _parse_address(fields: Mapping[str, Any], key: str) -> Address:
    try:
        return Address.parse(str(fields.get(key, "")))
    except ValueError as error:
        raise ConfigError(str(error), key=key) from None


def _parse_termination_grace_period_ms(fields: Mapping[str, Any]) -> float:
    termination_grace_period_ms = fields.get("stop_ms", DEFAULT_TERMINATION_GRACE_PERIOD_MS)
    if not _is_positive_number(termination_grace_period_ms):
        raise ConfigError("a number of milliseconds above 0 is wanted", key="stop_ms")
    return float(termination_grace_period_ms)


def _parse_limits(fields: Mapping[str, Any]) -> tuple[int, float]:
    """Return the most sockets and the memory in MB.

    Raises:
        ConfigError: one of them can't be used.
    """
    limits = fields.get("limits") or {}
    sockets = limits.get("sockets", DEFAULT_MAX_SOCKETS) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < MAX_SOCKETS_MIN:
        raise ConfigError(f"a whole number of at least {MAX_SOCKETS_MIN} is wanted", key="limits: sockets")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not _is_positive_number(memory_mb):
        raise ConfigError("a number above 0 is wanted", key="limits: memory_mb")
    return sockets, float(memory_mb)


def _parse_seed(fields: Mapping[str, Any]) -> int:
    try:
        return int(str(fields.get("seed", "0")), SEED_BASE)
    except ValueError:
        raise ConfigError("hex digits are wanted", key="seed") from None


def _parse_settings(fields: Mapping[str, Any], seed: int) -> tuple[Settings, tuple[str, ...]]:
    """Return the admission settings, tried on a controller, and the names of the runtime's gauges.

    Raises:
        ConfigError: they can't be used.
    """
    facts = fields.get("settings")
    if not isinstance(facts, dict):
        raise ConfigError("an object is wanted", key="settings")
    try:
        _check_class_times(facts)
        settings = parse_settings(facts)
        _check_class_names(settings)
        Controller(settings, seed)
        gauge_names = tuple(str(name) for name in (facts.get("domain") or {}).get("meters") or ())
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError) as error:
        raise ConfigError(f"settings can't be used: {type(error).__name__}: {error}") from None
    return settings, gauge_names


def _check_class_times(facts: Mapping[str, Any]) -> None:
    for index, request_class in enumerate(facts.get("classes") or ()):
        for key in ("goal_time_s", "deadline_s"):
            seconds = request_class[key]
            if type(seconds) not in (int, float) or not 0.0 < seconds < math.inf:
                raise ValueError(f"classes: {index}: {key}: a number of seconds above 0 is wanted")


def _check_class_names(settings: Settings) -> None:
    names = [request_class.name for request_class in settings.classes]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise ValueError("classes: each wants a name of its own")


def _is_positive_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 < value < math.inf
