"""TLS to a directory: certificates and host names are verified, with no fallback to clear text."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
import trustme
from support.directory_harness import DirectoryHarness

from emulators.directory import Capabilities

PASSWORD = "hunter2"
NewHarness = Callable[..., DirectoryHarness]


@pytest.fixture(scope="module")
def authority() -> trustme.CA:
    return trustme.CA()


def server_context(authority: trustme.CA, name: str, clients: trustme.CA | None = None) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert(name).configure_cert(context)
    if clients is not None:
        context.verify_mode = ssl.CERT_REQUIRED
        clients.configure_trust(context)
    return context


@pytest.fixture
def start(tmp_path: Path, authority: trustme.CA, monkeypatch: pytest.MonkeyPatch) -> Iterator[NewHarness]:
    monkeypatch.setenv("DIRECTORY_PASSWORD", PASSWORD)
    harnesses: list[DirectoryHarness] = []

    def start_harness(
        context: ssl.SSLContext | None,
        ldaps: bool,
        trusted: trustme.CA | None = None,
        extra: str = "",
        bind: str = 'dn = "cn=node"\n password_env = "DIRECTORY_PASSWORD"\n',
        tls: str = "",
    ) -> DirectoryHarness:
        ca = tmp_path / "ca.pem"
        (trusted or authority).cert_pem.write_to_path(str(ca))
        harness = DirectoryHarness(
            capabilities=Capabilities(passwords={"cn=node": PASSWORD}, tls=context, ldaps=ldaps)
        )
        harnesses.append(harness)
        urls = [u.replace("ldap:", "ldaps:") for u in harness.urls] if ldaps else harness.urls
        return harness.start(
            f"""operation = "2s"
          {"" if ldaps else "start_tls = true"}
          tls {{
            ca_file = "{ca}"
            {tls}
          }}
          bind {{
            {bind}
          }}
          {extra}""",
            servers=urls,
        )

    yield start_harness
    for harness in harnesses:
        harness.close()


@pytest.mark.parametrize("ldaps", [True, False])
def test_a_valid_certificate_is_accepted(start: NewHarness, authority: trustme.CA, ldaps: bool) -> None:
    harness = start(server_context(authority, "127.0.0.1"), ldaps)
    harness.wait_for_refresh()
    harness.directories[0].put("later", snowthreadQuota=1)
    harness.run(200.0)
    assert len(harness.tenant_names) == 11


@pytest.mark.parametrize("ldaps", [True, False])
@pytest.mark.parametrize("kind", ["wrong name", "wrong authority", "no TLS at all"])
def test_an_invalid_certificate_is_an_error_and_no_password_is_sent(
    start: NewHarness, authority: trustme.CA, ldaps: bool, kind: str
) -> None:
    from loguru import logger

    logged: list[str] = []
    sink = logger.add(lambda m: logged.append(str(m)), level=0)
    if kind == "no TLS at all":
        harness = start(None, False) if not ldaps else start(None, True)
    else:
        name = "10.9.9.9" if kind == "wrong name" else "127.0.0.1"
        harness = start(
            server_context(authority, name), ldaps, trustme.CA() if kind == "wrong authority" else None
        )
    harness.run(15_000.0)
    logger.remove(sink)
    assert not harness.tenant_names and harness.directories[0].bind_count == 0
    words = ["certificate"] if kind.startswith("wrong") else ["closed", "reset"] if ldaps else ["code 2"]
    assert any(word in line for line in logged for word in words), logged
    assert harness.replicator.connection_failures <= 8 and not any(PASSWORD in line for line in logged)


def test_the_certificate_may_prove_a_configured_name(start: NewHarness, authority: trustme.CA) -> None:
    harness = start(
        server_context(authority, "directory.example"), True, tls='server_name = "directory.example"'
    )
    harness.wait_for_refresh()


def test_an_external_bind_uses_the_clients_certificate(
    start: NewHarness, authority: trustme.CA, tmp_path: Path
) -> None:
    clients = trustme.CA()
    pem = tmp_path / "client.pem"
    clients.issue_cert("node.example").private_key_and_cert_chain_pem.write_to_path(str(pem))
    context = server_context(authority, "127.0.0.1", clients)
    harness = start(context, True, bind='method = "external"', tls=f'cert_file = "{pem}"')
    harness.wait_for_refresh()
    assert harness.directories[0].bind_count == 1


@pytest.mark.parametrize("at", [1, 200, 1500])
def test_a_stall_in_the_handshake_times_out(start: NewHarness, authority: trustme.CA, at: int) -> None:
    harness = start(
        server_context(authority, "127.0.0.1"), True, extra='bind_within = "1s"\n retry { open = "1s" }'
    )
    harness.directories[0].faults.stall_after_bytes = at
    harness.run(10_000.0)
    assert not harness.tenant_names and harness.replicator.connection_failures >= 2
    harness.directories[0].faults.stall_after_bytes = None
    harness.directories[0].wake_connections()
    harness.wait_for_refresh()
