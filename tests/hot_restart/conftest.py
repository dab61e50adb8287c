"""Fixtures of the tests of hot restarts."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from support.hot_restart import ProcessPair


@pytest.fixture
def unlinked_pair(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[ProcessPair]:
    """Start a predecessor whose runtime is not connected yet."""
    made = ProcessPair(tmp_path, monkeypatch)
    try:
        yield made
    finally:
        made.close()


@pytest.fixture
def pair(unlinked_pair: ProcessPair) -> ProcessPair:
    """Start a predecessor with a connected runtime; the test starts the successor."""
    unlinked_pair.connect_runtime(unlinked_pair.predecessor)
    return unlinked_pair
