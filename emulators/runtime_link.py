"""The link of an emulated runtime to its node: messages, and numbered notices that are sent again.

The wire words are those of the platform: a message is a JSON object a line, ``uid`` names an attempt, ``pos``
the number of a notice.
"""

from __future__ import annotations

import base64
import contextlib
import json
import socket
from collections import deque
from itertools import islice
from typing import Any

# Reported as constants with the measured part of the load.
HEAP_SHARE = 0.1
LINKS = 2
RUN_WALL_MS = 1.0  # reported with each run that ended

Message = dict[str, Any]


class RuntimeLink:
    """The link to the node that connected last.

    Notices are numbered from 1. They are stored, the latest ``max_notices`` where that is given, and sent
    again to a node that connects and asks for those after a position.
    """

    def __init__(self, max_notices: int | None = None) -> None:
        self._connection: socket.socket | None = None
        self._notices: deque[Message] = deque(maxlen=max_notices)
        self._notice_count = 0

    def is_current(self, connection: socket.socket) -> bool:
        """Return whether this is the connection of the node."""
        return self._connection is connection

    def connect(self, connection: socket.socket, code: str, age_ms: float, position: int) -> None:
        """Take a connection as the node's.

        It is sent the machine's state (``code``) and age, and all stored notices after a position.
        """
        self._connection = connection
        self.send({"action": "ready", "code": code, "wall_ms": age_ms})
        dropped = self._notice_count - len(self._notices)
        for notice in list(islice(self._notices, max(0, position - dropped), None)):
            self.send(notice)

    def disconnect(self) -> None:
        """Break the link; the node may connect again."""
        if self._connection is not None:
            with contextlib.suppress(OSError):  # its node may have been killed a moment ago
                self._connection.shutdown(socket.SHUT_RDWR)
            self._connection = None

    def connection_ended(self, connection: socket.socket) -> None:
        """Note that a connection has ended."""
        if self._connection is connection:
            self._connection = None

    def clear_notices(self) -> None:
        """Begin the numbering of notices again."""
        self._notices.clear()
        self._notice_count = 0

    def send(self, message: Message) -> None:
        """Send a message; it is lost where there is no link."""
        if self._connection is None or self._connection.fileno() < 0:
            return
        try:
            self._connection.send(json.dumps(message).encode() + b"\n")
        except OSError:
            self._connection = None  # a notice is sent again on the next link

    def send_load(self, echo: str, utilization: float, runs: int) -> None:
        """Answer a request for the load of the cores."""
        self.send({"action": "load", "echo": echo, "meters": [utilization, runs, HEAP_SHARE, LINKS]})

    def notify_end(self, attempt_id: str, code: str, result: bytes) -> None:
        """Send the notice that a run has ended."""
        content = base64.b64encode(result).decode()
        self._notify(
            {"action": "end", "uid": attempt_id, "code": code, "wall_ms": RUN_WALL_MS, "content": content}
        )

    def notify_call(self, attempt_id: str, body: bytes) -> int:
        """Send the notice that a run wants to call the database, and return its number."""
        return self._notify(
            {"action": "wants", "uid": attempt_id, "content": base64.b64encode(body).decode()}
        )

    def _notify(self, notice: Message) -> int:
        """Give a notice its number, store it and send it."""
        self._notice_count += 1
        numbered = notice | {"pos": self._notice_count}
        self._notices.append(numbered)
        self.send(numbered)
        return self._notice_count
