"""Nodes in this process whose tasks are ended with the test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from support.exchange import ExchangePlayer


@pytest.fixture
def start_player() -> Iterator[Callable[..., ExchangePlayer]]:
    """Start a node with changes to its configuration; its tasks and sockets are closed afterwards."""
    players: list[ExchangePlayer] = []

    def start(**changes: Any) -> ExchangePlayer:
        players.append(ExchangePlayer(**changes))
        return players[-1]

    yield start
    for player in players:
        player.node.loop.end_all_tasks()


@pytest.fixture
def player(start_player: Callable[..., ExchangePlayer]) -> ExchangePlayer:
    """Start a node with the example's configuration."""
    return start_player()
