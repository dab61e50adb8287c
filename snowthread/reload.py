"""Reloads the configuration while the node serves."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from snowthread.config import Config, ConfigError, load

if TYPE_CHECKING:
    from snowthread.operator.features import Features

RESTART_ONLY_FIELDS = ("name", "listen", "admin", "sockets", "memory_mb")
"""Fields of the configuration that take effect only at the next start."""


class Reconfigurable(Protocol):
    """An object to which a new configuration can be applied."""

    config: Config
    features: Features | None

    def apply_configuration(self, config: Config, features: Features | None) -> None:
        """Apply the configuration.

        An OSError means that a socket could not be opened; nothing has changed then.
        """


def reload(node: Reconfigurable, environment: Mapping[str, str] = os.environ) -> None:
    """Read the files again and apply them; if one is not valid, nothing changes and an error is logged.

    The node goes on, because the file can be corrected, while an exit would abort the node's runs.
    """
    try:
        config, features = _load_files(node, environment)
    except ConfigError as error:
        _log_rejected(error)
        return
    restart_only = _restart_only_changes(node, config, features)
    try:
        node.apply_configuration(config, features)
    except OSError as error:  # no descriptor is free; the error must not end the task that handles signals
        _log_rejected(error)
        return
    logger.bind(event="config.read").info(
        "configuration reloaded{}",
        f"; {', '.join(restart_only)} will change only at the next start" if restart_only else "",
    )


def _log_rejected(error: Exception) -> None:
    logger.bind(event="config.refused").error("configuration rejected, keeping the current one: {}", error)


def _load_files(node: Reconfigurable, environment: Mapping[str, str]) -> tuple[Config, Features | None]:
    """Read the configuration and the operator's file; an error in either rejects both."""
    config = load(environment, node.config)
    features = node.features
    if features is not None:
        features = features.load(features.path, config)
    return config, features


def _restart_only_changes(node: Reconfigurable, config: Config, features: Features | None) -> list[str]:
    """Return the names of the changed fields and features that take effect only at the next start."""
    changed = [
        field for field in RESTART_ONLY_FIELDS if getattr(config, field) != getattr(node.config, field)
    ]
    if features is not None and node.features is not None:
        changed += features.changes_needing_restart(node.features)
    return changed
