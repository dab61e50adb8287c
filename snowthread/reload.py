"""Reloading the configuration while serving."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from snowthread.config import Config, ConfigError, load

if TYPE_CHECKING:
    from snowthread.operator.features import Features

RESTART_ONLY_FIELDS = ("name", "listen", "admin", "sockets", "memory_mb")
"""Fields of the configuration that only a new start applies."""


class Reconfigurable(Protocol):
    """What a new configuration can be applied to."""

    config: Config
    features: Features | None

    def apply_configuration(self, config: Config, features: Features | None) -> None:
        """Go on with it; OSError where no socket can be opened, and nothing has changed then."""


def reload(node: Reconfigurable, environment: Mapping[str, str] = os.environ) -> None:
    """Apply the files as they are now; a file that can't be used changes nothing.

    Whoever replaced the file can correct it, while a node that ended over it would end its runs too.
    """
    try:
        config, features = _load_files(node, environment)
    except ConfigError as error:
        _log_rejected(error)
        return
    restart_only = _restart_only_changes(node, config, features)
    try:
        node.apply_configuration(config, features)
    except OSError as error:  # no descriptor left: it must not end the task that listens for signals
        _log_rejected(error)
        return
    logger.bind(event="config.read").info(
        "configuration read anew{}",
        f"; {', '.join(restart_only)} only at the next start" if restart_only else "",
    )


def _log_rejected(error: Exception) -> None:
    logger.bind(event="config.refused").error("configuration not taken up, the old one stays: {}", error)


def _load_files(node: Reconfigurable, environment: Mapping[str, str]) -> tuple[Config, Features | None]:
    """Read the configuration and the operator's file: both are applied, or neither."""
    config = load(environment, node.config)
    features = node.features
    if features is not None:
        features = features.load(features.path, config)
    return config, features


def _restart_only_changes(node: Reconfigurable, config: Config, features: Features | None) -> list[str]:
    """Return the names of what differs and needs a new start."""
    changed = [
        field for field in RESTART_ONLY_FIELDS if getattr(config, field) != getattr(node.config, field)
    ]
    if features is not None and node.features is not None:
        changed += features.changes_needing_restart(node.features)
    return changed
