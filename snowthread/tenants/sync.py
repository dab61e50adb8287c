"""A synchronisation's state, free of I/O: a server's messages in, whole changes out.

Three ways to follow a directory, the best first; a server that lacks one is asked the next from then on:

    PERSIST   refreshAndPersist (RFC 4533): a refresh, then each change as it happens
    REFRESH   refreshOnly (RFC 4533): a refresh each period, from a cookie on
    PAGED     the whole content in pages (RFC 2696) each period

    state     message                          then
    IDLE      begin                            REFRESHING
    REFRESHING entry, id set, cookie           kept aside, nothing changes
    REFRESHING end of the refresh              Refreshed: FOLLOWING in PERSIST, else IDLE
    REFRESHING page ends, more to come         NextPage: REFRESHING
    FOLLOWING entry, id set, cookie            Changed: FOLLOWING
    any       end of the search, breach, cut   Over: IDLE; what was kept aside is dropped

Nothing of a refresh counts before its end, so a cut one deletes nothing and adds nothing; a cookie counts
from then on too, and only for the server that gave it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

from snowthread.ldap import controls as c
from snowthread.ldap import dn
from snowthread.ldap import messages as m
from snowthread.ldap.ber import MalformedError
from snowthread.ldap.health import Reaction, reaction_to
from snowthread.tenants.entry import BadEntry, AttributeNames, read_tenant
from snowthread.tenants.model import Tenant

MIN_PAGE_SIZE = 10
MAX_REPORTED_BAD_ENTRIES = 100  # spoilt entries that are told one by one


class ReplicationMode(IntEnum):
    """How a server is followed; each needs less of it than the one before."""

    PERSIST = 0
    REFRESH = 1
    PAGED = 2


class ReplicationState(Enum):
    """See the table above."""

    IDLE = 0
    REFRESHING = 1
    FOLLOWING = 2


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """What is asked of the directory."""

    base: str
    filter: m.FilterTree
    attribute_names: AttributeNames
    scope: m.Scope = m.Scope.SUB
    first_mode: ReplicationMode = ReplicationMode.PERSIST
    page_size: int = 500
    max_tenants: int = 100_000
    max_networks: int = 1_000_000
    time_limit_s: int = 0


@dataclass(frozen=True, slots=True)
class RefreshCompleted:
    """A refresh went through. ``whole``: what is neither in ``upserts`` nor in ``present`` is not there any
    more; else only what ``gone`` names."""

    upserts: Mapping[str, Tenant]
    present_ids: frozenset[str]
    removed_ids: frozenset[str]
    is_full: bool
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """A change while following."""

    upserts: Mapping[str, Tenant]
    removed_ids: frozenset[str] = frozenset()
    bad_entries: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class NextPage:
    """The search to send next."""

    search: m.SearchRequest


@dataclass(frozen=True, slots=True)
class SearchEnded:
    """The search ended without more to say, or badly."""

    reason: str
    reaction: Reaction


SyncEvent = RefreshCompleted | EntriesChanged | NextPage | SearchEnded


@dataclass(slots=True)
class _PendingRefresh:
    """A refresh that is not through yet."""

    is_full: bool
    upserts: dict[str, Tenant] = field(default_factory=dict)
    present_ids: set[str] = field(default_factory=set)
    removed_ids: set[str] = field(default_factory=set)
    bad_entries: list[BadEntry] = field(default_factory=list)
    networks: int = 0
    cookie: bytes | None = None


class DirectorySync:
    """Follows one directory, at one server at a time."""

    def __init__(self, question: DirectoryQuery) -> None:
        self.query = question
        self.state = ReplicationState.IDLE
        self.mode = question.first_mode
        self.cookie: bytes | None = None
        self.cookie_server = ""
        self.references_ignored = 0  # continuations that were not followed
        self.base = dn.parse(question.base)
        self._server = ""
        self._modes: dict[str, ReplicationMode] = {}  # what a server was found to lack
        self._page_size = question.page_size
        self._pending = _PendingRefresh(True)

    def start_refresh(self, server: str, full: bool = False) -> m.SearchRequest:
        """The search that starts a refresh at this server; ``whole``: without its cookie."""
        self._server = server
        self.mode = self._modes.get(server, self.query.first_mode)
        self.state = ReplicationState.REFRESHING
        cookie = self.cookie if server == self.cookie_server and not full else None
        if self.mode is ReplicationMode.PAGED:
            cookie = None
        self._pending = _PendingRefresh(is_full=cookie is None)
        if self.mode is ReplicationMode.PAGED:
            return self._page_request(b"")
        mode = (
            c.SyncMode.REFRESH_AND_PERSIST
            if self.mode is ReplicationMode.PERSIST
            else c.SyncMode.REFRESH_ONLY
        )
        return self._search_request(c.sync_request_control(mode, cookie))

    def reset(self) -> None:
        """The connection is gone: what was kept aside is dropped."""
        self.state = ReplicationState.IDLE
        self._pending = _PendingRefresh(True)

    def forget_cookie(self) -> None:
        """The next refresh is a whole one."""
        self.cookie, self.cookie_server = None, ""

    def receive(self, op: m.Response) -> list[SyncEvent]:
        """One message of the search."""
        if self.state is ReplicationState.IDLE:
            return []
        try:
            return self._receive(op)
        except MalformedError as error:
            return [self._end_search(f"not as agreed: {error}", Reaction.FAIL_OVER)]

    def _receive(self, op: m.Response) -> list[SyncEvent]:
        match op:
            case m.SearchResultEntry():
                return self._receive_entry(op)
            case m.SearchResultReference():
                self.references_ignored += 1
            case m.IntermediateResponse(oid=c.SYNC_INFO_OID):
                return self._receive_sync_info(c.read_sync_info(op.value))
            case m.SearchResultDone():
                return self._receive_search_done(op)
        return []

    # Entries.

    def _receive_entry(self, entry: m.SearchResultEntry) -> list[SyncEvent]:
        uuid, state, cookie = "", c.EntryState.ADD, None
        if self.mode is not ReplicationMode.PAGED:
            told = c.read_sync_state(entry.controls)
            if told is None:
                self._fall_back_a_mode()
                return [self._end_search("entries come without their state", Reaction.FALL_BACK)]
            uuid, state, cookie = told.uuid, told.state, told.cookie
        if state is c.EntryState.DELETE:
            return self._mark_removed((uuid,), cookie)
        if state is c.EntryState.PRESENT:
            return self._mark_present((uuid,), cookie)
        made = read_tenant(entry.dn, entry.attributes, self.query.attribute_names, self.base, uuid)
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(cookie)
            if isinstance(made, BadEntry):
                return [EntriesChanged({}, bad_entries=(made,))]
            return [EntriesChanged({made.id: made})]
        aside = self._pending
        aside.cookie = cookie or aside.cookie
        if isinstance(made, BadEntry):
            # It is there, though nothing can be made of it: a tenant that is known stays as it was.
            if made.tenant_id:
                aside.present_ids.add(made.tenant_id)
            if len(aside.bad_entries) < MAX_REPORTED_BAD_ENTRIES:
                aside.bad_entries.append(made)
        else:
            aside.upserts[made.id] = made
            aside.removed_ids.discard(made.id)
            aside.networks += len(made.networks)
        return self._check_limits()

    def _mark_present(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[SyncEvent]:
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(cookie)
            return []
        self._pending.cookie = cookie or self._pending.cookie
        self._pending.present_ids.update(uuids)
        return self._check_limits()

    def _mark_removed(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[SyncEvent]:
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(cookie)
            return [EntriesChanged({}, frozenset(uuids))]
        aside = self._pending
        aside.cookie = cookie or aside.cookie
        aside.removed_ids.update(uuids)
        for uuid in uuids:
            aside.upserts.pop(uuid, None)
            aside.present_ids.discard(uuid)
        return self._check_limits()

    def _check_limits(self) -> list[SyncEvent]:
        aside, q = self._pending, self.query
        if max(len(aside.upserts), len(aside.present_ids), len(aside.removed_ids)) > q.max_tenants:
            return [self._end_search(f"more than {q.max_tenants} tenants", Reaction.NEEDS_OPERATOR)]
        if aside.networks > q.max_networks:
            return [self._end_search(f"more than {q.max_networks} networks", Reaction.NEEDS_OPERATOR)]
        return []

    # Words between entries.

    def _receive_sync_info(self, info: c.SyncInfo) -> list[SyncEvent]:
        if self.mode is ReplicationMode.PAGED:
            return []
        if isinstance(info, c.SyncIdSet):
            return (self._mark_removed if info.refresh_deletes else self._mark_present)(
                info.uuids, info.cookie
            )
        if self.state is ReplicationState.FOLLOWING:
            self._save_cookie(info.cookie)
            return []
        self._pending.cookie = info.cookie or self._pending.cookie
        if isinstance(info, c.RefreshPhase):
            if not info.is_delete_phase:
                self._pending.is_full = True  # a present phase names all that is there
            if info.refresh_done and self.mode is ReplicationMode.PERSIST:
                return [self._complete_refresh(ReplicationState.FOLLOWING)]
        return []

    def _receive_search_done(self, done: m.SearchResultDone) -> list[SyncEvent]:
        what = reaction_to(done.result.code)
        if what is not Reaction.DONE:
            if what is Reaction.FULL_REFRESH:
                self.forget_cookie()
            elif what is Reaction.FALL_BACK:
                if self.mode is ReplicationMode.PAGED:
                    what = Reaction.NEEDS_OPERATOR
                else:
                    self._fall_back_a_mode()
            elif what is Reaction.REDUCE_PAGE_SIZE:
                self._reduce_page_size()
            return [self._end_search(f"code {done.result.code}", what)]
        if self.mode is ReplicationMode.PAGED:
            cookie = c.read_page_cookie(done.controls)
            if cookie:
                return [NextPage(self._page_request(cookie))]
            return [self._complete_refresh(ReplicationState.IDLE)]
        if self.state is ReplicationState.FOLLOWING:
            return [self._end_search("the server ended the search", Reaction.RETRY)]
        sync = c.read_sync_done(done.controls)
        if sync is None:
            self._fall_back_a_mode()
            return [self._end_search("the refresh ends without its word", Reaction.FALL_BACK)]
        self._pending.cookie = sync.cookie or self._pending.cookie
        if not sync.refresh_deletes:
            self._pending.is_full = True
        step = self._complete_refresh(ReplicationState.IDLE)
        if self.mode is ReplicationMode.PERSIST:  # it refreshed and does not persist
            return [step, SearchEnded("the server ended the search", Reaction.RETRY)]
        return [step]

    def _complete_refresh(self, then: ReplicationState) -> RefreshCompleted:
        aside, self._pending = self._pending, _PendingRefresh(True)
        self.state = then
        if self.mode is not ReplicationMode.PAGED:
            self.cookie, self.cookie_server = aside.cookie, self._server
        return RefreshCompleted(
            aside.upserts,
            frozenset(aside.present_ids),
            frozenset(aside.removed_ids),
            aside.is_full,
            tuple(aside.bad_entries),
        )

    # What servers lack.

    def _fall_back_a_mode(self) -> None:
        """Not this way at this server."""
        self._modes[self._server] = ReplicationMode(min(self.mode + 1, ReplicationMode.PAGED))

    def _reduce_page_size(self) -> None:
        """Pages, and smaller ones where they were too large already."""
        if self.mode is ReplicationMode.PAGED:
            self._page_size = max(MIN_PAGE_SIZE, self._page_size // 2)
        self._modes[self._server] = ReplicationMode.PAGED

    def _save_cookie(self, cookie: bytes | None) -> None:
        if cookie is not None:
            self.cookie, self.cookie_server = cookie, self._server

    def _end_search(self, reason: str, what: Reaction) -> SearchEnded:
        self.reset()
        return SearchEnded(reason, what)

    def _page_request(self, cookie: bytes) -> m.SearchRequest:
        return self._search_request(c.paged_results_control(self._page_size, cookie))

    def _search_request(self, control: m.Control) -> m.SearchRequest:
        q = self.query
        return m.SearchRequest(
            q.base,
            q.scope,
            q.filter,
            q.attribute_names.all(),
            time_limit_s=q.time_limit_s,
            controls=(control,),
        )

    def set_query(self, question: DirectoryQuery) -> None:
        """Ask another question from now on; another directory's cookie is of no use."""
        if replace(question, page_size=0) != replace(self.query, page_size=0):
            self.forget_cookie()
            self._modes.clear()
        self.query, self.base, self._page_size = question, dn.parse(question.base), question.page_size
        self.reset()
