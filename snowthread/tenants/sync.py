"""The state machine of directory synchronisation: turns a server's messages into changes, without I/O.

| state      | message or call                      | event and next state                             |
| ---------- | ------------------------------------ | ------------------------------------------------ |
| any        | call of start_refresh                | no event: REFRESHING                             |
| any        | call of reset                        | no event: IDLE; collected entries are dropped    |
| IDLE       | any message                          | no event: the message is ignored                 |
| REFRESHING | entry, id set, cookie                | no event: collected until the refresh ends       |
| REFRESHING | end of a page that is not the last   | NextPage: REFRESHING                             |
| REFRESHING | end of the refresh phase, in PERSIST | RefreshCompleted: FOLLOWING                      |
| REFRESHING | end of the search                    | RefreshCompleted, in PERSIST SearchEnded: IDLE   |
| REFRESHING | error                                | SearchEnded: IDLE; collected entries are dropped |
| FOLLOWING  | entry, id set of deleted entries     | EntriesChanged: FOLLOWING                        |
| FOLLOWING  | cookie; entries marked as present    | no event: a cookie is stored                     |
| FOLLOWING  | end of the search, error             | SearchEnded: IDLE                                |

An error is a failed result code, a protocol error, a missing control or an exceeded limit of the query.
PERSIST is one of the modes in ``replication_mode``. A cookie is used only after the refresh that brought it
has completed, and only at the server that sent it, since cookies are opaque (RFC 4533, section 2.1.2).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from snowthread.ldap import controls, dn
from snowthread.ldap.ber import MalformedMessageError
from snowthread.ldap.health import Reaction, reaction_to
from snowthread.ldap.messages import (
    IntermediateResponse,
    Response,
    SearchRequest,
    SearchResultDone,
    SearchResultEntry,
    SearchResultReference,
)
from snowthread.tenants.directory_query import DirectoryQuery
from snowthread.tenants.entry import BadEntry, read_tenant
from snowthread.tenants.model import Tenant
from snowthread.tenants.refresh_collector import RefreshCollector
from snowthread.tenants.replication_mode import ReplicationMode, ServerModes
from snowthread.tenants.sync_events import EntriesChanged, NextPage, RefreshCompleted, SearchEnded, SyncEvent

FIRST_PAGE = b""  # the cookie that requests the first page (RFC 2696, section 3)
_SYNC_MODES = {
    ReplicationMode.PERSIST: controls.SyncMode.REFRESH_AND_PERSIST,
    ReplicationMode.REFRESH: controls.SyncMode.REFRESH_ONLY,
}


class ReplicationState(Enum):
    """A state of directory synchronisation."""

    IDLE = 0  # no search is in progress
    REFRESHING = 1  # a refresh is being received
    FOLLOWING = 2  # the refresh is complete and changes are being received


@dataclass(frozen=True, slots=True)
class ServerCookie:
    """A synchronisation cookie and the server that sent it; ``value`` is None if there is no cookie."""

    server: str = ""
    value: bytes | None = None


NO_COOKIE = ServerCookie()


class DirectorySync:
    """The synchronisation with one directory, using one server at a time."""

    def __init__(self, query: DirectoryQuery) -> None:
        self.query = query
        self.state = ReplicationState.IDLE
        self.mode = query.initial_mode
        self.cookie = NO_COOKIE
        self.references_ignored = 0
        self.base = dn.parse(query.base)
        self._server = ""
        self._modes = ServerModes(query.initial_mode, query.page_size)
        self._refresh = RefreshCollector()

    def start_refresh(self, server: str, full: bool = False) -> SearchRequest:
        """Return the search request that starts a refresh at a server; a ``full`` one sends no cookie."""
        self._server = server
        self.mode = self._modes.mode_of(server)
        self.state = ReplicationState.REFRESHING
        if self.mode is ReplicationMode.PAGED:
            self._refresh = RefreshCollector()
            return self._page_search(FIRST_PAGE)
        cookie = self.cookie.value if server == self.cookie.server and not full else None
        self._refresh = RefreshCollector(is_full=cookie is None)
        return self.query.search(controls.sync_request_control(_SYNC_MODES[self.mode], cookie))

    def reset(self) -> None:
        """Return to IDLE and drop the refresh in progress, because the connection or the search ended."""
        self.state = ReplicationState.IDLE
        self._refresh = RefreshCollector()

    def forget_cookie(self) -> None:
        """Discard the cookie, so that the next refresh is a full one."""
        self.cookie = NO_COOKIE

    def set_query(self, query: DirectoryQuery) -> None:
        """Use another query; if it differs in more than the page size, the cookie and the modes are reset."""
        if replace(query, page_size=0) != replace(self.query, page_size=0):
            self.forget_cookie()
            self._modes = ServerModes(query.initial_mode, query.page_size)
        else:
            self._modes.page_size = query.page_size
        self.query = query
        self.base = dn.parse(query.base)
        self.reset()

    def receive(self, response: Response) -> list[SyncEvent]:
        """Process one message of the search and return the resulting events."""
        if self.state is ReplicationState.IDLE:
            return []
        try:
            return self._receive(response)
        except MalformedMessageError as error:
            return [self._end_search(f"protocol error: {error}", Reaction.FAIL_OVER)]

    def _receive(self, response: Response) -> list[SyncEvent]:
        match response:
            case SearchResultEntry():
                return self._receive_entry(response)
            case SearchResultReference():
                self.references_ignored += 1
            case IntermediateResponse(response_name=controls.SYNC_INFO_OID):
                return self._receive_sync_info(controls.read_sync_info(response.response_value))
            case SearchResultDone():
                return self._receive_search_done(response)
        return []

    # Entries and id sets: collected while REFRESHING, reported at once while FOLLOWING.

    def _receive_entry(self, entry: SearchResultEntry) -> list[SyncEvent]:
        if self.mode is ReplicationMode.PAGED:
            return self._upsert(self._read_tenant(entry, uuid=""), None)
        sync_state = controls.read_sync_state(entry.controls)
        if sync_state is None:
            self._modes.fall_back(self._server, self.mode)
            return [self._end_search("server sent an entry without a Sync State control", Reaction.FALL_BACK)]
        uuids = (sync_state.entry_uuid,)
        if sync_state.state is controls.EntryState.DELETE:
            return self._mark_removed(uuids, sync_state.cookie)
        if sync_state.state is controls.EntryState.PRESENT:
            return self._mark_present(uuids, sync_state.cookie)
        return self._upsert(self._read_tenant(entry, sync_state.entry_uuid), sync_state.cookie)

    def _read_tenant(self, entry: SearchResultEntry, uuid: str) -> Tenant | BadEntry:
        return read_tenant(entry.object_name, entry.attributes, self.query.attribute_names, self.base, uuid)

    def _upsert(self, tenant: Tenant | BadEntry, cookie: bytes | None) -> list[SyncEvent]:
        self._save_cookie(cookie)
        if self.state is ReplicationState.FOLLOWING:
            if isinstance(tenant, BadEntry):
                return [EntriesChanged({}, bad_entries=(tenant,))]
            return [EntriesChanged({tenant.id: tenant})]
        self._refresh.add_entry(tenant)
        return self._check_limits()

    def _mark_present(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[SyncEvent]:
        self._save_cookie(cookie)
        if self.state is ReplicationState.FOLLOWING:
            return []
        self._refresh.mark_present(uuids)
        return self._check_limits()

    def _mark_removed(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[SyncEvent]:
        self._save_cookie(cookie)
        if self.state is ReplicationState.FOLLOWING:
            return [EntriesChanged({}, frozenset(uuids))]
        self._refresh.mark_removed(uuids)
        return self._check_limits()

    def _save_cookie(self, cookie: bytes | None) -> None:
        if self.state is not ReplicationState.FOLLOWING:
            self._refresh.save_cookie(cookie)
        elif cookie is not None:
            self.cookie = ServerCookie(self._server, cookie)

    def _check_limits(self) -> list[SyncEvent]:
        reason = self._refresh.limit_violation(self.query)
        return [self._end_search(reason, Reaction.NEEDS_OPERATOR)] if reason else []

    # Sync info messages (RFC 4533, section 2.5).

    def _receive_sync_info(self, info: controls.SyncInfo) -> list[SyncEvent]:
        if self.mode is ReplicationMode.PAGED:
            return []
        if isinstance(info, controls.SyncIdSet):
            if info.refresh_deletes:
                return self._mark_removed(info.sync_uuids, info.cookie)
            return self._mark_present(info.sync_uuids, info.cookie)
        self._save_cookie(info.cookie)
        if self.state is ReplicationState.FOLLOWING or not isinstance(info, controls.RefreshPhase):
            return []
        if not info.is_delete_phase:
            # A present phase names all existing entries (RFC 4533, section 3.3.2).
            self._refresh.is_full = True
        if info.refresh_done and self.mode is ReplicationMode.PERSIST:
            return [self._complete_refresh(ReplicationState.FOLLOWING)]
        return []

    # Search result done messages.

    def _receive_search_done(self, done: SearchResultDone) -> list[SyncEvent]:
        reaction = reaction_to(done.result.result_code)
        if reaction is not Reaction.DONE:
            return [self._end_failed_search(done.result.result_code, reaction)]
        if self.mode is ReplicationMode.PAGED:
            cookie = controls.read_page_cookie(done.controls)
            if cookie:
                return [NextPage(self._page_search(cookie))]
            return [self._complete_refresh(ReplicationState.IDLE)]
        if self.state is ReplicationState.FOLLOWING:
            return [self._end_search("server ended the search", Reaction.RETRY)]
        return self._receive_refresh_done(controls.read_sync_done(done.controls))

    def _receive_refresh_done(self, sync_done: controls.SyncDone | None) -> list[SyncEvent]:
        if sync_done is None:
            self._modes.fall_back(self._server, self.mode)
            return [
                self._end_search("server ended the refresh without a Sync Done control", Reaction.FALL_BACK)
            ]
        self._refresh.save_cookie(sync_done.cookie)
        if not sync_done.refresh_deletes:
            self._refresh.is_full = True
        completed = self._complete_refresh(ReplicationState.IDLE)
        if self.mode is ReplicationMode.PERSIST:  # the server refreshes but reports no later changes
            return [completed, SearchEnded("server ended the search", Reaction.RETRY)]
        return [completed]

    def _end_failed_search(self, code: int, reaction: Reaction) -> SearchEnded:
        if reaction is Reaction.FULL_REFRESH:
            self.forget_cookie()
        elif reaction is Reaction.REDUCE_PAGE_SIZE:
            self._modes.request_smaller_results(self._server, self.mode)
        elif reaction is Reaction.FALL_BACK:
            if self.mode is ReplicationMode.PAGED:
                reaction = Reaction.NEEDS_OPERATOR
            else:
                self._modes.fall_back(self._server, self.mode)
        return self._end_search(f"search failed with result code {code}", reaction)

    def _complete_refresh(self, next_state: ReplicationState) -> RefreshCompleted:
        refresh = self._refresh
        self._refresh = RefreshCollector()
        self.state = next_state
        if self.mode is not ReplicationMode.PAGED:
            self.cookie = ServerCookie(self._server, refresh.cookie)
        return refresh.completed()

    def _end_search(self, reason: str, reaction: Reaction) -> SearchEnded:
        self.reset()
        return SearchEnded(reason, reaction)

    def _page_search(self, cookie: bytes) -> SearchRequest:
        return self.query.search(controls.paged_results_control(self._modes.page_size, cookie))
