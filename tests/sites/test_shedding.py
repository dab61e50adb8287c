"""What is refused first of other sites' requests, what is never run; the block that tells whose they are."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from snowthread.config import ConfigError
from snowthread.operator import hcl
from snowthread.sites.settings import SiteSettings
from snowthread.sites.settings import read_site_settings as read_site
from snowthread.sites.shedding import (
    MAX_FOREIGN_SHARE,
    MAX_FOREIGN_PRESSURE,
    NodeLoad,
    SiteRanges,
    Verdict,
    decide,
    pressure,
    shedding_order,
)


def load(blocking: float = 0.0, held: int = 0, foreign: int = 0) -> NodeLoad:
    return NodeLoad(blocking, held, 4, 8.0, foreign)


def test_a_cheaper_request_is_refused_before_a_worthier_one_at_every_pressure() -> None:
    order = shedding_order({"match": 0.8, "recalc": 2.2, "dispense": 9.0})
    assert order == {"match": 0, "recalc": 1, "dispense": 2}
    wants = [(place, rank / 10.0) for place in range(3) for rank in range(10)]
    for step in range(60):
        felt = load(step / 100.0)
        served = [decide(False, True, place, 3, rank, felt) is Verdict.ADMIT for place, rank in wants]
        for low, high in itertools.combinations(range(len(wants)), 2):
            assert not (served[low] and not served[high])  # wants are in order
    assert not any(
        decide(False, True, 2, 3, 0.99, load(MAX_FOREIGN_PRESSURE)) is Verdict.ADMIT for _ in range(3)
    )


def test_with_room_all_that_is_safe_is_taken_up_to_the_cap() -> None:
    assert decide(False, True, 0, 3, 0.0, load()) is Verdict.ADMIT
    assert decide(False, True, 2, 3, 0.9, load(foreign=int(MAX_FOREIGN_SHARE * 8))) is Verdict.REJECT
    assert pressure(load(held=8)) == 0.5 and pressure(load(0.7, 8)) == 0.7


def test_own_requests_are_the_modules_and_anothers_keys_are_failed_whatever_the_load() -> None:
    for felt in (0.0, 0.5, 1.0):
        assert decide(True, False, 0, 3, 0.0, load(felt)) is Verdict.ADMIT
        assert decide(False, False, 2, 3, 0.9, load(felt)) is Verdict.FAIL


def test_a_number_that_no_range_has_is_this_sites_own() -> None:
    homes = SiteRanges("a", {"a": [(0, 9)], "b": [(10, 19), (30, 30)]})
    assert [homes.site_of(n) for n in (0, 9, 10, 19, 20, 30, 31)] == ["a", "a", "b", "b", "a", "b", "a"]


def block(tmp_path: Path, text: str) -> SiteSettings:
    path = tmp_path / "site.hcl"
    path.write_text("site {\n" + text + "\n}\n")
    found = hcl.read(path).block("site")
    assert found is not None
    return read_site(found)


def home(name: str, *numbers: str) -> str:
    words = ", ".join(f'"{number}"' for number in numbers)
    return f'home {{\n name = "{name}"\n balancers = [{words}]\n}}\n'


def test_the_block_names_each_sites_balancers(tmp_path: Path) -> None:
    read = block(tmp_path, 'name = "a"\n' + home("a", "0-9", "12") + home("b", "10-11"))
    assert (
        read.site_ranges.ranges == {"a": [(0, 9), (12, 12)], "b": [(10, 11)]} and "site a" in read.summary()
    )


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('name = "c"\n' + home("a", "1"), "no block 'home'"),
        ('name = "a"\n' + home("a", "1-5") + home("b", "5"), "another's too: a"),
        ('name = "a"\n' + home("a", "5-1"), "ends before"),
        ('name = "a"\n' + home("a", "x"), "no number"),
        ('name = "a"\nspeed = 1\n' + home("a", "1"), "no such key"),
    ],
)
def test_ranges_that_cant_be_are_refused_by_name(tmp_path: Path, text: str, says: str) -> None:
    with pytest.raises(ConfigError, match=says):
        block(tmp_path, text)
