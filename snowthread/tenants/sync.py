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
from snowthread.ldap.health import Reaction, reaction
from snowthread.tenants.entry import BadEntry, Names, read
from snowthread.tenants.model import Tenant

PAGE_LEAST = 10
BAD_MAX = 100  # spoilt entries that are told one by one


class Mode(IntEnum):
    """How a server is followed; each needs less of it than the one before."""

    PERSIST = 0
    REFRESH = 1
    PAGED = 2


class State(Enum):
    """See the table above."""

    IDLE = 0
    REFRESHING = 1
    FOLLOWING = 2


@dataclass(frozen=True, slots=True)
class Question:
    """What is asked of the directory."""

    base: str
    filter: m.FilterTree
    names: Names
    scope: m.Scope = m.Scope.SUB
    first_mode: Mode = Mode.PERSIST
    page_size: int = 500
    tenants_max: int = 100_000
    networks_max: int = 1_000_000
    time_limit_s: int = 0


@dataclass(frozen=True, slots=True)
class Refreshed:
    """A refresh went through. ``whole``: what is neither in ``upserts`` nor in ``present`` is not there any
    more; else only what ``gone`` names."""

    upserts: Mapping[str, Tenant]
    present: frozenset[str]
    gone: frozenset[str]
    whole: bool
    bad: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Changed:
    """A change while following."""

    upserts: Mapping[str, Tenant]
    gone: frozenset[str] = frozenset()
    bad: tuple[BadEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class NextPage:
    """The search to send next."""

    search: m.Search


@dataclass(frozen=True, slots=True)
class Over:
    """The search ended without more to say, or badly."""

    reason: str
    reaction: Reaction


Step = Refreshed | Changed | NextPage | Over


@dataclass(slots=True)
class _Aside:
    """A refresh that is not through yet."""

    whole: bool
    upserts: dict[str, Tenant] = field(default_factory=dict)
    present: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    bad: list[BadEntry] = field(default_factory=list)
    networks: int = 0
    cookie: bytes | None = None


class Sync:
    """Follows one directory, at one server at a time."""

    def __init__(self, question: Question) -> None:
        self.question = question
        self.state = State.IDLE
        self.mode = question.first_mode
        self.cookie: bytes | None = None
        self.cookie_server = ""
        self.references = 0  # continuations that were not followed
        self.base = dn.parse(question.base)
        self._server = ""
        self._modes: dict[str, Mode] = {}  # what a server was found to lack
        self._page_size = question.page_size
        self._aside = _Aside(True)

    def begin(self, server: str, whole: bool = False) -> m.Search:
        """The search that starts a refresh at this server; ``whole``: without its cookie."""
        self._server = server
        self.mode = self._modes.get(server, self.question.first_mode)
        self.state = State.REFRESHING
        cookie = self.cookie if server == self.cookie_server and not whole else None
        if self.mode is Mode.PAGED:
            cookie = None
        self._aside = _Aside(whole=cookie is None)
        if self.mode is Mode.PAGED:
            return self._page(b"")
        mode = c.SyncMode.REFRESH_AND_PERSIST if self.mode is Mode.PERSIST else c.SyncMode.REFRESH_ONLY
        return self._search(c.sync_request(mode, cookie))

    def cut(self) -> None:
        """The connection is gone: what was kept aside is dropped."""
        self.state = State.IDLE
        self._aside = _Aside(True)

    def forget_cookie(self) -> None:
        """The next refresh is a whole one."""
        self.cookie, self.cookie_server = None, ""

    def take(self, op: m.Response) -> list[Step]:
        """One message of the search."""
        if self.state is State.IDLE:
            return []
        try:
            return self._take(op)
        except MalformedError as error:
            return [self._over(f"not as agreed: {error}", Reaction.ELSEWHERE)]

    def _take(self, op: m.Response) -> list[Step]:
        match op:
            case m.Entry():
                return self._entry(op)
            case m.Reference():
                self.references += 1
            case m.Intermediate(oid=c.SYNC_INFO_OID):
                return self._info(c.sync_info(op.value))
            case m.SearchDone():
                return self._done(op)
        return []

    # Entries.

    def _entry(self, entry: m.Entry) -> list[Step]:
        uuid, state, cookie = "", c.State.ADD, None
        if self.mode is not Mode.PAGED:
            told = c.sync_state(entry.controls)
            if told is None:
                self._lacks()
                return [self._over("entries come without their state", Reaction.WITHOUT)]
            uuid, state, cookie = told.uuid, told.state, told.cookie
        if state is c.State.DELETE:
            return self._gone((uuid,), cookie)
        if state is c.State.PRESENT:
            return self._present((uuid,), cookie)
        made = read(entry.dn, entry.attributes, self.question.names, self.base, uuid)
        if self.state is State.FOLLOWING:
            self._keep(cookie)
            if isinstance(made, BadEntry):
                return [Changed({}, bad=(made,))]
            return [Changed({made.id: made})]
        aside = self._aside
        aside.cookie = cookie or aside.cookie
        if isinstance(made, BadEntry):
            # It is there, though nothing can be made of it: a tenant that is known stays as it was.
            if made.id:
                aside.present.add(made.id)
            if len(aside.bad) < BAD_MAX:
                aside.bad.append(made)
        else:
            aside.upserts[made.id] = made
            aside.gone.discard(made.id)
            aside.networks += len(made.networks)
        return self._bounded()

    def _present(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[Step]:
        if self.state is State.FOLLOWING:
            self._keep(cookie)
            return []
        self._aside.cookie = cookie or self._aside.cookie
        self._aside.present.update(uuids)
        return self._bounded()

    def _gone(self, uuids: tuple[str, ...], cookie: bytes | None) -> list[Step]:
        if self.state is State.FOLLOWING:
            self._keep(cookie)
            return [Changed({}, frozenset(uuids))]
        aside = self._aside
        aside.cookie = cookie or aside.cookie
        aside.gone.update(uuids)
        for uuid in uuids:
            aside.upserts.pop(uuid, None)
            aside.present.discard(uuid)
        return self._bounded()

    def _bounded(self) -> list[Step]:
        aside, q = self._aside, self.question
        if max(len(aside.upserts), len(aside.present), len(aside.gone)) > q.tenants_max:
            return [self._over(f"more than {q.tenants_max} tenants", Reaction.OPERATOR)]
        if aside.networks > q.networks_max:
            return [self._over(f"more than {q.networks_max} networks", Reaction.OPERATOR)]
        return []

    # Words between entries.

    def _info(self, info: c.SyncInfo) -> list[Step]:
        if self.mode is Mode.PAGED:
            return []
        if isinstance(info, c.IdSet):
            return (self._gone if info.deletes else self._present)(info.uuids, info.cookie)
        if self.state is State.FOLLOWING:
            self._keep(info.cookie)
            return []
        self._aside.cookie = info.cookie or self._aside.cookie
        if isinstance(info, c.Phase):
            if not info.deletes:
                self._aside.whole = True  # a present phase names all that is there
            if info.done and self.mode is Mode.PERSIST:
                return [self._refreshed(State.FOLLOWING)]
        return []

    def _done(self, done: m.SearchDone) -> list[Step]:
        what = reaction(done.result.code)
        if what is not Reaction.DONE:
            if what is Reaction.RESTART:
                self.forget_cookie()
            elif what is Reaction.WITHOUT:
                if self.mode is Mode.PAGED:
                    what = Reaction.OPERATOR
                else:
                    self._lacks()
            elif what is Reaction.SMALLER:
                self._smaller()
            return [self._over(f"code {done.result.code}", what)]
        if self.mode is Mode.PAGED:
            cookie = c.page_cookie(done.controls)
            if cookie:
                return [NextPage(self._page(cookie))]
            return [self._refreshed(State.IDLE)]
        if self.state is State.FOLLOWING:
            return [self._over("the server ended the search", Reaction.AGAIN)]
        sync = c.sync_done(done.controls)
        if sync is None:
            self._lacks()
            return [self._over("the refresh ends without its word", Reaction.WITHOUT)]
        self._aside.cookie = sync.cookie or self._aside.cookie
        if not sync.deletes:
            self._aside.whole = True
        step = self._refreshed(State.IDLE)
        if self.mode is Mode.PERSIST:  # it refreshed and does not persist
            return [step, Over("the server ended the search", Reaction.AGAIN)]
        return [step]

    def _refreshed(self, then: State) -> Refreshed:
        aside, self._aside = self._aside, _Aside(True)
        self.state = then
        if self.mode is not Mode.PAGED:
            self.cookie, self.cookie_server = aside.cookie, self._server
        return Refreshed(
            aside.upserts, frozenset(aside.present), frozenset(aside.gone), aside.whole, tuple(aside.bad)
        )

    # What servers lack.

    def _lacks(self) -> None:
        """Not this way at this server."""
        self._modes[self._server] = Mode(min(self.mode + 1, Mode.PAGED))

    def _smaller(self) -> None:
        """Pages, and smaller ones where they were too large already."""
        if self.mode is Mode.PAGED:
            self._page_size = max(PAGE_LEAST, self._page_size // 2)
        self._modes[self._server] = Mode.PAGED

    def _keep(self, cookie: bytes | None) -> None:
        if cookie is not None:
            self.cookie, self.cookie_server = cookie, self._server

    def _over(self, reason: str, what: Reaction) -> Over:
        self.cut()
        return Over(reason, what)

    def _page(self, cookie: bytes) -> m.Search:
        return self._search(c.paged(self._page_size, cookie))

    def _search(self, control: m.Control) -> m.Search:
        q = self.question
        return m.Search(
            q.base, q.scope, q.filter, q.names.all(), time_limit_s=q.time_limit_s, controls=(control,)
        )

    def move(self, question: Question) -> None:
        """Ask another question from now on; another directory's cookie is of no use."""
        if replace(question, page_size=0) != replace(self.question, page_size=0):
            self.forget_cookie()
            self._modes.clear()
        self.question, self.base, self._page_size = question, dn.parse(question.base), question.page_size
        self.cut()
