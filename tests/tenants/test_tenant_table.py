"""The owner of a client: longest prefix, then least id, and independent of the order of changes."""

from __future__ import annotations

from ipaddress import ip_network

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.tenants.conflicts import Conflict
from snowthread.tenants.model import BalancerRange, IdentifiedBy, Tenant
from snowthread.tenants.table import TenantTable


def tenant(
    tenant_id: str, *networks: str, balancers: tuple[BalancerRange, ...] = (), quota: float = 0.0
) -> Tenant:
    return Tenant(
        tenant_id,
        tenant_id.upper(),
        quota_per_s=quota,
        balancers=balancers,
        networks=tuple(ip_network(n) for n in networks),
    )


@pytest.fixture
def nested_networks() -> TenantTable:
    table = TenantTable()
    table.apply(
        [
            tenant("a", "10.0.0.0/8", "2001:db8::/32"),
            tenant("b", "10.1.0.0/16", "2001:db8:1::/48"),
            tenant("c", "10.1.2.3/32"),
        ]
    )
    return table


@pytest.mark.parametrize(
    ("address", "owner"),
    [
        ("10.9.9.9", "a"),
        ("10.1.9.9", "b"),
        ("10.1.2.3", "c"),
        ("2001:db8::1", "a"),
        ("2001:db8:1::1", "b"),
        ("::ffff:10.1.2.3", "c"),
        ("2001:db8:1::1%eth0", "b"),
        ("11.0.0.1", "default"),
        ("nonsense", "default"),
        ("", "default"),
    ],
)
def test_the_longest_prefix_wins_in_both_families(
    nested_networks: TenantTable, address: str, owner: str
) -> None:
    assert nested_networks.identify(address).tenant_id == owner


def test_a_balancers_number_counts_from_trusted_networks_only() -> None:
    table = TenantTable([ip_network("10.7.0.0/16")])
    table.apply(
        [tenant("a", "10.0.0.0/8"), tenant("b", balancers=(BalancerRange(3, 5), BalancerRange(100, 100)))]
    )
    assert (
        table.identify("10.7.0.1", 4).tenant_id == "b"
        and table.identify("10.7.0.1", 4).identified_by is IdentifiedBy.BALANCER
    )
    assert table.identify("10.7.0.1", 6).tenant_id == "a" and table.identify("10.7.0.1", 100).tenant_id == "b"
    # The number does not count from a network that is not trusted, where any client could send it.
    assert table.identify("10.8.0.1", 4).tenant_id == "a"
    assert table.identify("12.0.0.1", 4).tenant_id == "default"
    table.set_trusted_networks([])
    assert table.identify("10.7.0.1", 4).tenant_id == "a"


def test_a_network_claimed_twice_belongs_to_the_least_id_until_released() -> None:
    table = TenantTable()
    first = table.apply([tenant("b", "10.0.0.0/8")])
    assert not first.conflicts
    second = table.apply([tenant("a", "10.0.0.0/8")])
    assert [conflict.describe() for conflict in second.conflicts] == [
        "network 10.0.0.0/8 is claimed by a, which owns it, and by b"
    ]
    assert table.identify("10.0.0.1").tenant_id == "a" and len(table.conflicts) == 1
    assert not table.apply([tenant("b", "10.0.0.0/8", quota=2.0)]).conflicts  # a conflict is reported once
    table.apply([tenant("a", "11.0.0.0/8")])
    assert table.identify("10.0.0.1").tenant_id == "b" and not table.conflicts
    table.apply([], ["b"])
    assert table.identify("10.0.0.1").tenant_id == "default" and table.network_count == 1


NETWORKS = st.sampled_from(
    [
        "10.0.0.0/8",
        "10.0.0.0/9",
        "10.128.0.0/9",
        "10.0.0.0/24",
        "10.0.0.1/32",
        "2001:db8::/32",
        "2001:db8::/64",
    ]
)
TENANTS = st.builds(
    lambda tenant_id, networks, balancers: tenant(tenant_id, *networks, balancers=tuple(balancers)),
    st.sampled_from("abcd"),
    st.lists(NETWORKS, max_size=4, unique=True),
    st.lists(
        st.sampled_from([BalancerRange(1, 1), BalancerRange(1, 4), BalancerRange(3, 9)]),
        max_size=2,
        unique=True,
    ),
)
PROBES = [
    ("10.0.0.1", 1),
    ("10.0.0.7", 3),
    ("10.1.0.1", 4),
    ("10.200.0.1", 9),
    ("2001:db8::1", 2),
    ("2001:db8:f::1", None),
]


def network_conflicts(table: TenantTable) -> set[Conflict]:
    return {conflict for conflict in table.conflicts if conflict.resource.startswith("network")}


@given(st.lists(st.one_of(TENANTS, st.sampled_from("abcd"))))
@settings(max_examples=300, deadline=None)
def test_the_table_depends_on_the_tenants_not_on_the_order_of_changes(changes: list[Tenant | str]) -> None:
    trusted = [ip_network("10.0.0.0/25")]
    expected: dict[str, Tenant] = {}
    table = TenantTable(trusted)
    for change in changes:
        if isinstance(change, str):
            table.apply([], [change])
            expected.pop(change, None)
        else:
            table.apply([change])
            expected[change.id] = change
    fresh = TenantTable(trusted)
    fresh.apply(sorted(expected.values(), key=lambda t: t.id, reverse=True))
    for address, number in PROBES:
        assert table.identify(address, number) == fresh.identify(address, number)
    assert table.network_count == fresh.network_count == sum(len(t.networks) for t in expected.values())
    assert network_conflicts(table) == network_conflicts(fresh)


def test_the_cache_of_identities_is_bounded_and_never_stale() -> None:
    table = TenantTable()
    table.apply([tenant("a", "0.0.0.0/0")])
    for n in range(20_000):
        table.identify(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}")
    assert len(table._cache) <= 8192
    table.apply([tenant("b", "10.0.0.0/24")])
    assert table.identify("10.0.0.5").tenant_id == "b"
