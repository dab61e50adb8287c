"""Sites: standing, dealing a lost one's load, paced return: slow links, flaps, old lives, split brains."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.sites.membership import Heartbeat, MembershipRules, SiteMembership, SiteStatus, StatusChange
from snowthread.sites.recovery_ramp import SHARE_STEP, RecoveryRamp, SiteHealth
from snowthread.sites.spillover import MAX_SPARE_SHARE, SpilloverTarget, allocate

RULES = MembershipRules(heartbeat_interval_ms=250.0, lost_after_ms=2000.0, up_after_ms=3000.0)
WELL = SiteHealth(1.0, 0.5)


class Play:
    """Three sites; the beats of b and c reach a as the play says."""

    def __init__(self) -> None:
        self.sites = SiteMembership.create("a", ["b", "c"], RULES, 0.0)
        self.now, self.moves = 0.0, list[StatusChange]()
        self.lives = {"b": 1, "c": 1}

    def run(
        self, for_ms: float, delay: dict[str, float], hears: dict[str, set[str]] | None = None
    ) -> list[StatusChange]:
        """Let time pass; a site that is not in ``delay`` is silent, the others' beats come so far apart."""
        moves, end = [], self.now + for_ms
        due = {name: self.now + gap for name, gap in delay.items()}
        while self.now < end:
            self.now += 10.0
            for name, at in due.items():
                if self.now >= at:
                    heard = (hears or {}).get(name, {"a", "b", "c"} - {name})
                    beat = Heartbeat(name, 1, self.lives[name], 50.0, frozenset(heard))
                    moves += self.sites.receive(beat, self.now)
                    due[name] = self.now + delay[name]
            moves += self.sites.tick(self.now)
        self.moves += moves
        return moves

    def standing(self, name: str) -> SiteStatus:
        return self.sites.peers[name].status


def up() -> Play:
    play = Play()
    play.run(2000.0, {"b": 250.0, "c": 250.0})
    assert play.standing("b") is play.standing("c") is SiteStatus.UP
    return play


def test_a_site_that_falls_silent_is_suspected_then_lost_and_its_load_moves_only_then() -> None:
    play = up()
    moves = play.run(5000.0, {"c": 250.0}, {"c": {"a"}})
    assert [(m.site, m.current) for m in moves] == [("b", SiteStatus.SUSPECT), ("b", SiteStatus.LOST)]


def test_a_link_that_gets_slow_or_uneven_moves_nothing() -> None:
    play, draw = up(), random.Random(5)
    for _ in range(200):
        play.run(draw.uniform(100.0, 700.0), {"b": draw.uniform(100.0, 690.0), "c": 250.0})
    assert all(move.current is not SiteStatus.LOST for move in play.moves)


def test_what_another_site_hears_is_not_lost() -> None:
    play = up()
    moves = play.run(20_000.0, {"c": 250.0}, {"c": {"a", "b"}})  # only the way from b to a is cut
    assert [m.current for m in moves] == [SiteStatus.SUSPECT] and play.standing("b") is SiteStatus.SUSPECT


def test_a_site_that_is_cut_off_takes_nobody_for_lost() -> None:
    play = up()
    moves = play.run(60_000.0, {})
    assert {m.current for m in moves} == {SiteStatus.SUSPECT} and play.sites.is_isolated()
    assert {m.current for m in play.run(1000.0, {"b": 250.0, "c": 250.0})} == {SiteStatus.UP}


def test_a_lost_site_comes_back_by_way_of_back_and_one_that_flaps_goes_at_once() -> None:
    play = up()
    play.run(5000.0, {"c": 250.0}, {"c": {"a"}})
    play.lives["b"] = 2
    assert [m.current for m in play.run(1000.0, {"b": 250.0, "c": 250.0})] == [SiteStatus.RECOVERING]
    assert [m.current for m in play.run(2000.0, {"c": 250.0}, {"c": {"a"}})] == [SiteStatus.LOST]
    assert [m.current for m in play.run(5000.0, {"b": 250.0, "c": 250.0})] == [
        SiteStatus.RECOVERING,
        SiteStatus.UP,
    ]


def test_a_site_restarted_before_anyone_missed_it_is_back_not_up() -> None:
    play = up()
    play.lives["b"] = 2
    assert [m.current for m in play.run(500.0, {"b": 250.0, "c": 250.0})] == [SiteStatus.RECOVERING]


def test_beats_of_an_earlier_life_and_of_strangers_change_nothing() -> None:
    play = up()
    play.lives["b"] = 2
    play.run(500.0, {"b": 250.0, "c": 250.0})
    assert (
        play.sites.receive(Heartbeat("b", 1, 1, 9.0), play.now) == [] and play.sites.outdated_heartbeats == 1
    )
    assert (
        play.sites.receive(Heartbeat("z", 1, 1, 9.0), play.now) == [] and play.sites.unknown_heartbeats == 1
    )


@settings(max_examples=200, deadline=None)
@given(
    st.floats(0.0, 1000.0),
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.builds(SpilloverTarget, st.floats(-10.0, 500.0), st.floats(0.0, 400.0)),
        max_size=6,
    ),
)
def test_nobody_gets_more_than_its_cap_and_nothing_goes_lost(
    load: float, takers: dict[str, SpilloverTarget]
) -> None:
    dealt = allocate(load, takers, 500.0)
    assert sum(dealt.rates_per_s.values()) + dealt.unallocated_per_s == pytest.approx(load, abs=1e-6)
    for name, part in dealt.rates_per_s.items():
        assert (
            -1e-9 <= part <= MAX_SPARE_SHARE * takers[name].spare_capacity_per_s + 1e-6
            and takers[name].delay_ms < 250.0
        )
    room = sum(
        MAX_SPARE_SHARE * t.spare_capacity_per_s
        for t in takers.values()
        if t.spare_capacity_per_s > 0 and t.delay_ms < 250.0
    )
    assert dealt.unallocated_per_s == pytest.approx(max(0.0, load - room), abs=1e-6)


def test_a_nearer_site_gets_more_and_a_full_one_passes_on() -> None:
    near = allocate(40.0, {"n": SpilloverTarget(100.0, 0.0), "f": SpilloverTarget(100.0, 200.0)}, 500.0)
    assert near.rates_per_s["n"] > near.rates_per_s["f"] > 0.0
    full = allocate(
        85.0, {"small": SpilloverTarget(10.0, 0.0), "large": SpilloverTarget(100.0, 100.0)}, 500.0
    )
    assert full.rates_per_s["small"] == pytest.approx(8.0) and full.rates_per_s["large"] == pytest.approx(
        77.0
    )


def shares(give: RecoveryRamp, begin: float, for_s: int, health: SiteHealth | None) -> list[float]:
    return [give.tick(begin + n * 500.0, health) for n in range(2 * for_s)]


def test_the_share_of_a_site_that_is_back_goes_up_by_steps_while_it_stands_well() -> None:
    give = RecoveryRamp()
    give.mark_lost(0.0)
    give.mark_recovering(10_000.0)
    course = shares(give, 10_000.0, 15, WELL)
    assert course[:4] == [0.0] * 4 and course == sorted(course) and course[-1] == 1.0
    assert max(b - a for a, b in pairwise(course)) <= 2 * SHARE_STEP + 1e-9


def test_a_sick_site_gets_less_and_one_that_is_not_measured_no_more() -> None:
    give = RecoveryRamp()
    give.mark_lost(0.0)
    give.mark_recovering(0.0)
    shares(give, 0.0, 7, WELL)
    before = give.share
    assert shares(give, 7000.0, 1, None)[-1] == before
    assert shares(give, 8000.0, 1, SiteHealth(1.0, 1.5))[-1] == pytest.approx(before / 2.0)
    assert shares(give, 9000.0, 20, SiteHealth(0.5, 0.1))[-1] == SHARE_STEP


def test_a_site_that_flaps_every_ten_seconds_is_soon_sent_nothing() -> None:
    give, sent = RecoveryRamp(), []
    for flap in range(8):
        begin = flap * 10_000.0
        give.mark_lost(begin)
        give.mark_recovering(begin + 3000.0)
        sent.append(max(shares(give, begin + 3000.0, 7, WELL)))
    assert sent[0] > 0.0 and sent[-4:] == [0.0] * 4
    give.mark_lost(200_000.0)
    give.mark_recovering(201_000.0)
    shares(give, 201_000.0, 400, WELL)
    assert give.share == 1.0
    give.mark_lost(900_000.0)  # long after: as at first
    assert give.wait_ms == give.first_wait_ms
