"""Tests which sites count as up: slow links, flapping sites, earlier incarnations, split networks."""

from __future__ import annotations

import random

from snowthread.sites.membership import Heartbeat, MembershipTimings, SiteMembership, SiteStatus, StatusChange

TIMINGS = MembershipTimings(heartbeat_interval_ms=250.0, lost_after_ms=2000.0, up_after_ms=3000.0)
STEP_MS = 10.0
BOTH = {"b": 250.0, "c": 250.0}
ONLY_C = {"c": 250.0}
C_REACHES_A = {"c": {"a"}}


class ThreeSites:
    """The membership seen by site a, which receives heartbeats of sites b and c as a test sets them."""

    def __init__(self) -> None:
        self.membership = SiteMembership.create("a", ["b", "c"], TIMINGS, 0.0)
        self.now_ms = 0.0
        self.changes: list[StatusChange] = []
        self.incarnations = {"b": 1, "c": 1}

    def run(
        self,
        duration_ms: float,
        intervals_ms: dict[str, float],
        reachable: dict[str, set[str]] | None = None,
    ) -> list[StatusChange]:
        """Advance the time; a site that has no entry in ``intervals_ms`` sends no heartbeats."""
        changes = []
        end = self.now_ms + duration_ms
        due = {name: self.now_ms + interval for name, interval in intervals_ms.items()}
        while self.now_ms < end:
            self.now_ms += STEP_MS
            for name, due_at in due.items():
                if self.now_ms >= due_at:
                    changes += self.membership.handle_heartbeat(self.heartbeat(name, reachable), self.now_ms)
                    due[name] = self.now_ms + intervals_ms[name]
            changes += self.membership.tick(self.now_ms)
        self.changes += changes
        return changes

    def heartbeat(self, name: str, reachable: dict[str, set[str]] | None) -> Heartbeat:
        others = (reachable or {}).get(name, {"a", "b", "c"} - {name})
        return Heartbeat(name, 1, self.incarnations[name], 50.0, frozenset(others))

    def status(self, name: str) -> SiteStatus:
        return self.membership.peers[name].status


def all_up() -> ThreeSites:
    sites = ThreeSites()
    sites.run(2000.0, BOTH)
    assert sites.status("b") is sites.status("c") is SiteStatus.UP
    return sites


def test_a_silent_site_is_suspected_before_it_is_lost() -> None:
    changes = all_up().run(5000.0, ONLY_C, C_REACHES_A)
    assert [(change.site, change.current) for change in changes] == [
        ("b", SiteStatus.SUSPECT),
        ("b", SiteStatus.LOST),
    ]


def test_a_slow_or_uneven_link_loses_no_site() -> None:
    sites = all_up()
    generator = random.Random(5)
    for _ in range(200):
        sites.run(generator.uniform(100.0, 700.0), {"b": generator.uniform(100.0, 690.0), "c": 250.0})
    assert all(change.current is not SiteStatus.LOST for change in sites.changes)


def test_a_site_that_another_site_reaches_is_not_lost() -> None:
    sites = all_up()
    changes = sites.run(20_000.0, ONLY_C, {"c": {"a", "b"}})  # Only the link from b to a is cut.
    assert [change.current for change in changes] == [SiteStatus.SUSPECT]
    assert sites.status("b") is SiteStatus.SUSPECT


def test_an_isolated_site_considers_no_other_lost() -> None:
    sites = all_up()
    changes = sites.run(60_000.0, {})
    assert {change.current for change in changes} == {SiteStatus.SUSPECT}
    assert sites.membership.is_isolated()
    assert {change.current for change in sites.run(1000.0, BOTH)} == {SiteStatus.UP}


def test_a_lost_site_recovers_before_it_is_up_and_is_lost_at_once_if_it_flaps() -> None:
    sites = all_up()
    sites.run(5000.0, ONLY_C, C_REACHES_A)
    sites.incarnations["b"] = 2
    assert [change.current for change in sites.run(1000.0, BOTH)] == [SiteStatus.RECOVERING]
    assert [change.current for change in sites.run(2000.0, ONLY_C, C_REACHES_A)] == [SiteStatus.LOST]
    assert [change.current for change in sites.run(5000.0, BOTH)] == [SiteStatus.RECOVERING, SiteStatus.UP]


def test_a_site_restarted_before_it_was_missed_is_recovering_not_up() -> None:
    sites = all_up()
    sites.incarnations["b"] = 2
    assert [change.current for change in sites.run(500.0, BOTH)] == [SiteStatus.RECOVERING]


def test_heartbeats_of_earlier_incarnations_and_unknown_sites_change_nothing() -> None:
    sites = all_up()
    sites.incarnations["b"] = 2
    sites.run(500.0, BOTH)
    assert sites.membership.handle_heartbeat(Heartbeat("b", 1, 1, 9.0), sites.now_ms) == []
    assert sites.membership.outdated_heartbeats == 1
    assert sites.membership.handle_heartbeat(Heartbeat("z", 1, 1, 9.0), sites.now_ms) == []
    assert sites.membership.unknown_heartbeats == 1
