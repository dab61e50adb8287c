"""The coroutine that keeps up with the directory: one link at a time, its search, questions and probes.

It decides nothing: whom to ask and when again is ``ldap.health``'s, what a message means ``sync``'s, what is
believed ``tenancy``'s. Every wait has its end, so a directory that stalls at any byte is left in time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

from loguru import logger

from snowthread.ldap import messages as m
from snowthread.ldap.client import LdapConnection, ConnectionFailure
from snowthread.ldap.health import Reaction, ServerSelector, reaction_to
from snowthread.net.attempt import Progress
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.tenants import sync as s
from snowthread.tenants.entry import BadEntry, read_tenant
from snowthread.tenants.model import Tenant
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantChanges, TenantState
from snowthread.tenants.unknown_clients import lookup_filter

MAX_SEARCH_RESTARTS = 4  # searches begun anew on one link because the server wants another way
RESTART_REACTIONS = Reaction.FULL_REFRESH, Reaction.FALL_BACK, Reaction.REDUCE_PAGE_SIZE
LOOKUP_POLL_MS = 50.0  # a look whether a question may be sent now
NO_ATTRIBUTES = ("1.1",)  # RFC 4511, section 4.5.1.8


@dataclass(slots=True)
class _Lookup:
    """A question about a caller, and what came of it so far."""

    address: str
    deadline_ms: float
    tenants: list[Tenant] = field(default_factory=list)
    bad_entries: list[BadEntry] = field(default_factory=list)


class DirectoryReplicator:
    """Follows the directory for one node."""

    def __init__(
        self,
        loop: EventLoop,
        settings: TenantSettings,
        tenancy: TenantState,
        rng: random.Random,
        tell: Callable[[TenantChanges], None],
    ) -> None:
        self._loop, self.settings, self._tenants, self._rng, self._tell = loop, settings, tenancy, rng, tell
        self.sync = s.DirectorySync(settings.query)
        self.server_selector = self._servers()
        self.connected_server = ""  # where a session stands now
        self.connection_failures = 0
        self._accepts_lookups = False
        self._task = loop.spawn(self._run(settings.start_jitter_ms))

    def _servers(self) -> ServerSelector:
        names = tuple(url.server for url in self.settings.servers)
        return ServerSelector(names, self.settings.retry_policy, self._loop.clock.now())

    def wake(self) -> None:
        """A question waits."""
        if self._accepts_lookups:
            self._loop.wake(self._task)

    def apply_settings(self, settings: TenantSettings) -> None:
        """Other servers, credentials or another question: what goes on ends, nothing that is known does."""
        self._loop.end_task(self._task)
        self.settings = settings
        self.sync.set_query(settings.query)
        self._tenants.unknown_clients.abort_lookups()
        self.server_selector = self._servers()
        self._task = self._loop.spawn(self._run(0.0))

    def _now(self) -> float:
        return self._loop.clock.now()

    def _run(self, spread_ms: float) -> TaskSteps:
        # Nodes that start at once would else all ask the directory in the same instant.
        yield Wait(until=self._now() + self._rng.uniform(0.0, spread_ms))
        while True:
            n = self.server_selector.choose(self._now())
            if n is not None:
                trouble = yield from self._session(n)
                self.connection_failures += 1
                opened = self.server_selector.record_failure(n, self._now(), trouble.reaction)
                logger.bind(
                    event="tenants.link_lost",
                    peer="directory",
                    server=self.server_selector.names[n],
                    progress=trouble.progress.name,
                    reaction=trouble.reaction.value,
                ).warning(
                    "directory {}: {}{}",
                    self.server_selector.names[n],
                    trouble.reason,
                    "; left alone for a while" if opened else "",
                )
            until = self._now() + self.server_selector.backoff_ms(self._now(), self._rng)
            while self._now() < until:  # a question that wakes it does not make it try sooner
                yield Wait(until=until)

    def _session(self, n: int) -> Generator[Wait, int, ConnectionFailure]:
        link = LdapConnection(self._loop, self.settings.servers[n], self.settings.connection)
        try:
            trouble = yield from link.open()
            if trouble is not None:
                return trouble
            self.connected_server = link.server
            return (yield from self._follow(link, n))
        finally:
            self.connected_server, self._accepts_lookups = "", False
            self.sync.reset()
            self._tenants.unknown_clients.abort_lookups()
            link.close()

    def _follow(self, link: LdapConnection, n: int) -> Generator[Wait, int, ConnectionFailure]:
        """One session's work, until it fails."""
        settings, tenancy, sync = self.settings, self._tenants, self.sync
        questions: dict[int, _Lookup] = {}
        search = link.send(sync.start_refresh(link.server, full=self._full_refresh_due()))
        began = heard = self._now()
        probe, probe_until, poll_at, anew = 0, math.inf, math.inf, 0
        while True:
            now = self._now()
            # What is due.
            if sync.state is s.ReplicationState.REFRESHING:
                if now - heard >= settings.operation_timeout_ms or now - began >= settings.refresh_timeout_ms:
                    return ConnectionFailure(Progress.REPLY_BEGUN, "the refresh stalls")
            else:
                if now >= probe_until:
                    return ConnectionFailure(Progress.REPLY_BEGUN, "a probe is not answered")
                if now >= poll_at or self._full_refresh_due():
                    if sync.state is s.ReplicationState.FOLLOWING:
                        link.send(m.AbandonRequest(search))
                    search = link.send(sync.start_refresh(link.server, full=self._full_refresh_due()))
                    began = heard = now
                    probe, probe_until, poll_at = 0, math.inf, math.inf
                elif not probe and now - heard >= settings.probe_interval_ms:
                    probe = link.send(
                        m.SearchRequest(
                            settings.query.base, m.Scope.BASE, ("present", b"objectClass"), NO_ATTRIBUTES
                        )
                    )
                    probe_until = now + settings.operation_timeout_ms
            self._ask(link, questions, now)
            until = self._until(heard, began, probe, probe_until, poll_at, questions)
            got = yield from link.receive(until)
            if isinstance(got, ConnectionFailure):
                return got
            now = self._now()
            for message in got:
                heard = now
                op = message.response
                if message.message_id in questions:
                    self._answered(questions, message.message_id, op, now)
                elif message.message_id == probe:
                    if isinstance(op, m.SearchResultDone):
                        probe, probe_until = 0, math.inf
                        if reaction_to(op.result.code) is not Reaction.DONE:
                            return ConnectionFailure(
                                Progress.REPLY_BEGUN,
                                f"a probe ends with code {op.result.code}",
                                reaction_to(op.result.code),
                            )
                        if sync.state is s.ReplicationState.FOLLOWING:
                            tenancy.staleness.confirm(now)
                elif message.message_id == search:
                    for step in sync.receive(op):
                        match step:
                            case s.RefreshCompleted():
                                yield from self._refreshed(step, link.server, now, now - began)
                                self.server_selector.record_success(n)
                                anew = 0
                                if sync.state is s.ReplicationState.IDLE:
                                    poll_at = now + settings.poll_interval_ms * self._rng.uniform(0.8, 1.2)
                            case s.EntriesChanged():
                                self._tell(tenancy.apply_change(step, link.server, now))
                            case s.NextPage():
                                search = link.send(step.search)
                            case s.SearchEnded():
                                anew += 1
                                if step.reaction not in RESTART_REACTIONS or anew > MAX_SEARCH_RESTARTS:
                                    return ConnectionFailure(Progress.REPLY_BEGUN, step.reason, step.reaction)
                                logger.bind(event="tenants.other_way", peer="directory").info(
                                    "directory {}: {}; asked anew: {}",
                                    link.server,
                                    step.reason,
                                    step.reaction.value,
                                )
                                search = link.send(sync.start_refresh(link.server))
                                began, poll_at = now, math.inf

    def _full_refresh_due(self) -> bool:
        """Is it time for the refresh that confirms what is held?"""
        at = self._tenants.guard.confirmation_due_at()
        return at is not None and self._now() >= at

    def _until(
        self,
        heard: float,
        began: float,
        probe: int,
        probe_until: float,
        poll_at: float,
        questions: dict[int, _Lookup],
    ) -> float:
        """When something is due next, whatever comes."""
        settings = self.settings
        until = min((q.deadline_ms for q in questions.values()), default=math.inf)
        if self.sync.state is s.ReplicationState.REFRESHING:
            until = min(until, heard + settings.operation_timeout_ms, began + settings.refresh_timeout_ms)
        else:
            look = self._tenants.guard.confirmation_due_at()
            until = min(
                until,
                poll_at,
                look if look is not None else math.inf,
                probe_until if probe else heard + settings.probe_interval_ms,
            )
            if self._tenants.unknown_clients.waiting:
                until = min(until, self._now() + LOOKUP_POLL_MS)
        return until

    def _refreshed(self, step: s.RefreshCompleted, server: str, now: float, took: float) -> TaskSteps:
        steps, news = self._tenants.apply_refresh_in_slices(step, server, now), None
        try:
            while news is None:
                try:
                    next(steps)
                except StopIteration as stop:
                    news = stop.value
                else:
                    yield Wait(until=self._now())
        finally:
            if news is None:  # given up half way: the cookie must not say that this is known
                self.sync.forget_cookie()
        table = self._tenants.table
        logger.bind(
            event="tenants.refreshed",
            peer="directory",
            server=server,
            ms=round(took, 1),
            mode=self.sync.mode.name.lower(),
            tenants=len(table),
            networks=table.network_count,
            changed=len(news.quotas),
            removed=len(news.removed_ids),
        ).info(
            "directory {}: refreshed in {:.0f} ms, {} tenants, {} networks",
            server,
            took,
            len(table),
            table.network_count,
        )
        self._tell(news)

    # Questions about callers nobody knows.

    def _ask(self, link: LdapConnection, questions: dict[int, _Lookup], now: float) -> None:
        unknowns, q = self._tenants.unknown_clients, self.settings.query
        for number, asked in list(questions.items()):
            if now >= asked.deadline_ms:
                del questions[number]
                link.send(m.AbandonRequest(number))
                unknowns.finish_lookup(asked.address, False, now)
        self._accepts_lookups = self.sync.state is not s.ReplicationState.REFRESHING
        while self._accepts_lookups:
            address = unknowns.start_next_lookup(now)
            if address is None:
                return
            test = lookup_filter(address, q.attribute_names.network, unknowns.rules)
            if test is None:
                unknowns.finish_lookup(address, False, now)
                continue
            number = link.send(
                m.SearchRequest(q.base, q.scope, ("and", [q.filter, test]), q.attribute_names.all())
            )
            questions[number] = _Lookup(address, now + self.settings.operation_timeout_ms)

    def _answered(self, questions: dict[int, _Lookup], number: int, op: m.Response, now: float) -> None:
        asked = questions[number]
        if isinstance(op, m.SearchResultEntry):
            made = read_tenant(op.dn, op.attributes, self.settings.query.attribute_names, self.sync.base)
            if isinstance(made, BadEntry):
                asked.bad_entries.append(made)
            elif len(asked.tenants) < self.settings.query.page_size:
                asked.tenants.append(made)
        elif isinstance(op, m.SearchResultDone):
            del questions[number]
            self._tell(self._tenants.apply_lookup(asked.address, asked.tenants, asked.bad_entries, now))
