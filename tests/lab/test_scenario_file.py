"""Tests scenario files: the same file and seed give the same plan, and errors name the invalid key."""

from __future__ import annotations

from pathlib import Path

import pytest

from snowthread.config import ConfigError
from snowthread.lab.scenario import plan_lines
from snowthread.lab.scenario_file import read_scenario

ROOT = Path(__file__).parent.parent.parent


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "s.hcl"
    path.write_text(text)
    return path


def test_example_gives_the_same_plan_twice_and_simultaneous_steps_the_same_nodes() -> None:
    path = ROOT / "deploy" / "restart.hcl"
    first = read_scenario(path)
    second = read_scenario(path)
    assert plan_lines(first) == plan_lines(second)
    kill, wipe = first.steps[:2]
    assert (kill.do, wipe.do) == ("kill", "wipe") and kill.nodes == wipe.nodes and len(kill.nodes) == 4
    assert [step.do for step in first.steps] == ["kill", "wipe", "slow", "start", "heal"]


def test_other_seeds_draw_other_nodes(tmp_path: Path) -> None:
    chosen = set()
    for seed in range(1, 8):
        path = write(
            tmp_path, f'seed = {seed}\nnodes = 10\nstep {{\n at = "1s"\n do = "kill"\n share = 0.3\n}}\n'
        )
        chosen.add(read_scenario(path).steps[0].nodes)
    assert len(chosen) > 3


def test_steps_and_their_ends_are_in_order_of_time(tmp_path: Path) -> None:
    path = write(
        tmp_path,
        'step {\n at = "5s"\n do = "partition"\n link = "roster"\n'
        ' nodes = ["n2"]\n for = "2s"\n}\n'
        'step {\n at = "1s"\n do = "stop"\n nodes = ["n1"]\n for = "500ms"\n}\n',
    )
    assert [(s.at_ms, s.do, s.nodes) for s in read_scenario(path).steps] == [
        (1000.0, "stop", ("n1",)),
        (1500.0, "cont", ("n1",)),
        (5000.0, "partition", ("n2",)),
        (7000.0, "heal", ("n2",)),
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('step {\n do = "explode"\n}\n', "'do'"),
        ('step {\n do = "kill"\n nodes = ["n9"]\n}\n', "no node 'n9'"),
        ("nodes = 1000\n", "'nodes'"),
        ('step {\n at = "2h"\n}\n', "'at'"),
        ('step {\n do = "delay"\n link = "moon"\n}\n', "'link'"),
        ("speed = 3\n", "no such key"),
    ],
)
def test_invalid_scenario_raises_an_error_that_names_the_fault(
    tmp_path: Path, text: str, message: str
) -> None:
    with pytest.raises(ConfigError, match=message):
        read_scenario(write(tmp_path, text))
