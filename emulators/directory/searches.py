"""Answer the searches of one connection: plain, paged (RFC 2696) and synchronising ones (RFC 4533)."""

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
# Context tags of the kinds of a sync info message (RFC 4533).
REFRESH_DELETE = 1
REFRESH_PRESENT = 2
SYNC_ID_SET = 3


class _Search(NamedTuple):
    """A search request: its id, the entries that match, its filter, and the values of its controls by OID."""

    message_id: int
    matching: list[Entry]
    filter_node: Node
    controls: dict[str, bytes]


class SearchHandler:
    """Answers the searches of one connection, and reports changes to its persistent searches."""

    def __init__(self, directory: DirectoryState, responses: ResponseWriter) -> None:
        self._directory = directory
        self._responses = responses
        self._persistent_searches: dict[int, Node] = {}  # Filters of the persistent searches, by message id.

    def search(self, message_id: int, value: list[Node], controls: dict[str, bytes]) -> None:
        """Answer a search request.

        Args:
            message_id: Id of the request.
            value: Fields of the request.
            controls: Values of its controls by OID.
        """
        directory = self._directory
        directory.search_count += 1
        if directory.faults.search_code:
            self._end_search(message_id, directory.faults.search_code)
            return
        base = value[0].value.decode()
        scope = value[1].value
        filter_node = value[6]
        if scope == SCOPE_BASE:
            self._read_entry(message_id, base)
            return
        matching = [entry for entry in directory.entries.values() if matches(filter_node, entry)]
        search = _Search(message_id, matching, filter_node, controls)
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
        """End a persistent search: no more changes are reported to it."""
        self._persistent_searches.pop(message_id, None)

    def notify_change(self, entry: Entry, state: EntryState) -> None:
        """Report a deleted entry to all persistent searches, and a changed one to those that match it."""
        for message_id, filter_node in self._persistent_searches.items():
            if state is EntryState.DELETE or matches(filter_node, entry):
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
        for entry in search.matching[: limit or None]:
            self._responses.send_encoded(search.message_id, entry.encode())
        exceeded = limit and len(search.matching) > limit
        code = ResultCode.SIZE_LIMIT_EXCEEDED if exceeded else ResultCode.SUCCESS
        self._end_search(search.message_id, code)

    def _send_page(self, search: _Search) -> None:
        size_node, cookie_node = ber.decode(search.controls[protocol.PAGED_RESULTS]).value
        start = int(cookie_node.value or b"0")
        end = start + size_node.value
        for entry in search.matching[start:end]:
            self._responses.send_encoded(search.message_id, entry.encode())
        next_cookie = str(end) if end < len(search.matching) else ""
        page = ber.sequence(ber.integer(len(search.matching)), ber.octets(next_cookie))
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
        known_change = Content.read_cookie(cookie)
        if cookie is not None and known_change < directory.oldest_cookie:
            self._end_search(search.message_id, ResultCode.SYNC_REFRESH_REQUIRED)
            return
        if limit and len(search.matching) > limit:
            for entry in search.matching[:limit]:
                self._responses.send_entry_state(search.message_id, entry, EntryState.ADD)
            self._end_search(search.message_id, ResultCode.SIZE_LIMIT_EXCEEDED)
            return
        for entry in search.matching:
            if entry.change_number > known_change:
                self._responses.send_entry_state(search.message_id, entry, EntryState.ADD)
        sends_deletions = cookie is not None
        if sends_deletions:
            self._send_deleted(search.message_id, known_change)
        self._end_refresh(search, mode_node.value, sends_deletions)

    def _send_deleted(self, message_id: int, known_change: int) -> None:
        """Send the UUIDs of the entries that were removed after a change."""
        deleted = [uuid for uuid, number in self._directory.removed.items() if number > known_change]
        if deleted:
            uuids = ber.set_of(*(ber.octets(uuid) for uuid in deleted))
            id_set = ber.context(SYNC_ID_SET, ber.boolean(True), uuids)
            self._responses.send(message_id, protocol.sync_info(id_set))

    def _end_refresh(self, search: _Search, mode: int, sends_deletions: bool) -> None:
        """End the refresh stage; the search persists if its mode asks for that and the server supports it."""
        cookie = ber.octets(self._directory.cookie())
        if mode != protocol.REFRESH_AND_PERSIST:
            flags = [ber.boolean(True)] if sends_deletions else []
            done = protocol.control(protocol.SYNC_DONE, ber.sequence(cookie, *flags))
            self._responses.send(search.message_id, protocol.search_done(ResultCode.SUCCESS), [done])
        elif self._directory.capabilities.persist:
            phase = ber.context(REFRESH_DELETE if sends_deletions else REFRESH_PRESENT, cookie)
            self._responses.send(search.message_id, protocol.sync_info(phase))
            self._persistent_searches[search.message_id] = search.filter_node
        else:
            self._end_search(search.message_id, ResultCode.UNWILLING_TO_PERFORM, "no persistence here")
