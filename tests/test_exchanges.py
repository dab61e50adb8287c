"""Each recorded exchange, played against the node and compared byte for byte."""

from __future__ import annotations

from pathlib import Path

import pytest
from exchange import Player

RECORDED = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_exchange(path: Path) -> None:
    Player().play(path.read_text())
