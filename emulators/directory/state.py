"""A directory without its sockets: its content, what it supports, its faults and its counts."""

from __future__ import annotations

from emulators.directory.content import Content
from emulators.directory.faults import Capabilities, Faults


class DirectoryState(Content):
    """What the connections of one directory share."""

    def __init__(self, base: str, capabilities: Capabilities) -> None:
        super().__init__(base)
        self.capabilities = capabilities
        self.faults = Faults()
        self.search_count = 0  # requests received
        self.bind_count = 0
