"""TLS to a directory: proven names and chains or nothing; a bad certificate never leads to clear text."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
import trustme
from support.directory_world import World

from emulators.directory import Habits

PASSWORD = "hunter2"


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
def start(
    tmp_path: Path, authority: trustme.CA, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Callable[..., World]]:
    monkeypatch.setenv("WORLD_PASSWORD", PASSWORD)
    made: list[World] = []

    def begin(
        context: ssl.SSLContext | None,
        ldaps: bool,
        trusted: trustme.CA | None = None,
        more: str = "",
        bind: str = 'dn = "cn=node"\n password_env = "WORLD_PASSWORD"\n',
        tls: str = "",
    ) -> World:
        ca = tmp_path / "ca.pem"
        (trusted or authority).cert_pem.write_to_path(str(ca))
        w = World(habits=Habits(passwords={"cn=node": PASSWORD}, tls=context, ldaps=ldaps))
        made.append(w)
        urls = [u.replace("ldap:", "ldaps:") for u in w.urls] if ldaps else w.urls
        return w.start(
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
    for world in made:
        world.close()


@pytest.mark.parametrize("ldaps", [True, False])
def test_a_good_certificate_is_let_through(
    start: Callable[..., World], authority: trustme.CA, ldaps: bool
) -> None:
    w = start(server_context(authority, "127.0.0.1"), ldaps)
    w.synced()
    w.directories[0].put("later", snowthreadQuota=1)
    w.run(200.0)
    assert len(w.names) == 11


@pytest.mark.parametrize("ldaps", [True, False])
@pytest.mark.parametrize("kind", ["wrong name", "wrong authority", "no TLS at all"])
def test_a_bad_one_is_an_error_and_no_password_is_sent(
    start: Callable[..., World], authority: trustme.CA, ldaps: bool, kind: str
) -> None:
    from loguru import logger

    logged: list[str] = []
    sink = logger.add(lambda m: logged.append(str(m)), level=0)
    if kind == "no TLS at all":
        w = start(None, False) if not ldaps else start(None, True)
    else:
        name = "10.9.9.9" if kind == "wrong name" else "127.0.0.1"
        w = start(server_context(authority, name), ldaps, trustme.CA() if kind == "wrong authority" else None)
    w.run(15_000.0)
    logger.remove(sink)
    assert not w.names and w.directories[0].binds == 0
    words = ["certificate"] if kind.startswith("wrong") else ["closed", "reset"] if ldaps else ["code 2"]
    assert any(word in line for line in logged for word in words), logged
    assert w.follower.connection_failures <= 8 and not any(PASSWORD in line for line in logged)


def test_a_name_may_be_set_for_the_certificate_to_prove(
    start: Callable[..., World], authority: trustme.CA
) -> None:
    w = start(server_context(authority, "directory.example"), True, tls='server_name = "directory.example"')
    w.synced()


def test_external_binds_by_the_clients_certificate(
    start: Callable[..., World], authority: trustme.CA, tmp_path: Path
) -> None:
    clients = trustme.CA()
    pem = tmp_path / "client.pem"
    clients.issue_cert("node.example").private_key_and_cert_chain_pem.write_to_path(str(pem))
    context = server_context(authority, "127.0.0.1", clients)
    w = start(context, True, bind='method = "external"', tls=f'cert_file = "{pem}"')
    w.synced()
    assert w.directories[0].binds == 1


@pytest.mark.parametrize("at", [1, 200, 1500])
def test_a_stall_in_the_handshake_ends_in_time(
    start: Callable[..., World], authority: trustme.CA, at: int
) -> None:
    w = start(server_context(authority, "127.0.0.1"), True, more='bind_within = "1s"\n retry { open = "1s" }')
    w.directories[0].faults.stall_at = at
    w.run(10_000.0)
    assert not w.names and w.follower.connection_failures >= 2
    w.directories[0].faults.stall_at = None
    w.directories[0].nudge()
    w.synced()
