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
from snowthread.ldap.client import Link, LinkFailure
from snowthread.ldap.health import Reaction, Servers, reaction
from snowthread.net.attempt import Progress
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.tenants import sync as s
from snowthread.tenants.entry import BadEntry, read
from snowthread.tenants.model import Tenant
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantChanges, TenantState
from snowthread.tenants.unknown_clients import question

ANEW_MOST = 4  # searches begun anew on one link because the server wants another way
ANEW = Reaction.RESTART, Reaction.WITHOUT, Reaction.SMALLER
TOKEN_MS = 50.0  # a look whether a question may be sent now
NO_ATTRIBUTES = ("1.1",)  # RFC 4511, section 4.5.1.8


@dataclass(slots=True)
class _Question:
    """A question about a caller, and what came of it so far."""

    address: str
    until: float
    tenants: list[Tenant] = field(default_factory=list)
    bad: list[BadEntry] = field(default_factory=list)


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
        self._loop, self.settings, self._tenancy, self._rng, self._tell = loop, settings, tenancy, rng, tell
        self.sync = s.Sync(settings.question)
        self.servers = self._servers()
        self.server = ""  # where a session stands now
        self.link_failures = 0
        self._asking = False
        self._task = loop.spawn(self._steps(settings.spread_ms))

    def _servers(self) -> Servers:
        names = tuple(url.server for url in self.settings.servers)
        return Servers(names, self.settings.patience, self._loop.clock.now())

    def wake(self) -> None:
        """A question waits."""
        if self._asking:
            self._loop.wake(self._task)

    def apply_settings(self, settings: TenantSettings) -> None:
        """Other servers, credentials or another question: what goes on ends, nothing that is known does."""
        self._loop.end_task(self._task)
        self.settings = settings
        self.sync.move(settings.question)
        self._tenancy.unknown_clients.unanswered()
        self.servers = self._servers()
        self._task = self._loop.spawn(self._steps(0.0))

    def _now(self) -> float:
        return self._loop.clock.now()

    def _steps(self, spread_ms: float) -> TaskSteps:
        # Nodes that start at once would else all ask the directory in the same instant.
        yield Wait(until=self._now() + self._rng.uniform(0.0, spread_ms))
        while True:
            n = self.servers.choose(self._now())
            if n is not None:
                trouble = yield from self._session(n)
                self.link_failures += 1
                opened = self.servers.failed(n, self._now(), trouble.reaction)
                logger.bind(
                    event="tenants.link_lost",
                    peer="directory",
                    server=self.servers.names[n],
                    progress=trouble.progress.name,
                    reaction=trouble.reaction.value,
                ).warning(
                    "directory {}: {}{}",
                    self.servers.names[n],
                    trouble.reason,
                    "; left alone for a while" if opened else "",
                )
            until = self._now() + self.servers.wait(self._now(), self._rng)
            while self._now() < until:  # a question that wakes it does not make it try sooner
                yield Wait(until=until)

    def _session(self, n: int) -> Generator[Wait, int, LinkFailure]:
        link = Link(self._loop, self.settings.servers[n], self.settings.access)
        try:
            trouble = yield from link.open()
            if trouble is not None:
                return trouble
            self.server = link.server
            return (yield from self._follow(link, n))
        finally:
            self.server, self._asking = "", False
            self.sync.cut()
            self._tenancy.unknown_clients.unanswered()
            link.close()

    def _follow(self, link: Link, n: int) -> Generator[Wait, int, LinkFailure]:
        """One session's work, until it fails."""
        settings, tenancy, sync = self.settings, self._tenancy, self.sync
        questions: dict[int, _Question] = {}
        search = link.send(sync.begin(link.server, whole=self._whole_due()))
        began = heard = self._now()
        probe, probe_until, poll_at, anew = 0, math.inf, math.inf, 0
        while True:
            now = self._now()
            # What is due.
            if sync.state is s.State.REFRESHING:
                if now - heard >= settings.operation_ms or now - began >= settings.refresh_ms:
                    return LinkFailure(Progress.REPLY_BEGUN, "the refresh stalls")
            else:
                if now >= probe_until:
                    return LinkFailure(Progress.REPLY_BEGUN, "a probe is not answered")
                if now >= poll_at or self._whole_due():
                    if sync.state is s.State.FOLLOWING:
                        link.send(m.Abandon(search))
                    search = link.send(sync.begin(link.server, whole=self._whole_due()))
                    began = heard = now
                    probe, probe_until, poll_at = 0, math.inf, math.inf
                elif not probe and now - heard >= settings.probe_ms:
                    probe = link.send(
                        m.Search(
                            settings.question.base, m.Scope.BASE, ("present", b"objectClass"), NO_ATTRIBUTES
                        )
                    )
                    probe_until = now + settings.operation_ms
            self._ask(link, questions, now)
            until = self._until(heard, began, probe, probe_until, poll_at, questions)
            got = yield from link.receive(until)
            if isinstance(got, LinkFailure):
                return got
            now = self._now()
            for message in got:
                heard = now
                op = message.op
                if message.id in questions:
                    self._answered(questions, message.id, op, now)
                elif message.id == probe:
                    if isinstance(op, m.SearchDone):
                        probe, probe_until = 0, math.inf
                        if reaction(op.result.code) is not Reaction.DONE:
                            return LinkFailure(
                                Progress.REPLY_BEGUN,
                                f"a probe ends with code {op.result.code}",
                                reaction(op.result.code),
                            )
                        if sync.state is s.State.FOLLOWING:
                            tenancy.staleness.confirm(now)
                elif message.id == search:
                    for step in sync.take(op):
                        match step:
                            case s.Refreshed():
                                yield from self._refreshed(step, link.server, now, now - began)
                                self.servers.succeeded(n)
                                anew = 0
                                if sync.state is s.State.IDLE:
                                    poll_at = now + settings.poll_ms * self._rng.uniform(0.8, 1.2)
                            case s.Changed():
                                self._tell(tenancy.changed(step, link.server, now))
                            case s.NextPage():
                                search = link.send(step.search)
                            case s.Over():
                                anew += 1
                                if step.reaction not in ANEW or anew > ANEW_MOST:
                                    return LinkFailure(Progress.REPLY_BEGUN, step.reason, step.reaction)
                                logger.bind(event="tenants.other_way", peer="directory").info(
                                    "directory {}: {}; asked anew: {}",
                                    link.server,
                                    step.reason,
                                    step.reaction.value,
                                )
                                search = link.send(sync.begin(link.server))
                                began, poll_at = now, math.inf

    def _whole_due(self) -> bool:
        """Is it time for the refresh that confirms what is held?"""
        at = self._tenancy.guard.look_again_at()
        return at is not None and self._now() >= at

    def _until(
        self,
        heard: float,
        began: float,
        probe: int,
        probe_until: float,
        poll_at: float,
        questions: dict[int, _Question],
    ) -> float:
        """When something is due next, whatever comes."""
        settings = self.settings
        until = min((q.until for q in questions.values()), default=math.inf)
        if self.sync.state is s.State.REFRESHING:
            until = min(until, heard + settings.operation_ms, began + settings.refresh_ms)
        else:
            look = self._tenancy.guard.look_again_at()
            until = min(
                until,
                poll_at,
                look if look is not None else math.inf,
                probe_until if probe else heard + settings.probe_ms,
            )
            if self._tenancy.unknown_clients.waiting:
                until = min(until, self._now() + TOKEN_MS)
        return until

    def _refreshed(self, step: s.Refreshed, server: str, now: float, took: float) -> TaskSteps:
        steps, news = self._tenancy.refreshing(step, server, now), None
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
        table = self._tenancy.table
        logger.bind(
            event="tenants.refreshed",
            peer="directory",
            server=server,
            ms=round(took, 1),
            mode=self.sync.mode.name.lower(),
            tenants=len(table),
            networks=table.networks,
            changed=len(news.shares),
            removed=len(news.removed),
        ).info(
            "directory {}: refreshed in {:.0f} ms, {} tenants, {} networks",
            server,
            took,
            len(table),
            table.networks,
        )
        self._tell(news)

    # Questions about callers nobody knows.

    def _ask(self, link: Link, questions: dict[int, _Question], now: float) -> None:
        unknowns, q = self._tenancy.unknown_clients, self.settings.question
        for number, asked in list(questions.items()):
            if now >= asked.until:
                del questions[number]
                link.send(m.Abandon(number))
                unknowns.answered(asked.address, False, now)
        self._asking = self.sync.state is not s.State.REFRESHING
        while self._asking:
            address = unknowns.next(now)
            if address is None:
                return
            test = question(address, q.names.network, unknowns.rules)
            if test is None:
                unknowns.answered(address, False, now)
                continue
            number = link.send(m.Search(q.base, q.scope, ("and", [q.filter, test]), q.names.all()))
            questions[number] = _Question(address, now + self.settings.operation_ms)

    def _answered(self, questions: dict[int, _Question], number: int, op: m.Response, now: float) -> None:
        asked = questions[number]
        if isinstance(op, m.Entry):
            made = read(op.dn, op.attributes, self.settings.question.names, self.sync.base)
            if isinstance(made, BadEntry):
                asked.bad.append(made)
            elif len(asked.tenants) < self.settings.question.page_size:
                asked.tenants.append(made)
        elif isinstance(op, m.SearchDone):
            del questions[number]
            self._tell(self._tenancy.found(asked.address, asked.tenants, asked.bad, now))
