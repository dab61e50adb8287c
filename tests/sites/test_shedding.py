"""Tests which requests of other sites' clients are rejected first, and which never run."""

from __future__ import annotations

import itertools

from snowthread.sites.shedding import (
    MAX_OTHER_SITE_PRESSURE,
    MAX_OTHER_SITE_SHARE,
    NodeLoad,
    SheddingDecision,
    SiteBalancers,
    decide_request,
    load_pressure,
    shedding_order,
)

CLASS_COUNT = 3


def load(blocking_probability: float = 0.0, queued: int = 0, other_site_requests: int = 0) -> NodeLoad:
    return NodeLoad(blocking_probability, queued, 4, 8.0, other_site_requests)


def decide_other_site(
    class_position: int, rank: float, node: NodeLoad, is_idempotent: bool = True
) -> SheddingDecision:
    """Return the decision on a request of another site's client."""
    return decide_request(
        is_own_client=False,
        is_idempotent=is_idempotent,
        class_position=class_position,
        class_count=CLASS_COUNT,
        rank=rank,
        load=node,
    )


def test_a_request_of_less_weight_is_rejected_before_one_of_more_at_every_pressure() -> None:
    order = shedding_order({"match": 0.8, "recalc": 2.2, "dispense": 9.0})
    assert order == {"match": 0, "recalc": 1, "dispense": 2}
    by_threshold = [(position, rank / 10.0) for position in range(CLASS_COUNT) for rank in range(10)]
    for step in range(60):
        node = load(step / 100.0)
        admitted = [
            decide_other_site(position, rank, node) is SheddingDecision.ADMIT
            for position, rank in by_threshold
        ]
        for low, high in itertools.combinations(range(len(by_threshold)), 2):
            assert not (admitted[low] and not admitted[high])
    assert not any(
        decide_other_site(2, 0.99, load(MAX_OTHER_SITE_PRESSURE)) is SheddingDecision.ADMIT
        for _ in range(CLASS_COUNT)
    )


def test_with_free_capacity_idempotent_requests_are_admitted_up_to_their_share() -> None:
    assert decide_other_site(0, 0.0, load()) is SheddingDecision.ADMIT
    full = load(other_site_requests=int(MAX_OTHER_SITE_SHARE * 8))
    assert decide_other_site(2, 0.9, full) is SheddingDecision.REJECT
    assert load_pressure(load(queued=8)) == 0.5 and load_pressure(load(0.7, 8)) == 0.7


def test_own_requests_are_admitted_and_foreign_keyed_ones_failed_whatever_the_load() -> None:
    for blocking_probability in (0.0, 0.5, 1.0):
        node = load(blocking_probability)
        own = decide_request(
            is_own_client=True,
            is_idempotent=False,
            class_position=0,
            class_count=CLASS_COUNT,
            rank=0.0,
            load=node,
        )
        assert own is SheddingDecision.ADMIT
        assert decide_other_site(2, 0.9, node, is_idempotent=False) is SheddingDecision.FAIL


def test_a_number_in_no_range_belongs_to_this_site() -> None:
    ranges = SiteBalancers("a", {"a": [(0, 9)], "b": [(10, 19), (30, 30)]})
    assert [ranges.site_of(n) for n in (0, 9, 10, 19, 20, 30, 31)] == ["a", "a", "b", "b", "a", "b", "a"]
