"""Parsing of directory entries into tenants."""

from __future__ import annotations

from ipaddress import ip_network

import pytest

from snowthread.ldap import dn
from snowthread.tenants.entry import AttributeNames, BadEntry, read_tenant
from snowthread.tenants.model import BalancerRange, Tenant, TenantStatus

BASE = dn.parse("ou=tenants,dc=example")
NAMES = AttributeNames()
ENTRY_DN = "cn=Farbhof,ou=Tenants,dc=example"
ATTRIBUTES = {
    "cn": (b"Farbhof",),
    "snowthreadquota": (b"12.5",),
    "snowthreadstatus": (b"Suspended",),
    "snowthreadnetwork": (b"10.1.2.3/16", b"2001:db8::/32"),
    "snowthreadbalancer": (b"7", b"3-5"),
    "snowthreadclass": (b"match",),
    "entryuuid": (b"10B6A61E-4736-524c-bf1f-0a63779c2252",),
}


def test_an_entry_is_read_whatever_its_spelling() -> None:
    assert read_tenant(ENTRY_DN, ATTRIBUTES, NAMES, BASE) == Tenant(
        "10b6a61e4736524cbf1f0a63779c2252",
        "Farbhof",
        TenantStatus.SUSPENDED,
        12.5,
        (ip_network("10.1.0.0/16"), ip_network("2001:db8::/32")),
        (BalancerRange(3, 5), BalancerRange(7, 7)),
        frozenset({"match"}),
    )


@pytest.mark.parametrize(
    "change",
    [
        {"snowthreadquota": (b"-1",)},
        {"snowthreadquota": (b"nan",)},
        {"snowthreadquota": (b"1", b"2")},
        {"snowthreadnetwork": (b"10.0.0.0/40",)},
        {"snowthreadstatus": (b"maybe",)},
        {"snowthreadbalancer": (b"9-3",)},
        {"cn": ()},
        {"cn": (b"\xff\xfe",)},
        {"cn": (b"a\nb",)},
        {"snowthreadbalancer": (b"-4",)},
    ],
)
def test_a_value_that_cannot_be_read_makes_the_entry_bad(change: dict[str, tuple[bytes, ...]]) -> None:
    assert isinstance(read_tenant(ENTRY_DN, ATTRIBUTES | change, NAMES, BASE), BadEntry)


@pytest.mark.parametrize("entry_dn", ["cn=x,ou=elsewhere,dc=example", "not a name"])
def test_an_entry_outside_the_base_or_without_a_name_is_bad(entry_dn: str) -> None:
    assert isinstance(read_tenant(entry_dn, ATTRIBUTES, NAMES, BASE), BadEntry)
