"""Answer the searches of one connection: plain ones, pages (RFC 2696) and synchronisation (RFC 4533)."""

from __future__ import annotations

from typing import NamedTuple

from emulators.directory import ber, protocol
from emulators.directory.ber import Node
from emulators.directory.content import Content
from emulators.directory.entries import Entry, matches
from emulators.directory.protocol import EntryState, ResultCode
from emulators.directory.responses import ResponseWriter
from emulators.directory.state import DirectoryState

SCOPE_BASE = 0
REFRESH_DELETE = 1  # context tags of a sync info message
REFRESH_PRESENT = 2
SYNC_ID_SET = 3


class _Search(NamedTuple):
    """A search request: its id, the entries that it matches, the filter, and its controls by OID."""

    message_id: int
    found: list[Entry]
    test: Node
    controls: dict[str, bytes]


class SearchHandler:
    """Answers the searches of one connection, and reports changes to those that persist."""

    def __init__(self, directory: DirectoryState, responses: ResponseWriter) -> None:
        self._directory = directory
        self._responses = responses
        self._persistent_searches: dict[int, Node] = {}  # message id -> filter

    def search(self, message_id: int, value: list[Node], controls: dict[str, bytes]) -> None:
        """Answer a search request, given its fields and the values of its controls by OID."""
        directory = self._directory
        directory.search_count += 1
        if directory.faults.search_code:
            self._end_search(message_id, directory.faults.search_code)
            return
        base = value[0].value.decode()
        scope = value[1].value
        test = value[6]
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

    def abandon(self, message_id: int) -> None:
        """Report no more changes to a search."""
        self._persistent_searches.pop(message_id, None)

    def notify_change(self, entry: Entry, state: EntryState) -> None:
        """Report a change to the searches that persist and match it."""
        for message_id, test in self._persistent_searches.items():
            if state is EntryState.DELETE or matches(test, entry):
                self._responses.send_entry_state(message_id, entry, state, self._directory.cookie())

    def _end_search(self, message_id: int, code: int, text: str = "") -> None:
        self._responses.send(message_id, protocol.search_done(code, text))

    def _read_entry(self, message_id: int, dn: str) -> None:
        entry = self._directory.entries.get(dn)
        if entry is not None:
            self._responses.send_encoded(message_id, entry.encode())
        exists = entry is not None or dn == self._directory.base
        self._end_search(message_id, ResultCode.SUCCESS if exists else ResultCode.NO_SUCH_OBJECT)

    def _send_all(self, search: _Search) -> None:
        limit = self._directory.faults.size_limit
        for entry in search.found[: limit or None]:
            self._responses.send_encoded(search.message_id, entry.encode())
        exceeded = limit and len(search.found) > limit
        code = ResultCode.SIZE_LIMIT_EXCEEDED if exceeded else ResultCode.SUCCESS
        self._end_search(search.message_id, code)

    def _send_page(self, search: _Search) -> None:
        size_node, cookie_node = ber.decode(search.controls[protocol.PAGED_RESULTS]).value
        start = int(cookie_node.value or b"0")
        end = start + size_node.value
        for entry in search.found[start:end]:
            self._responses.send_encoded(search.message_id, entry.encode())
        next_cookie = str(end) if end < len(search.found) else ""
        page = ber.sequence(ber.integer(len(search.found)), ber.octets(next_cookie))
        self._responses.send(
            search.message_id,
            protocol.search_done(ResultCode.SUCCESS),
            [protocol.control(protocol.PAGED_RESULTS, page)],
        )

    def _synchronise(self, search: _Search) -> None:
        directory = self._directory
        limit = directory.faults.size_limit
        mode_node, *options = ber.decode(search.controls[protocol.SYNC_REQUEST]).value
        cookie = next((node.value for node in options if node.number == ber.OCTET_STRING), None)
        known = Content.read_cookie(cookie)
        if cookie is not None and known < directory.oldest_cookie:
            self._end_search(search.message_id, ResultCode.SYNC_REFRESH_REQUIRED)
            return
        if limit and len(search.found) > limit:
            for entry in search.found[:limit]:
                self._responses.send_entry_state(search.message_id, entry, EntryState.ADD)
            self._end_search(search.message_id, ResultCode.SIZE_LIMIT_EXCEEDED)
            return
        for entry in search.found:
            if entry.change_number > known:
                self._responses.send_entry_state(search.message_id, entry, EntryState.ADD)
        names_deleted = cookie is not None
        if names_deleted:
            self._send_deleted(search.message_id, known)
        self._end_refresh(search, mode_node.value, names_deleted)

    def _send_deleted(self, message_id: int, known: int) -> None:
        deleted = [uuid for uuid, number in self._directory.removed.items() if number > known]
        if deleted:
            uuids = ber.set_of(*(ber.octets(uuid) for uuid in deleted))
            id_set = ber.context(SYNC_ID_SET, ber.boolean(True), uuids)
            self._responses.send(message_id, protocol.sync_info(id_set))

    def _end_refresh(self, search: _Search, mode: int, names_deleted: bool) -> None:
        cookie = ber.octets(self._directory.cookie())
        if mode != protocol.REFRESH_AND_PERSIST:
            flags = [ber.boolean(True)] if names_deleted else []
            done = protocol.control(protocol.SYNC_DONE, ber.sequence(cookie, *flags))
            self._responses.send(search.message_id, protocol.search_done(ResultCode.SUCCESS), [done])
        elif self._directory.capabilities.persist:
            phase = ber.context(REFRESH_DELETE if names_deleted else REFRESH_PRESENT, cookie)
            self._responses.send(search.message_id, protocol.sync_info(phase))
            self._persistent_searches[search.message_id] = search.test
        else:
            self._end_search(search.message_id, ResultCode.UNWILLING_TO_PERFORM, "no persistence here")
