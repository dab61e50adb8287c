"""How each server is followed: the best mode that it supports, and the size of its pages. Pure.

| mode    | protocol                               | what the server sends                           |
| ------- | -------------------------------------- | ----------------------------------------------- |
| PERSIST | refreshAndPersist (RFC 4533, sec. 3.4) | a refresh, then each change as it happens       |
| REFRESH | refreshOnly (RFC 4533, section 3.3)    | a refresh each period, from a cookie on         |
| PAGED   | paged results (RFC 2696)               | the complete content, in pages, each period     |

A server that lacks a mode is followed in the next one until the query changes.
"""

from __future__ import annotations

from enum import IntEnum

MIN_PAGE_SIZE = 10


class ReplicationMode(IntEnum):
    """How a server is followed; each mode needs less of it than the one before."""

    PERSIST = 0
    REFRESH = 1
    PAGED = 2


class ServerModes:
    """The mode of each server, and the entries to request a page."""

    def __init__(self, initial_mode: ReplicationMode, page_size: int) -> None:
        self.page_size = page_size
        self._initial_mode = initial_mode
        self._fallbacks: dict[str, ReplicationMode] = {}  # of servers that lack a better one

    def mode_of(self, server: str) -> ReplicationMode:
        """Return the mode in which this server is followed."""
        return self._fallbacks.get(server, self._initial_mode)

    def fall_back(self, server: str, mode: ReplicationMode) -> None:
        """Follow this server in the mode after ``mode`` from now on."""
        self._fallbacks[server] = ReplicationMode(min(mode + 1, ReplicationMode.PAGED))

    def reduce_page_size(self, server: str, mode: ReplicationMode) -> None:
        """Use pages at this server from now on, and smaller ones if ``mode`` is PAGED already."""
        if mode is ReplicationMode.PAGED:
            self.page_size = max(MIN_PAGE_SIZE, self.page_size // 2)
        self._fallbacks[server] = ReplicationMode.PAGED
