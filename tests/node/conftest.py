"""Fixtures: nodes in this process, and signal handlers that are restored after the test."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from typing import Any

import pytest
from support.node_harness import NodeHarness, StartNode
from support.node_peers import make_runtime_ready

from snowthread.node import BLOCKED_SIGNALS


@pytest.fixture
def start_node() -> Iterator[StartNode]:
    """Return a function that starts a node with a ready runtime; nodes are closed after the test."""
    started: list[NodeHarness] = []

    def start(**changes: Any) -> NodeHarness:
        harness = NodeHarness(**changes)
        started.append(harness)
        make_runtime_ready(harness)
        return harness

    yield start
    for harness in started:
        harness.close()


@pytest.fixture
def harness(start_node: StartNode) -> NodeHarness:
    """Start a node with the example configuration and a ready runtime."""
    return start_node()


@pytest.fixture
def unready_harness() -> Iterator[NodeHarness]:
    """Create a node whose runtime has not accepted the link yet."""
    harness = NodeHarness()
    yield harness
    harness.close()


@pytest.fixture
def restored_signals() -> Iterator[None]:
    """Restore the signal handlers and the wakeup descriptor after the test."""
    handlers = {number: signal.getsignal(number) for number in BLOCKED_SIGNALS}
    wakeup_descriptor = signal.set_wakeup_fd(-1)
    yield
    signal.set_wakeup_fd(wakeup_descriptor)
    for number, handler in handlers.items():
        signal.signal(number, handler)
