"""The protocol state of a synchronisation: a server's messages in, complete changes out. Pure.

There are three modes of following a directory, the best first; a server that lacks one gets the next from
then on:

- PERSIST: refreshAndPersist (RFC 4533): a refresh, then each change as it happens.
- REFRESH: refreshOnly (RFC 4533): a refresh each period, from a cookie on.
- PAGED: the whole content in pages (RFC 2696) each period.

| state      | message                            | event and next state                              |
| ---------- | ---------------------------------- | ------------------------------------------------- |
| IDLE       | start_refresh                      | REFRESHING                                        |
| REFRESHING | entry, id set, cookie              | collected; nothing changes yet                    |
| REFRESHING | end of the refresh                 | RefreshCompleted: FOLLOWING in PERSIST, else IDLE |
| REFRESHING | end of a page that is not the last | NextPage: REFRESHING                              |
| FOLLOWING  | entry, id set, cookie              | EntriesChanged: FOLLOWING                         |
| any        | end of the search, error, reset    | SearchEnded: IDLE; what was collected is dropped  |

Nothing of a refresh counts before its end, so an interrupted one removes and adds nothing; its cookie counts
only from then on too, and only for the server that gave it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

from snowthread.ldap import controls, dn
from snowthread.ldap.ber import MalformedError
from snowthread.ldap.health import Reaction, reaction_to
from snowthread.ldap.messages import (
    Control,
    FilterTree,
    IntermediateResponse,
    Response,
    Scope,
    SearchRequest,
    SearchResultDone,
    SearchResultEntry,
    SearchResultReference,
)
from snowthread.tenants.entry import AttributeNames, BadEntry, read_tenant
from snowthread.tenants.model import Tenant

MIN_PAGE_SIZE = 10
MAX_REPORTED_BAD_ENTRIES = 100


class ReplicationMode(IntEnum):
    """How a server is followed; each mode needs less of it than the one before."""

    PERSIST = 0
    REFRESH = 1
    PAGED = 2


class ReplicationState(Enum):
    """A state of the table above."""

    IDLE = 0
    REFRESHING = 1
    FOLLOWING = 2


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """What is asked of the directory."""

    base: str
    filter: FilterTree
    attribute_names: AttributeNames
    scope: Scope = Scope.SUB
    first_mode: ReplicationMode = ReplicationMode.PERSIST
    page_size: int = 500
    max_tenants: int = 100_000
    max_networks: int = 1_000_000
    time_limit_s: int = 0


@dataclass(frozen=True, slots=True)
class RefreshCompleted:
    """A refresh is complete.

    If it ``is_full``, tenants that are neither in ``upserts`` nor in ``present_ids`` are gone; else only
    those in ``removed_ids`` are.
    """

    upserts: Mapping[str, Tenant]
    present_ids: frozenset[str]
    removed_ids: frozenset[str]
    is_full: bool
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries changed after the refresh."""

    upserts: Mapping[str, Tenant]
    removed_ids: frozenset[str] = frozenset()
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class NextPage:
    """The search for the next page, to be sent now."""

    search: SearchRequest


@dataclass(frozen=True, slots=True)
class SearchEnded:
    """The search ended without a result that can be used, or after following for a while."""

    reason: str
    reaction: Reaction


SyncEvent = RefreshCompleted | EntriesChanged | NextPage | SearchEnded


@dataclass(slots=True)
class _PendingRefresh:
    """What a refresh has brought so far."""

    is_full: bool = True
    upserts: dict[str, Tenant] = field(default_factory=dict)
    present_ids: set[str] = field(default_factory=set)
    removed_ids: set[str] = field(default_factory=set)
    bad_entries: list[BadEntry] = field(default_factory=list)
    networks: int = 0
    cookie: bytes | None = None

    def add_tenant(self, tenant: Tenant) -> None:
        self.upserts[tenant.id] = tenant
        self.removed_ids.discard(tenant.id)
        self.networks += len(tenant.networks)

    def add_bad_entry(self, entry: BadEntry) -> None:
        # The entry exists: a tenant that is known stays as it was.
        if entry.tenant_id:
            self.present_ids.add(entry.tenant_id)
        if len(self.bad_entries) < MAX_REPORTED_BAD_ENTRIES:
            self.bad_entries.append(entry)

    def remove(self, uuids: tuple[str, ...]) -> None:
        self.removed_ids.update(uuids)
        for uuid in uuids:
            self.upserts.pop(uuid, None)
            self.present_ids.discard(uuid)

    def save_cookie(self, cookie: bytes | None) -> None:
        self.cookie = cookie or self.cookie


class DirectorySync:
    """The synchronisation with one directory, at one server at a time."""

    def __init__(self, query: DirectoryQuery) -> None:
        self.query = query
        self.state = ReplicationState.IDLE
        self.mode = query.first_mode
        self.cookie: bytes | None = None
        self.cookie_server = ""
        self.references_ignored = 0
        self.base = dn.parse(query.base)
        self._server = ""
        self._modes: dict[str, ReplicationMode] = {}  # of servers that lack a better one
        self._page_size = query.page_size
        self._pending = _PendingRefresh()

    def start_refresh(self, server: str, full: bool = False) -> SearchRequest:
        """Return the search that starts a refresh at this server; a ``full`` one ignores the cookie."""
        self._server = server
        self.mode = self._modes.get(server, self.query.first_mode)
        self.state = ReplicationState.REFRESHING
        if self.mode is ReplicationMode.PAGED:
            self._pending = _PendingRefresh()
            return self._page_request(b"")
        cookie = self.cookie if server == self.cookie_server and not full else None
        self._pending = _PendingRefresh(is_full=cookie is None)
        if self.mode is ReplicationMode.PERSIST:
            sync_mode = controls.SyncMode.REFRESH_AND_PERSIST
        else:
            sync_mode = controls.SyncMode.REFRESH_ONLY
        return self._search_request(controls.sync_request_control(sync_mode, cookie))

    def reset(self) -> None:
        """Drop what was collected, since the connection ended."""
        self.state = ReplicationState.IDLE
        self._pending = _PendingRefresh()

    def forget_cookie(self) -> None:
        """Make the next refresh a full one."""
        self.cookie, self.cookie_server = None, ""

    def set_query(self, query: DirectoryQuery) -> None:
        """Use another query from now on; the cookie of a different one is of no use."""
        if replace(query, page_size=0) != replace(self.query, page_size=0):
            self.forget_cookie()
            self._modes.clear()
        self.query = query
        self.base = dn.parse(query.base)
        self._page_size = query.page_size
        self.reset()

    def receive(self, response: Response) -> list[SyncEvent]:
        """Take in one message of the search and return the events that follow."""
        if self.state is ReplicationState.IDLE:
            return []
        try:
            return self._receive(response)
        except MalformedError as error:
            return [self._end_search(f"protocol error: {error}", Reaction.FAIL_OVER)]

    def _receive(self, response: Response) -> list[SyncEvent]:
        match response:
            case SearchResultEntry():
                return self._receive_entry(response)
            case SearchResultReference():
                self.references_ignored += 1
            case IntermediateResponse(oid=controls.SYNC_INFO_OID):
                return self._receive_sync_info(controls.read_sync_info(response.value))
            case SearchResultDone():
                return self._receive_search_done(response)
        return []

    # Entries.

    def _receive_entry(self, entry: SearchResultEntry) -> list[SyncEvent]:
        if self.mode is ReplicationMode.PAGED:
            return self._receive_content(entry, "", None)
        sync_state = controls.read_sync_state(entry.controls)
        if sync_state is None:
            self._fall_back_a_mode()
            return [self._end_search("entries come without their state", Reaction.FALL_BACK)]
        uuids = (sync_state.uuid,)
        if sync_state.state is controls.EntryState.DELETE:
            return self._mark_removed(uuids, sync_state.cookie)
        if sync_state.state is controls.EntryState.PRESENT:
            return self._mark_present(uuids, sync_state.cookie)
        return self._receive_content(entry, sync_state.uuid, sync_state.cookie)

    def _receive_content(self, entry: SearchResultEntry, uuid: str, cookie: bytes | None) -> list[SyncEvent]:
        """Take in an added or changed entry."""
        tenant = read_tenant(entry.dn, entry.attributes, self.query.attribute_names, self.base, uuid)
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(cookie)
            if isinstance(tenant, BadEntry):
                return [EntriesChanged({}, bad_entries=(tenant,))]
            return [EntriesChanged({tenant.id: tenant})]
        self._pending.save_cookie(cookie)
        if isinstance(tenant, BadEntry):
            self._pending.add_bad_entry(tenant)
        else:
            self._pending.add_tenant(tenant)
        return self._check_limits()

    def _mark_present(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[SyncEvent]:
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(cookie)
            return []
        self._pending.save_cookie(cookie)
        self._pending.present_ids.update(uuids)
        return self._check_limits()

    def _mark_removed(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[SyncEvent]:
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(cookie)
            return [EntriesChanged({}, frozenset(uuids))]
        self._pending.save_cookie(cookie)
        self._pending.remove(uuids)
        return self._check_limits()

    def _check_limits(self) -> list[SyncEvent]:
        pending, query = self._pending, self.query
        ids = max(len(pending.upserts), len(pending.present_ids), len(pending.removed_ids))
        if ids > query.max_tenants:
            return [self._end_search(f"more than {query.max_tenants} tenants", Reaction.NEEDS_OPERATOR)]
        if pending.networks > query.max_networks:
            return [self._end_search(f"more than {query.max_networks} networks", Reaction.NEEDS_OPERATOR)]
        return []

    # Messages between entries.

    def _receive_sync_info(self, info: controls.SyncInfo) -> list[SyncEvent]:
        if self.mode is ReplicationMode.PAGED:
            return []
        if isinstance(info, controls.SyncIdSet):
            if info.refresh_deletes:
                return self._mark_removed(info.uuids, info.cookie)
            return self._mark_present(info.uuids, info.cookie)
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(info.cookie)
            return []
        self._pending.save_cookie(info.cookie)
        if isinstance(info, controls.RefreshPhase):
            if not info.is_delete_phase:
                self._pending.is_full = True  # a present phase names all entries
            if info.refresh_done and self.mode is ReplicationMode.PERSIST:
                return [self._complete_refresh(ReplicationState.FOLLOWING)]
        return []

    # The end of the search.

    def _receive_search_done(self, done: SearchResultDone) -> list[SyncEvent]:
        reaction = reaction_to(done.result.code)
        if reaction is not Reaction.DONE:
            return [self._end_failed_search(done.result.code, reaction)]
        if self.mode is ReplicationMode.PAGED:
            cookie = controls.read_page_cookie(done.controls)
            if cookie:
                return [NextPage(self._page_request(cookie))]
            return [self._complete_refresh(ReplicationState.IDLE)]
        if self.state is ReplicationState.FOLLOWING:
            return [self._end_search("the server ended the search", Reaction.RETRY)]
        return self._receive_refresh_done(controls.read_sync_done(done.controls))

    def _receive_refresh_done(self, sync_done: controls.SyncDone | None) -> list[SyncEvent]:
        if sync_done is None:
            self._fall_back_a_mode()
            return [self._end_search("the refresh ends without its control", Reaction.FALL_BACK)]
        self._pending.save_cookie(sync_done.cookie)
        if not sync_done.refresh_deletes:
            self._pending.is_full = True
        completed = self._complete_refresh(ReplicationState.IDLE)
        if self.mode is ReplicationMode.PERSIST:  # the server refreshes but does not persist
            return [completed, SearchEnded("the server ended the search", Reaction.RETRY)]
        return [completed]

    def _end_failed_search(self, code: int, reaction: Reaction) -> SearchEnded:
        if reaction is Reaction.FULL_REFRESH:
            self.forget_cookie()
        elif reaction is Reaction.REDUCE_PAGE_SIZE:
            self._reduce_page_size()
        elif reaction is Reaction.FALL_BACK:
            if self.mode is ReplicationMode.PAGED:
                reaction = Reaction.NEEDS_OPERATOR
            else:
                self._fall_back_a_mode()
        return self._end_search(f"code {code}", reaction)

    def _complete_refresh(self, next_state: ReplicationState) -> RefreshCompleted:
        pending, self._pending = self._pending, _PendingRefresh()
        self.state = next_state
        if self.mode is not ReplicationMode.PAGED:
            self.cookie, self.cookie_server = pending.cookie, self._server
        return RefreshCompleted(
            upserts=pending.upserts,
            present_ids=frozenset(pending.present_ids),
            removed_ids=frozenset(pending.removed_ids),
            is_full=pending.is_full,
            bad_entries=tuple(pending.bad_entries),
        )

    def _end_search(self, reason: str, reaction: Reaction) -> SearchEnded:
        self.reset()
        return SearchEnded(reason, reaction)

    def _save_cookie(self, cookie: bytes | None) -> None:
        if cookie is not None:
            self.cookie, self.cookie_server = cookie, self._server

    # What servers lack.

    def _fall_back_a_mode(self) -> None:
        """Use the next mode at this server from now on."""
        self._modes[self._server] = ReplicationMode(min(self.mode + 1, ReplicationMode.PAGED))

    def _reduce_page_size(self) -> None:
        """Use pages at this server from now on, and smaller ones if it did already."""
        if self.mode is ReplicationMode.PAGED:
            self._page_size = max(MIN_PAGE_SIZE, self._page_size // 2)
        self._modes[self._server] = ReplicationMode.PAGED

    def _page_request(self, cookie: bytes) -> SearchRequest:
        return self._search_request(controls.paged_results_control(self._page_size, cookie))

    def _search_request(self, control: Control) -> SearchRequest:
        query = self.query
        return SearchRequest(
            query.base,
            query.scope,
            query.filter,
            query.attribute_names.all(),
            time_limit_s=query.time_limit_s,
            controls=(control,),
        )
