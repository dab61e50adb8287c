"""Fixtures: nodes in this process, which are closed after the test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from support.exchange import ExchangePlayer


@pytest.fixture
def start_player() -> Iterator[Callable[..., ExchangePlayer]]:
    """Return a function that starts a node with changed settings; its tasks are ended after the test."""
    players: list[ExchangePlayer] = []

    def start(**changes: Any) -> ExchangePlayer:
        players.append(ExchangePlayer(**changes))
        return players[-1]

    yield start
    for player in players:
        player.node.loop.end_all_tasks()


@pytest.fixture
def player(start_player: Callable[..., ExchangePlayer]) -> ExchangePlayer:
    """Start a node with the example configuration."""
    return start_player()
