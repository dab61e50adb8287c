"""The emulated directory conforms to LDAP: the client of an independent library (ldap3) can use it."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import ldap3
import pytest
from support.exchange import address, loopback

ROOT = Path(__file__).parents[2]
BASE = "ou=tenants,dc=example"


@pytest.fixture
def client() -> Iterator[ldap3.Connection]:
    with loopback(socket.SOCK_STREAM) as sock:
        server_address = address(sock)
    process = subprocess.Popen(
        [sys.executable, "-m", "emulators.directory", server_address],
        cwd=ROOT,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None and "5 tenants" in process.stdout.readline()
        host, _, port = server_address.rpartition(":")
        server = ldap3.Server(host, int(port), get_info=ldap3.NONE, connect_timeout=20)
        with ldap3.Connection(server, auto_bind=True, receive_timeout=20) as connection:
            yield connection
    finally:
        process.kill()
        process.communicate()


def test_a_search_applies_filters_and_returns_values(client: ldap3.Connection) -> None:
    assert client.search(
        BASE,
        "(&(objectClass=snowthreadTenant)(|(cn=Far*)(cn=*nte)(!(cn=*))))",
        attributes=["cn", "snowthreadNetwork"],
    )
    assert sorted(str(e.cn) for e in client.entries) == ["Farbhof", "Tinte"]
    assert str(client.entries[0].snowthreadNetwork) == "127.0.0.0/24"
    client.search(BASE, "(cn=nobody)")
    assert client.entries == [] and client.result["result"] == 0


def test_paged_results_return_each_entry_once(client: ldap3.Connection) -> None:
    found = list(client.extend.standard.paged_search(BASE, "(cn=*)", paged_size=2, attributes=["cn"]))
    assert len(found) == 5 and len({e["dn"] for e in found}) == 5


def test_a_refresh_returns_all_entries_and_a_done_control(client: ldap3.Connection) -> None:
    control = ("1.3.6.1.4.1.4203.1.9.1.1", True, bytes((0x30, 3, 0x0A, 1, 1)))
    client.search(BASE, "(cn=*)", attributes=["cn"], controls=[control])
    assert len(client.entries) == 5 and "1.3.6.1.4.1.4203.1.9.1.3" in client.result["controls"]
