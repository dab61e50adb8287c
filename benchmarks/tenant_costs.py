"""Measure the costs of tenants from a directory: lookups, identification, a full refresh, and decoding.

These are the parts ``look_up``, ``gate``, ``full_sync`` and ``codec`` of ``benchmarks.tenants``.
"""

from __future__ import annotations

import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from contextlib import ExitStack
from ipaddress import ip_network
from pathlib import Path

from benchmarks.programs import ROOT, reserve_address, run_program
from benchmarks.traffic_figures import quantile
from emulators.directory import Entry, protocol
from snowthread import config
from snowthread.core import events
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation
from snowthread.ldap import filters
from snowthread.ldap.messages import Scope, SearchRequest
from snowthread.ldap.session import Session
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop
from snowthread.operator.features import Features
from snowthread.tenants.identification import TenantIdentification
from snowthread.tenants.model import Tenant
from snowthread.tenants.replication import DirectoryReplicator
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantState
from snowthread.tenants.table import TenantTable

BYTES_PER_MIB = 2**20
BYTES_PER_MB = 1e6
MAX_REFRESH_S = 90.0
LOOP_STEP_S = 0.01
US_PER_S = 1e6
MS_PER_S = 1e3
READ_BYTES = 16384


def write_operator_file(folder: Path, directory_address: str) -> Path:
    """Write an operator's file that replicates tenants from this directory, and return its path."""
    path = folder / "tenants.hcl"
    path.write_text(f"""tenants {{
      servers = ["ldap://{directory_address}"]
      base = "ou=tenants,dc=example"
      probe = "1s"
      operation = "3s"
      staleness {{
        stale_after = "5s"
      }}
    }}
    """)
    return path


def tenant_settings(folder: Path, directory_address: str) -> TenantSettings:
    """Write an operator's file for this directory and return its tenant settings."""
    node = config.load({"NODE_CONFIG": str(ROOT / "examples" / "node.json")})
    settings = Features.load(write_operator_file(folder, directory_address), node).tenants
    assert settings is not None
    return settings


def make_tenants(count: int, networks: int) -> list[Tenant]:
    """Return ``count`` tenants that share ``networks`` networks evenly."""
    each = networks // count
    return [
        Tenant(
            f"{n:032x}",
            f"tenant {n}",
            quota_per_s=1.0 + n % 50,
            networks=tuple(ip_network((10 << 24 | (n * each + k) << 6, 26)) for k in range(each)),
        )
        for n in range(count)
    ]


def duration_s(action: Callable[[], object]) -> float:
    """Run an action and return its duration in s."""
    started_at_s = time.perf_counter()
    action()
    return time.perf_counter() - started_at_s


def table_memory_mb(tenants: list[Tenant]) -> float:
    """Return the memory in MiB that a table of these tenants takes, without the tenants themselves."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = TenantTable()
    table.apply(tenants)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return memory / BYTES_PER_MIB


def measure_lookups(
    generator: random.Random, tenant_count: int, networks: int, lookups: int
) -> dict[str, float]:
    """Measure the time of lookups with and without the cache, of changes, and of filling a table."""
    tenants = make_tenants(tenant_count, networks)
    memory_mb = table_memory_mb(tenants)
    table = TenantTable()
    build_s = duration_s(lambda: table.apply(tenants))
    changed = tenants[5]
    changes = [Tenant(changed.id, f"name {n}", networks=changed.networks) for n in range(200)]
    change_s = duration_s(lambda: [table.apply([tenant]) for tenant in changes])
    addresses = [
        f"10.{generator.randrange(96)}.{generator.randrange(256)}.{generator.randrange(256)}"
        for _ in range(lookups)
    ]
    uncached_s = duration_s(lambda: [table._identify_uncached(address, 5) for address in addresses])
    repeated = addresses[:500] * (lookups // 500)
    cached_s = duration_s(lambda: [table.identify(address, 5) for address in repeated])
    return {
        "cold_us": uncached_s / lookups * US_PER_S,
        "kept_us": cached_s / len(repeated) * US_PER_S,
        "build_ms": build_s * MS_PER_S,
        "change_us": change_s / len(changes) * US_PER_S,
        "table_mb_beside_the_entries": memory_mb,
    }


def measure_full_refresh(tenant_count: int, networks: int) -> dict[str, float]:
    """Measure a full refresh from a directory in another process, and the CPU time of the event loop's turns.

    It ends after ``MAX_REFRESH_S`` even if the refresh is not complete.
    """
    loop = EventLoop(Clock())
    size = (str(tenant_count), str(networks // tenant_count))
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        addresses = stack.enter_context(AddressReservation(ANY_HOST))
        address = reserve_address(addresses)
        stack.enter_context(
            run_program("-m", "emulators.directory", address, *size, ready=f"{tenant_count} tenants")
        )
        settings = tenant_settings(folder, address)
        tenants = TenantState(settings.rules)
        DirectoryReplicator(loop, settings, tenants, random.Random(1), lambda _changes: None)
        started_at_s = time.perf_counter()
        cpu_before_s = time.process_time()
        turns_ms: list[float] = []
        while not tenants.counters.refreshes or not len(tenants.table):
            turn_before_s = time.process_time()
            loop.run_once(LOOP_STEP_S)
            turns_ms.append((time.process_time() - turn_before_s) * MS_PER_S)
            if time.perf_counter() - started_at_s > MAX_REFRESH_S:
                break
        return {
            "seconds": time.perf_counter() - started_at_s,
            "cpu_s": time.process_time() - cpu_before_s,
            "tenants": len(tenants.table),
            "networks": tenants.table.network_count,
            "longest_turn_ms": max(turns_ms),
            "turn_p99_ms": quantile(turns_ms, 0.99),
        }


def measure_identification(generator: random.Random, requests: int) -> dict[str, float]:
    """Measure the time that the identification of its tenant adds to a request, in microseconds."""
    with tempfile.TemporaryDirectory() as folder:
        settings = tenant_settings(Path(folder), "127.0.0.1:1")
    passed: list[events.Event] = []
    identification = TenantIdentification(EventLoop(Clock()), settings, 1, passed.append)
    identification.tenant_state.table.apply(make_tenants(1_000, 10_000))
    addresses = [f"10.{generator.randrange(10)}.{generator.randrange(256)}.1" for _ in range(500)]
    identification._peer_address = lambda connection: addresses[connection]
    messages = [
        events.RequestReceived((n % 500, n), "0" * 16, "match", b"grey", 1.0, 1.0, 3, 20.0, 0.5)
        for n in range(requests)
    ]
    started_at_s = time.perf_counter()
    for message in messages:
        identification.handle(message)
    identified_s = time.perf_counter() - started_at_s
    started_at_s = time.perf_counter()
    for message in messages:
        identification._post(message)
    passed_on_s = time.perf_counter() - started_at_s
    return {"us_per_request": (identified_s - passed_on_s) / requests * US_PER_S}


def measure_decoding(count: int) -> dict[str, float]:
    """Measure how fast an LDAP session decodes ``count`` entries."""
    entry = Entry(
        "cn=Farbhof,ou=tenants,dc=example",
        b"x" * 16,
        {
            "objectClass": ["snowthreadTenant"],
            "cn": ["Farbhof"],
            "snowthreadQuota": ["20"],
            "snowthreadNetwork": [f"10.{n}.0.0/16" for n in range(10)],
        },
        1,
    )
    wire = protocol.message(1, entry.encode()) * count
    session = Session()
    session.send(SearchRequest("", Scope.SUB, filters.parse("(cn=*)")))
    started_at_s = time.perf_counter()
    decoded = sum(len(session.receive(wire[at : at + READ_BYTES])) for at in range(0, len(wire), READ_BYTES))
    seconds = time.perf_counter() - started_at_s
    assert decoded == count
    return {"mb_per_s": len(wire) / seconds / BYTES_PER_MB, "us_per_entry": seconds / count * US_PER_S}
