"""Choose the replication mode of each server: the best one that it supports. Without I/O.

| mode    | protocol                               | what the server sends                           |
| ------- | -------------------------------------- | ----------------------------------------------- |
| PERSIST | refreshAndPersist (RFC 4533, sec. 3.4) | a refresh, then each change when it happens     |
| REFRESH | refreshOnly (RFC 4533, section 3.3)    | at each poll, the changes since a cookie        |
| PAGED   | paged results (RFC 2696)               | at each poll, the complete content in pages     |

A server that does not support a mode is replicated in the next one until the query changes.
"""

from __future__ import annotations

from enum import IntEnum

MIN_PAGE_SIZE = 10  # entries per page


class ReplicationMode(IntEnum):
    """How a server is replicated; a higher value requires fewer LDAP features of the server."""

    PERSIST = 0
    REFRESH = 1
    PAGED = 2


class ServerModes:
    """The replication mode of each server, and the page size in entries that is requested of all servers."""

    def __init__(self, initial_mode: ReplicationMode, page_size: int) -> None:
        self.page_size = page_size
        self._initial_mode = initial_mode
        self._fallbacks: dict[str, ReplicationMode] = {}  # by server: modes other than the initial one

    def mode_of(self, server: str) -> ReplicationMode:
        """Return the replication mode of a server."""
        return self._fallbacks.get(server, self._initial_mode)

    def fall_back(self, server: str, mode: ReplicationMode) -> None:
        """Use the mode after ``mode`` for this server from now on."""
        self._fallbacks[server] = ReplicationMode(min(mode + 1, ReplicationMode.PAGED))

    def request_smaller_results(self, server: str, mode: ReplicationMode) -> None:
        """Use paged results for a server; if ``mode`` is PAGED already, halve the page size of all servers.

        ``mode`` is the mode of the search that exceeded a limit of the server.
        """
        if mode is ReplicationMode.PAGED:
            self.page_size = max(MIN_PAGE_SIZE, self.page_size // 2)
        self._fallbacks[server] = ReplicationMode.PAGED
