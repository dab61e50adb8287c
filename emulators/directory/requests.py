"""Answer the requests of one connection: bind, search, content synchronisation."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from emulators.directory import ber, protocol
from emulators.directory.ber import Node
from emulators.directory.content import Content
from emulators.directory.entries import Entry, matches
from emulators.directory.protocol import EntryState, Operation, ResultCode

if TYPE_CHECKING:
    from emulators.directory.connection import Connection
    from emulators.directory.server import Directory

SCOPE_BASE = 0
SASL = 3
SIMPLE = 0
SYNC_ID_SET = 3  # context tags of an intermediate message
REFRESH_DELETE, REFRESH_PRESENT = 1, 2


class NextStep(Enum):
    """What the connection does after a request."""

    READ = 0
    START_TLS = 1
    CLOSE = 2


class _Search(NamedTuple):
    """A search request: its id, the entries that it matches, the filter, and its controls by OID."""

    message_id: int
    found: list[Entry]
    test: Node
    controls: dict[str, bytes]


class RequestHandler:
    """Answers the requests of one connection."""

    def __init__(self, directory: Directory, connection: Connection) -> None:
        self._directory = directory
        self._connection = connection

    def handle(self, parts: list[Node]) -> NextStep:
        """Answer a message, given its parts: id, operation, and controls if there are any."""
        message_id, (_, operation, value) = parts[0].value, parts[1]
        match operation:
            case Operation.BIND_REQUEST:
                self._bind(message_id, value)
            case Operation.UNBIND_REQUEST:
                return NextStep.CLOSE
            case Operation.SEARCH_REQUEST:
                self._directory.searches += 1
                self._search(message_id, value, _read_controls(parts))
            case Operation.ABANDON_REQUEST:
                abandoned = value if isinstance(value, int) else int.from_bytes(value)
                self._connection.persistent_searches.pop(abandoned, None)
            case Operation.EXTENDED_REQUEST if self._is_start_tls(value):
                accepted = protocol.extended_response(ResultCode.SUCCESS, oid=protocol.START_TLS)
                self._connection.send(message_id, accepted)
                return NextStep.START_TLS
            case _:
                unknown = protocol.extended_response(ResultCode.PROTOCOL_ERROR, "not known here")
                self._connection.send(message_id, unknown)
        return NextStep.READ

    def _is_start_tls(self, value: list[Node]) -> bool:
        return value[0].value.decode() == protocol.START_TLS and self._directory.capabilities.tls is not None

    def _bind(self, message_id: int, value: list[Node]) -> None:
        self._directory.binds += 1
        passwords = self._directory.capabilities.passwords
        name, (_, method, credentials) = value[1].value.decode(), value[2]
        accepted = (
            not passwords
            or method == SASL
            or (method == SIMPLE and passwords.get(name) == credentials.decode())
        )
        code = ResultCode.SUCCESS if accepted else ResultCode.INVALID_CREDENTIALS
        code_sent = self._directory.faults.bind_code or code
        self._connection.send(message_id, protocol.result(Operation.BIND_RESPONSE, code_sent))

    def _search(self, message_id: int, value: list[Node], controls: dict[str, bytes]) -> None:
        directory = self._directory
        if directory.faults.search_code:
            self._end_search(message_id, directory.faults.search_code)
            return
        base, scope, test = value[0].value.decode(), value[1].value, value[6]
        if scope == SCOPE_BASE:
            self._read_entry(message_id, base)
            return
        found = [entry for entry in directory.entries.values() if matches(test, entry)]
        search = _Search(message_id, found, test, controls)
        if protocol.SYNC_REQUEST in controls:
            if directory.capabilities.sync:
                self._synchronise(search)
            else:
                self._end_search(message_id, ResultCode.UNAVAILABLE_CRITICAL_EXTENSION)
        elif protocol.PAGED_RESULTS in controls:
            if directory.capabilities.paging:
                self._send_page(search)
            else:
                self._end_search(message_id, ResultCode.UNAVAILABLE_CRITICAL_EXTENSION)
        else:
            self._send_all(search)

    def _end_search(self, message_id: int, code: int, text: str = "") -> None:
        self._connection.send(message_id, protocol.search_done(code, text))

    def _read_entry(self, message_id: int, dn: str) -> None:
        entry = self._directory.entries.get(dn)
        if entry is not None:
            self._connection.send_encoded(message_id, entry.encode())
        exists = entry is not None or dn == self._directory.base
        self._end_search(message_id, ResultCode.SUCCESS if exists else ResultCode.NO_SUCH_OBJECT)

    def _send_all(self, search: _Search) -> None:
        limit = self._directory.faults.size_limit
        for entry in search.found[: limit or None]:
            self._connection.send_encoded(search.message_id, entry.encode())
        exceeded = limit and len(search.found) > limit
        code = ResultCode.SIZE_LIMIT_EXCEEDED if exceeded else ResultCode.SUCCESS
        self._end_search(search.message_id, code)

    def _send_page(self, search: _Search) -> None:
        size_node, cookie_node = ber.decode(search.controls[protocol.PAGED_RESULTS]).value
        start = int(cookie_node.value or b"0")
        end = start + size_node.value
        for entry in search.found[start:end]:
            self._connection.send_encoded(search.message_id, entry.encode())
        next_cookie = str(end) if end < len(search.found) else ""
        page = ber.sequence(ber.integer(len(search.found)), ber.octets(next_cookie))
        self._connection.send(
            search.message_id,
            protocol.search_done(ResultCode.SUCCESS),
            [protocol.control(protocol.PAGED_RESULTS, page)],
        )

    # Content synchronisation (RFC 4533).

    def _synchronise(self, search: _Search) -> None:
        directory, limit = self._directory, self._directory.faults.size_limit
        mode_node, *options = ber.decode(search.controls[protocol.SYNC_REQUEST]).value
        cookie = next((node.value for node in options if node.number == ber.OCTET_STRING), None)
        known = Content.read_cookie(cookie)
        if cookie is not None and known < directory.oldest_cookie:
            self._end_search(search.message_id, ResultCode.SYNC_REFRESH_REQUIRED)
            return
        if limit and len(search.found) > limit:
            for entry in search.found[:limit]:
                self._connection.send_entry_state(search.message_id, entry, EntryState.ADD)
            self._end_search(search.message_id, ResultCode.SIZE_LIMIT_EXCEEDED)
            return
        for entry in search.found:
            if entry.change_number > known:
                self._connection.send_entry_state(search.message_id, entry, EntryState.ADD)
        names_deleted = cookie is not None
        if names_deleted:
            self._send_deleted(search.message_id, known)
        self._end_refresh(search, mode_node.value, names_deleted)

    def _send_deleted(self, message_id: int, known: int) -> None:
        deleted = [uuid for uuid, number in self._directory.removed.items() if number > known]
        if deleted:
            uuids = ber.set_of(*(ber.octets(uuid) for uuid in deleted))
            id_set = ber.context(SYNC_ID_SET, ber.boolean(True), uuids)
            self._connection.send(message_id, protocol.sync_info(id_set))

    def _end_refresh(self, search: _Search, mode: int, names_deleted: bool) -> None:
        cookie = ber.octets(self._directory.cookie())
        if mode != protocol.REFRESH_AND_PERSIST:
            flags = [ber.boolean(True)] if names_deleted else []
            done = protocol.control(protocol.SYNC_DONE, ber.sequence(cookie, *flags))
            self._connection.send(search.message_id, protocol.search_done(ResultCode.SUCCESS), [done])
        elif self._directory.capabilities.persist:
            phase = ber.context(REFRESH_DELETE if names_deleted else REFRESH_PRESENT, cookie)
            self._connection.send(search.message_id, protocol.sync_info(phase))
            self._connection.persistent_searches[search.message_id] = search.test
        else:
            self._end_search(search.message_id, ResultCode.UNWILLING_TO_PERFORM, "no persistence here")


def _read_controls(parts: list[Node]) -> dict[str, bytes]:
    """Return the values of a message's controls by OID."""
    if len(parts) < 3:
        return {}
    return {control.value[0].value.decode(): control.value[-1].value for control in parts[2].value}
