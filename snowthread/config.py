"""Reads and checks the configuration of a node: a JSON file and environment variables.

NODE_CONFIG names the file; NODE_NAME, NODE_LISTEN and NODE_ADMIN_ADDR each override one field of it, and
NODE_FD is the descriptor of a listening socket that another process of this node has passed on. An invalid
value raises a :class:`ConfigError` that names the file and the key.
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
"""Exit status for an invalid configuration; click uses the same for a wrong command line."""

DEFAULT_MAX_SOCKETS = 1024  # the value of "limits: sockets" if the file does not have it
DEFAULT_MEMORY_MB = 192.0  # the value of "limits: memory_mb" if the file does not have it
DEFAULT_TERMINATION_GRACE_PERIOD_MS = 3000.0  # the value of "stop_ms" if the file does not have it
MAX_SOCKETS_MIN = 64  # with fewer sockets, none would be left for balancers' connections
SEED_BASE = 16  # the seed is written in hexadecimal digits
FIELD_BY_ENVIRONMENT_VARIABLE = {
    "NODE_NAME": "name",
    "NODE_LISTEN": "listen",
    "NODE_ADMIN_ADDR": "admin_addr",
}
"""Environment variables that override a field of the file, each with the key of that field."""


class ConfigError(Exception):
    """A configuration is not valid.

    ``reason`` says why in one line. ``key`` is the invalid key, after the keys of the enclosing objects, and
    ``path`` is the file; each is None if unknown. The text is ``path: key: reason``.
    """

    def __init__(self, reason: str, *, key: str | None = None, path: str | None = None) -> None:
        super().__init__(": ".join(part for part in (path, key, reason) if part is not None))
        self.reason = reason
        self.key = key
        self.path = path

    def in_file(self, path: str) -> ConfigError:
        """Return the same error with the path of the file in which it was found."""
        return ConfigError(self.reason, key=self.key, path=path)


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration."""

    name: str
    listen: Address
    runtime: Address
    registry: Address
    database: Address | None  # None if the settings say that runs do not call a database
    seed: int
    termination_grace_period_ms: float  # time from SIGTERM until the platform kills the process
    sockets: int  # the maximum number of open sockets
    memory_mb: float
    settings: Settings
    gauge_names: tuple[str, ...]
    admin: Address | None = None  # address of the administration interface, if there is one
    listen_descriptor: int | None = None  # descriptor of a listening socket that another process passed on
    handover_directory: str | None = None  # shared directory in which the processes of a hot restart connect
    key_shape: Shape = field(default_factory=dict, compare=False)  # the nested keys that the file has


def load(environment: Mapping[str, str], previous: Config | None = None) -> Config:
    """Read the configuration from the file and variables in ``environment``.

    A file that lacks a key of the ``previous`` configuration is rejected, because it may be truncated.

    Raises:
        ConfigError: the file, a field or an environment variable is not valid.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set; it must name the configuration file")
    fields = _read_file(path)
    shape = shape_of(fields)
    missing = missing_key(fields, previous.key_shape) if previous is not None else None
    if missing is not None:
        raise ConfigError("is missing, but the current configuration has it", key=missing, path=path)
    for variable, key in FIELD_BY_ENVIRONMENT_VARIABLE.items():
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
        raise ConfigError("must be a JSON object", path=path)
    return fields


def _listen_descriptor(environment: Mapping[str, str]) -> int | None:
    """Return the descriptor in NODE_FD of a listening socket that was passed on, or None.

    Raises:
        ConfigError: NODE_FD is not a number.
    """
    number = environment.get("NODE_FD")
    if not number:
        return None
    if not (number.isascii() and number.isdigit()):
        raise ConfigError(f"{number!r} is not a descriptor number", key="NODE_FD")
    return int(number)


def parse(fields: Mapping[str, Any]) -> Config:
    """Check the fields of a configuration file and return the configuration.

    Raises:
        ConfigError: names the first field that is not valid.
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
        raise ConfigError(
            "must be an address, because the settings say that runs call a database", key="index"
        )
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
        raise ConfigError("must be a non-empty string without spaces", key="name")
    return name


def _parse_address(fields: Mapping[str, Any], key: str) -> Address:
    try:
        return Address.parse(str(fields.get(key, "")))
    except ValueError as error:
        raise ConfigError(str(error), key=key) from None


def _parse_termination_grace_period_ms(fields: Mapping[str, Any]) -> float:
    termination_grace_period_ms = fields.get("stop_ms", DEFAULT_TERMINATION_GRACE_PERIOD_MS)
    if not _is_positive_number(termination_grace_period_ms):
        raise ConfigError("must be a number of milliseconds above 0", key="stop_ms")
    return float(termination_grace_period_ms)


def _parse_limits(fields: Mapping[str, Any]) -> tuple[int, float]:
    """Return the maximum number of sockets, and the memory limit in MB.

    Raises:
        ConfigError: one of the limits is not valid.
    """
    limits = fields.get("limits") or {}
    sockets = limits.get("sockets", DEFAULT_MAX_SOCKETS) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < MAX_SOCKETS_MIN:
        raise ConfigError(f"must be a whole number of at least {MAX_SOCKETS_MIN}", key="limits: sockets")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not _is_positive_number(memory_mb):
        raise ConfigError("must be a number above 0", key="limits: memory_mb")
    return sockets, float(memory_mb)


def _parse_seed(fields: Mapping[str, Any]) -> int:
    try:
        return int(str(fields.get("seed", "0")), SEED_BASE)
    except ValueError:
        raise ConfigError("must be hexadecimal digits", key="seed") from None


def _parse_settings(fields: Mapping[str, Any], seed: int) -> tuple[Settings, tuple[str, ...]]:
    """Return the admission settings and the names of the runtime's gauges.

    The settings are checked by constructing an admission controller with them.

    Raises:
        ConfigError: the settings are not valid.
    """
    settings_fields = fields.get("settings")
    if not isinstance(settings_fields, dict):
        raise ConfigError("must be an object", key="settings")
    try:
        _check_class_times(settings_fields)
        settings = parse_settings(settings_fields)
        _check_class_names(settings)
        Controller(settings, seed)
        gauge_names = tuple(str(name) for name in (settings_fields.get("domain") or {}).get("meters") or ())
    except (ValueError, TypeError, KeyError, AttributeError, ArithmeticError) as error:
        raise ConfigError(f"invalid settings: {type(error).__name__}: {error}") from None
    return settings, gauge_names


def _check_class_times(settings_fields: Mapping[str, Any]) -> None:
    for index, request_class in enumerate(settings_fields.get("classes") or ()):
        for key in ("goal_time_s", "deadline_s"):
            seconds = request_class[key]
            if type(seconds) not in (int, float) or not 0.0 < seconds < math.inf:
                raise ValueError(f"classes: {index}: {key}: must be a number of seconds above 0")


def _check_class_names(settings: Settings) -> None:
    names = [request_class.name for request_class in settings.classes]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise ValueError("classes: each class must have a unique, non-empty name")


def _is_positive_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 < value < math.inf
