"""Nodes in this process whose runtime is ready, and signal handlers that are put back."""

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
    """Start nodes with changes to the example's configuration; all is closed after the test."""
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
    """Start a node of the example's configuration."""
    return start_node()


@pytest.fixture
def unready_harness() -> Iterator[NodeHarness]:
    """Make a node whose runtime has not accepted its link."""
    harness = NodeHarness()
    yield harness
    harness.close()


@pytest.fixture
def restored_signals() -> Iterator[None]:
    """Put the handlers of signals back after the test."""
    handlers = {number: signal.getsignal(number) for number in BLOCKED_SIGNALS}
    wakeup_descriptor = signal.set_wakeup_fd(-1)
    yield
    signal.set_wakeup_fd(wakeup_descriptor)
    for number, handler in handlers.items():
        signal.signal(number, handler)
