"""Lookups of unknown clients: one per client at a time, limited in number and rate, negatively cached."""

from __future__ import annotations

import pytest

from snowthread.ldap.search_filter import Comparison
from snowthread.tenants.unknown_clients import UnknownClientRules, UnknownClients, lookup_filter

CLIENT = "10.0.0.1"


@pytest.fixture
def clients() -> UnknownClients:
    return UnknownClients(
        UnknownClientRules(
            negative_ttl_ms=1000.0,
            max_negative_entries=3,
            max_waiting=4,
            max_in_flight=2,
            lookups_per_s=100.0,
        )
    )


def test_a_client_has_one_lookup_and_its_negative_result_expires(clients: UnknownClients) -> None:
    assert clients.queue_lookup(CLIENT, 0.0) and not clients.queue_lookup(CLIENT, 0.0)
    assert clients.start_next_lookup(10.0) == CLIENT and clients.start_next_lookup(10.0) is None
    assert not clients.queue_lookup(CLIENT, 11.0)
    clients.finish_lookup(CLIENT, False, 20.0)
    assert not clients.queue_lookup(CLIENT, 1019.0) and clients.queue_lookup(CLIENT, 1020.0)


def test_waiting_clients_lookups_in_flight_and_negative_results_are_bounded(clients: UnknownClients) -> None:
    clients.queue_lookup(CLIENT, 1020.0)
    for number in range(50):
        clients.queue_lookup(f"10.1.0.{number}", 1020.0)
    assert clients.waiting_count == 4 and clients.lookups_dropped == 47
    assert clients.start_next_lookup(1030.0) and clients.start_next_lookup(1030.0)
    assert clients.start_next_lookup(1030.0) is None  # two are in flight
    clients.abort_lookups()
    for number in range(9):
        clients.finish_lookup(f"10.2.0.{number}", False, 1040.0)
    assert clients.negative_cache_size == 3
    clients.clear_negative_cache()
    assert clients.negative_cache_size == 0


def test_lookups_a_second_are_bounded() -> None:
    clients = UnknownClients(UnknownClientRules(max_in_flight=32, lookups_per_s=5.0, max_waiting=1000))
    sent = 0
    for now in range(0, 10_000, 10):
        clients.queue_lookup(f"10.{now // 2560}.{now // 10 % 256}.1", float(now))
        address = clients.start_next_lookup(float(now))
        if address:
            sent += 1
            clients.finish_lookup(address, True, float(now))
    assert sent <= 5 * 10 + 5


def test_a_lookup_searches_for_each_network_of_the_configured_prefix_lengths_and_the_address() -> None:
    search_filter = lookup_filter("10.1.2.3", "net", UnknownClientRules(ipv4_prefix_lengths=(8, 24, 32)))
    assert search_filter is not None
    values = [test.assertion_value for test in search_filter.filters if isinstance(test, Comparison)]
    assert len(values) == len(search_filter.filters)
    assert values == [b"10.0.0.0/8", b"10.1.2.0/24", b"10.1.2.3/32", b"10.1.2.3"]
    assert lookup_filter("nonsense", "net", UnknownClientRules()) is None
