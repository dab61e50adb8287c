"""LDAP encoding: the client and the emulated directory interoperate, and invalid bytes are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emulators.directory import Entry, ber, matches, protocol
from emulators.directory.protocol import Operation
from snowthread.ldap import controls, filters
from snowthread.ldap.ber import MalformedMessageError, MessageLimits, check_structure, frame_length
from snowthread.ldap.message_codec import encode
from snowthread.ldap.messages import (
    START_TLS_OID,
    AbandonRequest,
    BindResponse,
    ExtendedRequest,
    LdapResult,
    Message,
    Response,
    Scope,
    SearchRequest,
    SearchResultDone,
    SearchResultEntry,
    Secret,
    SimpleBindRequest,
    UnbindRequest,
)
from snowthread.ldap.search_filter import Present
from snowthread.ldap.session import Session, SessionEnded, SessionState, SessionStateError

LIMITS = MessageLimits()
WORDS = st.text(max_size=12)
PRESENT = Present(b"a")
UUID = bytes(range(16))


def message(message_id: int, operation: ber.Node, *message_controls: ber.Node) -> bytes:
    return protocol.message(message_id, ber.encode(operation), message_controls)


def entry(message_id: int, name: str, values: list[str]) -> bytes:
    return message(message_id, Entry(name, b"", {"cn": values}, 0).node())


def done(message_id: int, code: int = 0) -> bytes:
    return message(message_id, protocol.search_done(code, "as asked"))


def bind_response(message_id: int) -> bytes:
    return message(message_id, protocol.result(Operation.BIND_RESPONSE, 0))


def searching_session() -> Session:
    session = Session()
    session.send(SearchRequest("dc=x", Scope.SUB, filters.parse("(cn=*)"), ("cn",)))
    return session


def response_of(received: Message | SessionEnded) -> Response:
    assert isinstance(received, Message), received
    return received.response


@given(st.lists(st.tuples(WORDS, st.lists(WORDS, max_size=3)), max_size=4), st.data())
@settings(max_examples=60, deadline=None)
def test_any_split_of_the_bytes_reads_the_same(
    entries: list[tuple[str, list[str]]], data: st.DataObject
) -> None:
    wire = b"".join(entry(1, name, values) for name, values in entries) + done(1)
    unsplit = searching_session().receive(wire)
    responses = [response_of(received) for received in unsplit]
    found = [response for response in responses if isinstance(response, SearchResultEntry)]
    assert [response.object_name for response in found] == [name for name, _ in entries]
    assert len(responses) == len(found) + 1 and isinstance(responses[-1], SearchResultDone)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(wire)), max_size=6)))
    session = searching_session()
    pieces: list[Message | SessionEnded] = []
    for start, end in zip([0, *cuts], [*cuts, len(wire)], strict=True):
        pieces += session.receive(wire[start:end])
    assert pieces == unsplit and session.buffered_bytes == 0


@given(st.binary(max_size=300))
@settings(max_examples=300, deadline=None)
def test_garbage_ends_the_session_or_waits_and_raises_nothing(data: bytes) -> None:
    session = searching_session()
    ends = [received for received in session.receive(data) if isinstance(received, SessionEnded)]
    assert len(ends) <= 1 and (session.state is SessionState.CLOSED) == bool(ends)


@given(st.data())
@settings(max_examples=200, deadline=None)
def test_a_flipped_byte_is_read_or_rejected_but_never_raises(data: st.DataObject) -> None:
    wire = bytearray(entry(1, "cn=a,dc=x", ["b", "c"]) + done(1))
    wire[data.draw(st.integers(0, len(wire) - 1))] ^= data.draw(st.integers(1, 255))
    for received in searching_session().receive(bytes(wire)):
        assert isinstance(received, Message | SessionEnded)


def test_every_truncation_of_a_frame_waits_for_the_rest() -> None:
    wire = entry(1, "cn=a,dc=x", ["b" * 200])
    for size in range(len(wire)):
        session = searching_session()
        assert session.receive(wire[:size]) == [] and session.state is SessionState.READY
        assert len(session.receive(wire[size:])) == 1


@pytest.mark.parametrize(
    ("head", "text"),
    [
        (b"\x30\x84\xc0\x00\x00\x00", "3221225472"),
        (b"\x30\x85\x01", "5 octets"),
        (b"\x30\x80", "indefinite"),
        (b"\x02\x01", "0x30"),
        (b"HTTP/1.1 400", "0x30"),
    ],
)
def test_a_hostile_head_is_rejected_before_anything_is_buffered(head: bytes, text: str) -> None:
    session = searching_session()
    (ended,) = session.receive(head)
    assert isinstance(ended, SessionEnded) and text in ended.reason
    assert session.buffered_bytes == 0
    assert session.receive(b"x" * 100_000) == [] and session.buffered_bytes == 0


def test_depth_and_elements_are_bounded_and_children_stay_in_their_parents() -> None:
    deep = b""
    for _ in range(60):
        deep = b"\x30" + (bytes([len(deep)]) if len(deep) < 128 else b"\x81" + bytes([len(deep)])) + deep
    with pytest.raises(MalformedMessageError, match="deeper"):
        check_structure(deep, LIMITS)
    many = b"\x30\x82\x9c\x42" + b"\x05\x00" * 20_001
    with pytest.raises(MalformedMessageError, match="elements"):
        check_structure(many, LIMITS)
    with pytest.raises(MalformedMessageError, match="extends beyond its parent"):
        check_structure(b"\x30\x04\x30\x04\x05\x00", LIMITS)
    check_structure(b"\x30\x04\x30\x02\x05\x00", LIMITS)


def test_the_emulator_decodes_a_search_as_the_client_encoded_it() -> None:
    request = SearchRequest(
        "dc=x",
        Scope.ONE,
        filters.parse("(&(a=1)(!(b=*))(c=x*y))"),
        ("cn", "sn"),
        7,
        9,
        (
            controls.paged_results_control(50, b"k"),
            controls.sync_request_control(controls.SyncMode.REFRESH_AND_PERSIST, b"cookie"),
        ),
    )
    message_id, data = Session().send(request)
    id_node, operation, control_nodes = ber.decode(data).value
    assert id_node.value == message_id == 1
    assert operation.number == Operation.SEARCH_REQUEST
    base, scope, _deref, size_limit, time_limit, types_only, test, names = operation.value
    assert base.value == b"dc=x" and (scope.number, scope.value) == (ber.ENUMERATED, 1)
    assert (size_limit.value, time_limit.value, types_only.value) == (7, 9, False)
    assert [name.value for name in names.value] == [b"cn", b"sn"]
    candidate = Entry("cn=q", b"", {"a": ["1"], "c": ["x--y"]}, 0)
    assert matches(test, candidate)
    candidate.attributes["b"] = ["2"]
    assert not matches(test, candidate)
    oids = [control.value[0].value.decode() for control in control_nodes.value]
    assert oids == [controls.PAGED_RESULTS_OID, controls.SYNC_REQUEST_OID]


@pytest.mark.parametrize(
    ("text", "encoded"),
    [
        ("(a=b)", "a306040161040162"),
        ("(a>=b)", "a506040161040162"),
        ("(a<=b)", "a606040161040162"),
        ("(a~=b)", "a806040161040162"),
        ("(a=*)", "870161"),
        ("(a=b*c*d)", "a40e0401613009800162810163820164"),
        ("(a=*b*)", "a4080401613003810162"),
        ("(!(a=b))", "a208a306040161040162"),
        ("(&(a=b)(|(c=d)(e=*)))", "a015a306040161040162a10ba306040163040164870165"),
        ("(&)", "a000"),
        ("(|)", "a100"),
        ("(a:dn:1.2:=b)", "a90e8103312e328201618301628401ff"),
        ("(:1.2:=b)", "a9088103312e32830162"),
        ("(a:=b)", "a906820161830162"),
        ("(a:DN:=b)", "a9098201618301628401ff"),
        ("(sn;lang-en=\\28\\ff)", "a310040a736e3b6c616e672d656e040228ff"),
    ],
)
def test_each_kind_of_filter_is_encoded_as_its_choice(text: str, encoded: str) -> None:
    _, data = Session().send(SearchRequest("", Scope.BASE, filters.parse(text)))
    types_only = b"\x01\x01\x00"
    no_attributes = b"\x30\x00"
    assert data.endswith(types_only + bytes.fromhex(encoded) + no_attributes)


def test_unknown_result_codes_are_preserved() -> None:
    (received,) = searching_session().receive(done(1, 4096))
    response = response_of(received)
    assert isinstance(response, SearchResultDone)
    assert response.result == LdapResult(4096, "", "as asked")


def test_nothing_is_sent_before_the_response_to_a_bind() -> None:
    session = Session()
    message_id, _ = session.send(SimpleBindRequest("cn=a", Secret("pw")))
    for request in (
        UnbindRequest(),
        SearchRequest("", Scope.BASE, PRESENT),
        SimpleBindRequest("", Secret("")),
    ):
        with pytest.raises(SessionStateError):
            session.send(request)
    (received,) = session.receive(bind_response(message_id))
    assert isinstance(response_of(received), BindResponse) and session.state is SessionState.READY


def test_responses_to_an_abandoned_search_are_dropped_until_its_end() -> None:
    session = Session()
    search_id, _ = session.send(SearchRequest("", Scope.BASE, PRESENT))
    with pytest.raises(SessionStateError):
        session.send(SimpleBindRequest("", Secret("")))
    session.send(AbandonRequest(search_id))
    assert session.receive(entry(search_id, "cn=late", [])) == []  # sent before the abandon request arrived
    assert session.receive(done(search_id)) == [] and session.state is SessionState.READY
    (ended,) = session.receive(done(search_id))
    assert isinstance(ended, SessionEnded) and "which has no open request" in ended.reason
    with pytest.raises(SessionStateError):
        session.send(UnbindRequest())


@pytest.mark.parametrize(
    ("wire", "text"),
    [
        (done(9), "message id 9, which has no open request"),
        (bind_response(1), "received BindResponse in response to SearchRequest"),
        (
            message(0, protocol.extended_response(52, oid=protocol.NOTICE_OF_DISCONNECTION)),
            "notice",
        ),
        (message(0, protocol.search_done(0)), "unknown unsolicited notification"),
        (message(1, ber.application(Operation.SEARCH_REQUEST)), "message can't be decoded"),
    ],
)
def test_a_protocol_error_or_a_notice_ends_the_session(wire: bytes, text: str) -> None:
    (ended,) = searching_session().receive(wire)
    assert isinstance(ended, SessionEnded) and text in ended.reason


def test_clear_text_after_the_start_tls_response_is_a_protocol_error() -> None:
    # An attacker on the network path could otherwise inject messages before the stream is secured.
    accepted = message(1, protocol.extended_response(0))
    session = Session()
    session.send(ExtendedRequest(START_TLS_OID))
    received = session.receive(accepted + entry(1, "cn=forged", []))
    assert isinstance(received[-1], SessionEnded) and "clear text" in received[-1].reason


def test_nothing_is_sent_between_the_start_tls_response_and_the_handshake() -> None:
    session = Session()
    session.send(ExtendedRequest(START_TLS_OID))
    assert len(session.receive(message(1, protocol.extended_response(0)))) == 1
    assert session.state is SessionState.TLS_HANDSHAKE
    with pytest.raises(SessionStateError):
        session.send(UnbindRequest())
    session.complete_tls_handshake()
    secured_state: SessionState = session.state
    assert secured_state is SessionState.READY


def test_the_state_of_an_entry_is_read_from_its_control() -> None:
    state = protocol.control(
        controls.SYNC_STATE_OID,
        ber.sequence(ber.enumerated(1), ber.octets(UUID), ber.octets(b"ck")),
    )
    found = Entry("cn=a", UUID, {}, 0).name_node()
    (received,) = searching_session().receive(message(1, found, state))
    response = response_of(received)
    assert isinstance(response, SearchResultEntry)
    assert controls.read_sync_state(response.controls) == controls.SyncState(
        controls.EntryState.ADD, UUID.hex(), b"ck"
    )


def test_intermediate_messages_of_a_synchronisation_are_read() -> None:
    id_set = ber.encode(ber.context(3, ber.boolean(True), ber.set_of(ber.octets(UUID))))
    assert controls.read_sync_info(id_set) == controls.SyncIdSet(True, (UUID.hex(),), None)
    present_phase = ber.encode(ber.context(2))
    assert controls.read_sync_info(present_phase) == controls.RefreshPhase(False, None, True)
    delete_phase = ber.encode(ber.context(1, ber.boolean(False)))
    assert controls.read_sync_info(delete_phase) == controls.RefreshPhase(True, None, False)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\x30\x00",
        ber.encode(ber.context(3, ber.set_of(ber.octets(b"short")))),
        ber.encode(ber.context_octets(0, b"x" * 5000)),
    ],
    ids=["empty", "no choice", "short UUID", "long cookie"],
)
def test_a_bad_intermediate_message_is_an_error(value: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        controls.read_sync_info(value)


def test_the_length_of_a_frame_is_known_from_its_head() -> None:
    for size in (0, 5, 127, 128, 300, 70_000):
        frame = ber.encode(ber.sequence(ber.octets(b"x" * size)))
        assert frame_length(frame[:6], LIMITS) == len(frame)


def test_a_secret_is_sent_but_never_shown() -> None:
    bind = SimpleBindRequest("cn=a", Secret("hunter2"))
    assert "hunter2" not in repr(bind) and "hunter2" not in f"{bind}"
    assert b"hunter2" in encode(1, bind)
