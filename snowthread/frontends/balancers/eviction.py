"""The order in which idle connections are closed where the connection table is full.

Pure: the connections and the time are arguments.
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

    1. Idle connections, the longest idle first, but none so recent that its request may be on the way.
    2. Connections that were sent a farewell long enough ago.
    3. Connections with a partial message, only where no idle connection had a farewell at all.

    ``idle_since_ms`` is ordered by time and may change while this is iterated.
    """
    with_partial_message: list[BalancerConnection] = []
    for number, since_ms in list(idle_since_ms.items()):
        if now_ms - since_ms < MIN_IDLE_BEFORE_EVICTION_MS:
            break
        connection = connections.get(number)
        if connection is None:
            continue
        if connection.has_partial_message:
            with_partial_message.append(connection)
        else:
            yield connection
    after_farewell = [
        connection
        for connection in connections.values()
        if connection.idle and not connection.has_partial_message and connection.farewell_at_ms < math.inf
    ]
    for connection in after_farewell:
        if connection.farewell_at_ms + MIN_IDLE_BEFORE_EVICTION_MS <= now_ms:
            yield connection
    if not after_farewell:
        yield from with_partial_message
