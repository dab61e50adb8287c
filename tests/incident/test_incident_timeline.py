"""Timelines of emulated days: each fault is found, in order, with its records and no false positives."""

from __future__ import annotations

import re
from collections.abc import Sequence

import pytest
from support.incident_days import CONSECUTIVE_FAULTS, reconstruct

from emulators.recorded_incidents import DAY_BEGIN_S, Fault, FaultKind, draw_faults, generate_day
from snowthread.incident.episodes import Episode, EpisodeKind
from snowthread.incident.timeline import began_before, possible_causes


@pytest.mark.parametrize("seed", range(6))
def test_known_faults_are_named_in_order_with_clocks_3_s_apart(seed: int) -> None:
    day = generate_day(seed, faults=CONSECUTIVE_FAULTS, offset_ms=3000.0, drift_ppm=200.0)
    incidents = reconstruct(day).incidents
    assert [episode.kind for episode in incidents] == ["slow database", "rolling deploy", "crash"]
    for episode, fault in zip(incidents, CONSECUTIVE_FAULTS, strict=True):
        error_ms = episode.start_ms - (DAY_BEGIN_S + fault.start_s) * 1000.0
        assert abs(error_ms) <= 2500.0, (episode, error_ms)
    slow_database, deploy, crash = incidents
    assert began_before(slow_database, deploy) is True
    assert deploy.nodes == ("n0", "n1", "n2", "n3") and crash.nodes == ("n2",)


def test_every_sentence_is_supported_by_records_that_exist() -> None:
    day = generate_day(3, faults=CONSECUTIVE_FAULTS)
    sentences = reconstruct(day).timeline.sentences
    by_key = {record.key: record for records in day.records.values() for record in records}
    assert sentences
    for sentence in sentences:
        assert sentence.evidence and all(key in by_key for key in sentence.evidence), sentence
    crash = next(sentence for sentence in sentences if sentence.kind == EpisodeKind.CRASH)
    assert by_key[crash.evidence[1]].kind == "start"
    for number in re.findall(r"[0-9]+ nodes", " ".join(sentence.text for sentence in sentences)):
        assert number == "4 nodes"


def test_quiet_days_have_no_episodes() -> None:
    false_positives = {}
    for seed in range(100):
        timeline = reconstruct(generate_day(seed, nodes=3, seconds=120)).timeline
        if timeline.sentences or not timeline.quiet:
            false_positives[seed] = [sentence.text for sentence in timeline.sentences]
    assert not false_positives


def count_found(seeds: Sequence[int]) -> tuple[int, int, int]:
    """Return the numbers of faults found, of false positives, and of faults missed."""
    found = false_positives = missed = 0
    for seed in seeds:
        faults = draw_faults(seed)
        day = generate_day(seed, seconds=240, faults=faults)
        kinds = [episode.kind.value for episode in reconstruct(day).incidents]
        for fault in faults:
            if fault.kind.value in kinds:
                kinds.remove(fault.kind.value)
                found += 1
            else:
                missed += 1
        false_positives += len(kinds)
    return found, false_positives, missed


def test_days_with_several_random_faults() -> None:
    found, false_positives, missed = count_found(range(25))
    assert false_positives == 0 and found / (found + missed) > 0.9


def test_two_faults_with_the_same_effect_are_both_named_as_possible_causes() -> None:
    both = (
        Fault(FaultKind.SLOW_DATABASE, 60.0, 25.0, 8.0),
        Fault(FaultKind.ROLLING_DEPLOY, 59.0, 20.0, 5.0, (0, 1, 2, 3)),
    )
    text = not_served_text(both)
    assert "slow database" in text and "rolling deploy" in text
    assert "do not show which" in text
    text = not_served_text(both[:1])
    assert "slow database" in text and "do not show" not in text


def not_served_text(faults: Sequence[Fault]) -> str:
    """Return the first sentence on requests that were not served on a day with these faults."""
    sentences = reconstruct(generate_day(5, faults=faults)).timeline.sentences
    return next(sentence.text for sentence in sentences if sentence.kind == EpisodeKind.NOT_SERVED)


def test_an_effect_is_not_attributed_to_a_later_episode() -> None:
    effect = Episode(EpisodeKind.NOT_SERVED, 50_000.0, 60_000.0, 500.0, (), 10.0, ())
    later = Episode(EpisodeKind.TRAFFIC_JUMP, 55_000.0, 60_000.0, 500.0, (), 2.0, ())
    earlier = Episode(EpisodeKind.CRASH, 30_000.0, 40_000.0, 500.0, (), 1.0, ())
    near = Episode(EpisodeKind.SLOW_DATABASE, 50_800.0, 60_000.0, 500.0, (), 3.0, ())
    assert possible_causes(effect, [later, earlier, near, effect]) == [near]
    assert began_before(effect, near) is None and began_before(earlier, effect) is True
