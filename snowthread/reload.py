"""Reading the configuration anew while serving."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from snowthread.config import Config, ConfigError, load

if TYPE_CHECKING:
    from snowthread.operator.features import Features

RESTART_ONLY_FIELDS = "name", "listen", "admin", "sockets", "memory_mb"  # these take a new start


class Reconfigurable(Protocol):
    """Who can go on with a new configuration."""

    config: Config
    features: Features | None

    def apply_configuration(self, config: Config, features: Features | None) -> None:
        """Take it up."""


def reload(node: Reconfigurable, environment: Mapping[str, str] = os.environ) -> None:
    """Take up the configuration as it stands now. A file that can't be used changes nothing: whoever replaced
    it can put it right, and a node that ended over it would take its runs along."""
    try:
        config, features = load(environment, node.config), node.features
        if features is not None:  # the operator's file goes with it: both are taken up, or neither
            features = features.load(features.path, config)
    except ConfigError as error:
        logger.bind(event="config.refused").error("configuration not taken up, the old one stays: {}", error)
        return
    kept = [field for field in RESTART_ONLY_FIELDS if getattr(config, field) != getattr(node.config, field)]
    if features is not None and node.features is not None:
        kept += features.new_start(node.features)
    try:
        node.apply_configuration(config, features)
    except OSError as error:  # no descriptor left: it must not end the task that listens for signals
        logger.bind(event="config.refused").error("configuration not taken up, the old one stays: {}", error)
        return
    logger.bind(event="config.read").info(
        "configuration read anew{}", f"; {', '.join(kept)} only at the next start" if kept else ""
    )
