"""LDAP's bytes: what the client writes the stand-in reads, and the other way round; nothing else passes."""

from __future__ import annotations

import asn1
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emulators import directory as other
from snowthread.ldap import controls as c
from snowthread.ldap import dn, filters, url
from snowthread.ldap import messages as m
from snowthread.ldap.ber import Bounds, MalformedError, check, frame_length
from snowthread.ldap.session import Session, SessionEnded, SessionState, SessionStateError

BOUNDS = Bounds()
WORDS = st.text(max_size=12)


def read_by_other(data: bytes) -> list[other.Node]:
    decoder = asn1.Decoder()
    decoder.start(data)
    return other.read_nodes(decoder)[0][2]


def entry(number: int, name: str, values: list[str]) -> bytes:
    attributes = (0, 16, [(0, 16, [other.octets("cn"), (0, 17, [other.octets(v) for v in values])])])
    return other.pack((0, 16, [(0, 2, number), (0x40, 4, [other.octets(name), attributes])]))


def done(number: int, code: int = 0) -> bytes:
    return other.pack((0, 16, [(0, 2, number), other.result(5, code, "as asked")]))


def searching() -> Session:
    session = Session()
    session.send(m.SearchRequest("dc=x", m.Scope.SUB, filters.parse("(cn=*)"), ("cn",)))
    return session


@given(st.lists(st.tuples(WORDS, st.lists(WORDS, max_size=3)), max_size=4), st.data())
@settings(max_examples=60, deadline=None)
def test_any_split_of_the_bytes_reads_the_same(
    entries: list[tuple[str, list[str]]], data: st.DataObject
) -> None:
    wire = b"".join(entry(1, name, values) for name, values in entries) + done(1)
    whole = searching().receive(wire)
    assert [x.response.dn for x in whole[:-1]] == [name for name, _ in entries]
    assert isinstance(whole[-1].response, m.SearchResultDone)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(wire)), max_size=6)))
    session, pieces = searching(), []
    for a, b in zip([0, *cuts], [*cuts, len(wire)], strict=True):
        pieces += session.receive(wire[a:b])
    assert pieces == whole and session.buffered_bytes == 0


@given(st.binary(max_size=300))
@settings(max_examples=300, deadline=None)
def test_garbage_ends_the_session_or_waits_and_raises_nothing(data: bytes) -> None:
    session = searching()
    out = session.receive(data)
    broken = [x for x in out if isinstance(x, SessionEnded)]
    assert len(broken) <= 1 and (session.state is SessionState.CLOSED) == bool(broken)


@given(st.data())
@settings(max_examples=200, deadline=None)
def test_a_flipped_byte_is_read_or_refused_but_never_raises(data: st.DataObject) -> None:
    wire = bytearray(entry(1, "cn=a,dc=x", ["b", "c"]) + done(1))
    wire[data.draw(st.integers(0, len(wire) - 1))] ^= data.draw(st.integers(1, 255))
    for got in searching().receive(bytes(wire)):
        assert isinstance(got, m.Message | SessionEnded)


def test_every_truncation_of_a_frame_waits_for_the_rest() -> None:
    wire = entry(1, "cn=a,dc=x", ["b" * 200])
    for size in range(len(wire)):
        session = searching()
        assert session.receive(wire[:size]) == [] and session.state is SessionState.READY
        assert len(session.receive(wire[size:])) == 1


@pytest.mark.parametrize(
    ("head", "word"),
    [
        (b"\x30\x84\xc0\x00\x00\x00", "3221225472"),
        (b"\x30\x85\x01", "5 octets"),
        (b"\x30\x80", "indefinite"),
        (b"\x02\x01", "0x30"),
        (b"HTTP/1.1 400", "0x30"),
    ],
)
def test_a_hostile_head_is_refused_before_anything_is_buffered(head: bytes, word: str) -> None:
    session = searching()
    (broken,) = session.receive(head)
    assert isinstance(broken, SessionEnded) and word in broken.reason
    assert (
        session.buffered_bytes == 0 and session.receive(b"x" * 100_000) == [] and session.buffered_bytes == 0
    )


def test_depth_and_elements_are_bounded_and_children_stay_in_their_parents() -> None:
    deep = b""
    for _ in range(60):
        deep = b"\x30" + (bytes([len(deep)]) if len(deep) < 128 else b"\x81" + bytes([len(deep)])) + deep
    with pytest.raises(MalformedError, match="deeper"):
        check(deep, BOUNDS)
    many = b"\x30\x82\x9c\x42" + b"\x05\x00" * 20_001
    with pytest.raises(MalformedError, match="elements"):
        check(many, BOUNDS)
    with pytest.raises(MalformedError, match="reaches out"):
        check(b"\x30\x04\x30\x04\x05\x00", BOUNDS)
    check(b"\x30\x04\x30\x02\x05\x00", BOUNDS)


def test_a_search_is_what_the_other_side_reads() -> None:
    request = m.SearchRequest(
        "dc=x",
        m.Scope.ONE,
        filters.parse("(&(a=1)(!(b=*))(c=x*y))"),
        ("cn", "sn"),
        7,
        9,
        (
            c.paged_results_control(50, b"k"),
            c.sync_request_control(c.SyncMode.REFRESH_AND_PERSIST, b"cookie"),
        ),
    )
    number, data = Session().send(request)
    told = read_by_other(data)
    assert told[0][2] == number == 1
    _, kind, v = told[1]
    assert kind == 3 and v[0][2] == b"dc=x" and (v[1][1], v[1][2]) == (10, 1)
    assert (v[3][2], v[4][2], v[5][2]) == (7, 9, False)
    assert [n[2] for n in v[7][2]] == [b"cn", b"sn"]
    item = other.Item("cn=q", b"", {"a": ["1"], "c": ["x--y"]}, 0)
    assert other.matches(v[6], item)
    item.attributes["b"] = ["2"]
    assert not other.matches(v[6], item)
    assert [n[2][0][2].decode() for n in told[2][2]] == [c.PAGED_OID, c.SYNC_REQUEST_OID]


def test_result_codes_of_later_documents_are_kept() -> None:
    (got,) = searching().receive(done(1, 4096))
    assert got.response.result == m.LdapResult(4096, "", "as asked")


def test_the_sessions_table() -> None:
    session = Session()
    number, _ = session.send(m.SimpleBindRequest("cn=a", m.Secret("pw")))
    for request in (
        m.UnbindRequest(),
        m.SearchRequest("", m.Scope.BASE, ("present", b"a")),
        m.SimpleBindRequest("", m.Secret("")),
    ):
        with pytest.raises(SessionStateError):
            session.send(request)
    bound = other.pack((0, 16, [(0, 2, number), other.result(1, 0)]))
    assert (
        isinstance(session.receive(bound)[0].response, m.BindResponse) and session.state is SessionState.READY
    )
    search, _ = session.send(m.SearchRequest("", m.Scope.BASE, ("present", b"a")))
    with pytest.raises(SessionStateError):
        session.send(m.SimpleBindRequest("", m.Secret("")))
    session.send(m.AbandonRequest(search))
    assert session.receive(entry(search, "cn=late", [])) == []  # crossed the abandon
    assert session.receive(done(search)) == [] and session.state is SessionState.READY
    (broken,) = session.receive(done(search))
    assert isinstance(broken, SessionEnded) and "nothing was asked" in broken.reason
    with pytest.raises(SessionStateError):
        session.send(m.UnbindRequest())


@pytest.mark.parametrize(
    ("wire", "word"),
    [
        (done(9), "nothing was asked"),
        (other.pack((0, 16, [(0, 2, 1), other.result(1, 0)])), "BindResponse answers a SearchRequest"),
        (
            other.pack((0, 16, [(0, 2, 0), other.result(24, 52, "", [(128, 10, other.NOTICE.encode())])])),
            "notice",
        ),
        (other.pack((0, 16, [(0, 2, 0), other.result(5, 0)])), "unsolicited"),
        (other.pack((0, 16, [(0, 2, 1), (0x40, 3, [])])), "not a message"),
    ],
)
def test_what_a_server_may_not_say_ends_the_session(wire: bytes, word: str) -> None:
    (broken,) = searching().receive(wire)
    assert isinstance(broken, SessionEnded) and word in broken.reason


def test_clear_text_behind_the_answer_to_start_tls_is_a_breach() -> None:
    # Somebody between could else put words into the mouth of the server before the stream is secured.
    answer = other.pack((0, 16, [(0, 2, 1), other.result(24, 0)]))
    session = Session()
    session.send(m.ExtendedRequest(m.START_TLS_OID))
    got = session.receive(answer + entry(1, "cn=forged", []))
    assert isinstance(got[-1], SessionEnded) and "clear text" in got[-1].reason
    session = Session()
    session.send(m.ExtendedRequest(m.START_TLS_OID))
    assert len(session.receive(answer)) == 1 and session.state is SessionState.HANDSHAKE
    with pytest.raises(SessionStateError):
        session.send(m.UnbindRequest())
    session.mark_secured()
    assert session.state is SessionState.READY


def test_values_of_controls_are_read_and_bounded() -> None:
    uuid = bytes(range(16))
    state = other.control(c.SYNC_STATE_OID, (0, 16, [(0, 10, 1), other.octets(uuid), other.octets(b"ck")]))
    found = (0x40, 4, [other.octets("cn=a"), (0, 16, [])])
    wire = other.pack((0, 16, [(0, 2, 1), found, (0x80, 0, [state])]))
    (got,) = searching().receive(wire)
    assert c.read_sync_state(got.response.controls) == c.SyncState(c.EntryState.ADD, uuid.hex(), b"ck")
    ids = other.pack((0x80, 3, [(0, 1, True), (0, 17, [other.octets(uuid)])]))
    assert c.read_sync_info(ids) == c.SyncIdSet(True, (uuid.hex(),), None)
    assert c.read_sync_info(other.pack((0x80, 2, []))) == c.RefreshPhase(False, None, True)
    assert c.read_sync_info(other.pack((0x80, 1, [(0, 1, False)]))) == c.RefreshPhase(True, None, False)
    for bad in (
        b"",
        b"\x30\x00",
        other.pack((0x80, 3, [(0, 17, [other.octets(b"short")])])),
        other.pack((0x80, 0, b"x" * 5000)),
    ):
        with pytest.raises(MalformedError):
            c.read_sync_info(bad)


def test_frame_lengths_are_told_from_the_head_alone() -> None:
    for size in (0, 5, 127, 128, 300, 70_000):
        frame = other.pack((0, 16, [other.octets(b"x" * size)]))
        assert frame_length(frame[:6], BOUNDS) == len(frame)


@pytest.mark.parametrize(
    ("text", "tree"),
    [
        ("(cn=Babs J ensen)", ("equalityMatch", {"attribute": b"cn", "value": b"Babs J ensen"})),
        (
            "(o=Parens R Us \\28for all\\29)",
            ("equalityMatch", {"attribute": b"o", "value": b"Parens R Us (for all)"}),
        ),
        ("(cn=*\\2A*)", ("substrings", {"type": b"cn", "parts": [("any", b"*")]})),
        ("(sn;lang-en~=x)", ("approxMatch", {"attribute": b"sn;lang-en", "value": b"x"})),
        ("(seeAlso=)", ("equalityMatch", {"attribute": b"seeAlso", "value": b""})),
        ("(1.2.3=\\04\\02\\48\\69)", ("equalityMatch", {"attribute": b"1.2.3", "value": b"\x04\x02Hi"})),
        ("(|)", ("or", [])),
        ("(cn=*)", ("present", b"cn")),
        (
            "(cn:dn:2.4.6:=Dino)",
            ("extensibleMatch", {"type": b"cn", "rule": b"2.4.6", "dnAttributes": True, "value": b"Dino"}),
        ),
    ],
)
def test_filters_of_rfc_4515(text: str, tree: m.FilterTree) -> None:
    assert filters.parse(text) == tree


@pytest.mark.parametrize(
    "text",
    [
        "",
        "cn=a",
        "(cn=a",
        "(cn=a))",
        "(=a)",
        "(cn=a**b)",
        "(cn>=*)",
        "(cn=\\2)",
        "(!(a=b)(c=d))",
        "(:=x)",
        "(" * 40 + "a=b" + ")" * 40,
        "(cn=\x00)",
    ],
)
def test_what_is_no_filter_is_refused(text: str) -> None:
    with pytest.raises(filters.FilterError):
        filters.parse(text)


@given(st.binary(max_size=20))
def test_an_escaped_value_comes_back(value: bytes) -> None:
    text = f"(cn={filters.escape(value)})"
    assert filters.parse(text) == ("equalityMatch", {"attribute": b"cn", "value": value})


def test_names_compare_as_directories_do() -> None:
    base = dn.parse("ou=Tenants, dc=Example")
    assert dn.parse("CN=a\\2c b,OU=tenants,DC=EXAMPLE").is_below(base)
    assert dn.parse("cn=x+sn=y,ou=a").key == dn.parse("SN=Y+cn=X,OU=A").key
    assert not dn.parse("ou=tenants,dc=example,dc=com").is_below(base)
    assert dn.parse("cn=a,dc=x").is_below(dn.parse("")) and not dn.parse("").is_below(base)
    assert dn.parse("cn=a  b").key == dn.parse("cn=a b").key != dn.parse("cn=ab").key
    plain = dn.parse("ou=tenants,dc=example")
    assert dn.is_plainly_below("cn=X,OU=Tenants,dc=example", plain)
    for text in (
        "cn=x\\,ou=tenants,dc=example",
        "cn=x,ou=tenants, dc=example",
        "ou=tenants,dc=example",
        "cn=xou=tenants,dc=example",
    ):
        assert not dn.is_plainly_below(text, plain)
    for bad in ("cn", "=a", "cn=a,,cn=b", "cn=a\\", "cn=a;b", "cn=" + "x" * 5000):
        with pytest.raises(dn.DnError):
            dn.parse(bad)


def test_urls_of_rfc_4516() -> None:
    got = url.parse("ldap://[2001:db8::7]/c=GB?objectClass,cn?one?(cn=a%2a)")
    assert (got.host, got.port, got.base, got.scope) == ("2001:db8::7", 389, "c=GB", m.Scope.ONE)
    assert got.attributes == ("objectClass", "cn") and got.server == "ldap://[2001:db8::7]:389"
    assert url.parse("ldaps://10.0.0.1").port == 636
    for bad in (
        "http://10.0.0.1",
        "ldap://u@10.0.0.1",
        "ldap://10.0.0.1/x",
        "ldap://10.0.0.1/??all",
        "ldap://10.0.0.1/????!ext",
        "ldap://10.0.0.1:0x",
        "ldap://10.0.0.1/???(a",
    ):
        with pytest.raises(url.UrlError):
            url.parse(bad)
    with pytest.raises(url.UrlError, match="numeric"):
        _ = url.parse("ldap://directory.example").address


def test_a_secret_shows_itself_nowhere() -> None:
    bind = m.SimpleBindRequest("cn=a", m.Secret("hunter2"))
    assert "hunter2" not in repr(bind) and "hunter2" not in f"{bind}" and b"hunter2" in m.encode(1, bind)
