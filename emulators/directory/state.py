"""The state of a directory without its sockets: content, capabilities, faults and counters."""

from __future__ import annotations

from emulators.directory.content import Content
from emulators.directory.faults import Capabilities, Faults


class DirectoryState(Content):
    """The state that all connections of a directory share."""

    def __init__(self, base: str, capabilities: Capabilities) -> None:
        super().__init__(base)
        self.capabilities = capabilities
        self.faults = Faults()
        self.search_count = 0
        self.bind_count = 0
