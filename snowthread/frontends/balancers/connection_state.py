"""The states of a balancer's connection.

A connection only moves down this table. What the node may still do with it follows from its state alone:

===========  ====================================================  =======================================
state        entered when                                          what may still happen
===========  ====================================================  =======================================
OPEN         it is accepted                                        messages are read and passed to the core
PEER_CLOSED  the peer has closed its writing side                  messages are read; no request is run
CLOSING      the stream ends or is invalid; the peer has spent     unsent answers are sent
             its abuse budget or is too slow with open requests
CLOSED       the socket fails; the connection is evicted, has too  nothing
             much unsent, is too slow, or has sent all answers
===========  ====================================================  =======================================

Open requests are answered as failed when PEER_CLOSED or CLOSING is entered.
"""

from __future__ import annotations

from enum import IntEnum


class ConnectionState(IntEnum):
    """The state of a connection; a later state has the higher value."""

    OPEN = 0
    PEER_CLOSED = 1
    CLOSING = 2
    CLOSED = 3
