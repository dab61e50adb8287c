"""Tests reading the block ``site`` of the operator's file."""

from __future__ import annotations

from pathlib import Path

import pytest

from snowthread import hcl
from snowthread.config import ConfigError
from snowthread.sites.settings import SiteSettings, read_site_settings


def read_block(folder: Path, text: str) -> SiteSettings:
    path = folder / "site.hcl"
    path.write_text("site {\n" + text + "\n}\n")
    block = hcl.read_file(path).block("site")
    assert block is not None
    return read_site_settings(block)


def home(name: str, *balancers: str) -> str:
    quoted = ", ".join(f'"{balancer}"' for balancer in balancers)
    return f'home {{\n name = "{name}"\n balancers = [{quoted}]\n}}\n'


def test_the_block_names_each_sites_balancers(tmp_path: Path) -> None:
    settings = read_block(tmp_path, 'name = "a"\n' + home("a", "0-9", "12") + home("b", "10-11"))
    assert settings.site_balancers.ranges == {"a": [(0, 9), (12, 12)], "b": [(10, 11)]}
    assert "site a" in settings.summary()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('name = "c"\n' + home("a", "1"), "no block 'home' is named 'c'"),
        ('name = "a"\n' + home("a", "1-5") + home("b", "5"), "range '5' overlaps a range of site a"),
        ('name = "a"\n' + home("a", "5-1"), "range '5-1' ends before it begins"),
        ('name = "a"\n' + home("a", "x"), "'x' is not a whole number"),
        ('name = "a"\nspeed = 1\n' + home("a", "1"), "no such key"),
    ],
)
def test_an_impossible_range_is_an_error_that_names_it(tmp_path: Path, text: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        read_block(tmp_path, text)
