"""The order in which idle connections are closed when the connection table is full.

There is no state: the connections and the time are arguments.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping

from snowthread.frontends.balancers.connection import BalancerConnection
from snowthread.net.limits import MIN_IDLE_BEFORE_EVICTION_MS


def eviction_candidates(
    connections: Mapping[int, BalancerConnection], idle_since_ms: Mapping[int, float], now_ms: float
) -> Iterator[BalancerConnection]:
    """Yield the idle connections that may be closed, the best candidate first.

    1. Idle connections, the longest idle first, but only after ``MIN_IDLE_BEFORE_EVICTION_MS``: a request may
       be on its way on one that became idle more recently.
    2. Idle connections that were sent a farewell at least ``MIN_IDLE_BEFORE_EVICTION_MS`` ago.
    3. Idle connections with a partial message, only if no idle connection was sent a farewell.

    ``idle_since_ms`` maps connection numbers to the time since which they are idle, the longest idle first;
    it may change during the iteration.
    """
    with_partial_message: list[BalancerConnection] = []
    for number, since_ms in list(idle_since_ms.items()):
        if now_ms - since_ms < MIN_IDLE_BEFORE_EVICTION_MS:
            break
        connection = connections.get(number)
        if connection is None:
            continue
        if connection.has_unhandled_input:
            with_partial_message.append(connection)
        else:
            yield connection
    after_farewell = [
        connection
        for connection in connections.values()
        if connection.idle and not connection.has_unhandled_input and connection.farewell_at_ms < math.inf
    ]
    for connection in after_farewell:
        if connection.farewell_at_ms + MIN_IDLE_BEFORE_EVICTION_MS <= now_ms:
            yield connection
    if not after_farewell:
        yield from with_partial_message
