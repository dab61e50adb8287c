"""TLS to a directory: certificates and names are verified; an invalid one never leads to clear text."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
import trustme
from support.directory_world import DirectoryWorld

from emulators.directory import Capabilities

PASSWORD = "hunter2"
NewWorld = Callable[..., DirectoryWorld]


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
def start(tmp_path: Path, authority: trustme.CA, monkeypatch: pytest.MonkeyPatch) -> Iterator[NewWorld]:
    monkeypatch.setenv("WORLD_PASSWORD", PASSWORD)
    worlds: list[DirectoryWorld] = []

    def begin(
        context: ssl.SSLContext | None,
        ldaps: bool,
        trusted: trustme.CA | None = None,
        more: str = "",
        bind: str = 'dn = "cn=node"\n password_env = "WORLD_PASSWORD"\n',
        tls: str = "",
    ) -> DirectoryWorld:
        ca = tmp_path / "ca.pem"
        (trusted or authority).cert_pem.write_to_path(str(ca))
        world = DirectoryWorld(
            capabilities=Capabilities(passwords={"cn=node": PASSWORD}, tls=context, ldaps=ldaps)
        )
        worlds.append(world)
        urls = [u.replace("ldap:", "ldaps:") for u in world.urls] if ldaps else world.urls
        return world.start(
            f"""operation = "2s"
          {"" if ldaps else "start_tls = true"}
          tls {{
            ca_file = "{ca}"
            {tls}
          }}
          bind {{
            {bind}
          }}
          {more}""",
            servers=urls,
        )

    yield begin
    for world in worlds:
        world.close()


@pytest.mark.parametrize("ldaps", [True, False])
def test_a_valid_certificate_is_accepted(start: NewWorld, authority: trustme.CA, ldaps: bool) -> None:
    world = start(server_context(authority, "127.0.0.1"), ldaps)
    world.wait_for_refresh()
    world.directories[0].put("later", snowthreadQuota=1)
    world.run(200.0)
    assert len(world.tenant_names) == 11


@pytest.mark.parametrize("ldaps", [True, False])
@pytest.mark.parametrize("kind", ["wrong name", "wrong authority", "no TLS at all"])
def test_an_invalid_certificate_is_an_error_and_no_password_is_sent(
    start: NewWorld, authority: trustme.CA, ldaps: bool, kind: str
) -> None:
    from loguru import logger

    logged: list[str] = []
    sink = logger.add(lambda m: logged.append(str(m)), level=0)
    if kind == "no TLS at all":
        world = start(None, False) if not ldaps else start(None, True)
    else:
        name = "10.9.9.9" if kind == "wrong name" else "127.0.0.1"
        world = start(
            server_context(authority, name), ldaps, trustme.CA() if kind == "wrong authority" else None
        )
    world.run(15_000.0)
    logger.remove(sink)
    assert not world.tenant_names and world.directories[0].binds == 0
    words = ["certificate"] if kind.startswith("wrong") else ["closed", "reset"] if ldaps else ["code 2"]
    assert any(word in line for line in logged for word in words), logged
    assert world.replicator.connection_failures <= 8 and not any(PASSWORD in line for line in logged)


def test_the_certificate_may_prove_a_configured_name(start: NewWorld, authority: trustme.CA) -> None:
    world = start(
        server_context(authority, "directory.example"), True, tls='server_name = "directory.example"'
    )
    world.wait_for_refresh()


def test_an_external_bind_uses_the_clients_certificate(
    start: NewWorld, authority: trustme.CA, tmp_path: Path
) -> None:
    clients = trustme.CA()
    pem = tmp_path / "client.pem"
    clients.issue_cert("node.example").private_key_and_cert_chain_pem.write_to_path(str(pem))
    context = server_context(authority, "127.0.0.1", clients)
    world = start(context, True, bind='method = "external"', tls=f'cert_file = "{pem}"')
    world.wait_for_refresh()
    assert world.directories[0].binds == 1


@pytest.mark.parametrize("at", [1, 200, 1500])
def test_a_stall_in_the_handshake_times_out(start: NewWorld, authority: trustme.CA, at: int) -> None:
    world = start(
        server_context(authority, "127.0.0.1"), True, more='bind_within = "1s"\n retry { open = "1s" }'
    )
    world.directories[0].faults.stall_at = at
    world.run(10_000.0)
    assert not world.tenant_names and world.replicator.connection_failures >= 2
    world.directories[0].faults.stall_at = None
    world.directories[0].wake_connections()
    world.wait_for_refresh()
