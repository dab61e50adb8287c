"""The link of an emulated runtime to its node: messages, and numbered notices that a new link receives again.

The format on the wire is that of the platform. Each message is a JSON object on a line of its own; ``uid`` is
the id of an attempt, and ``pos`` is the number of a notice.
"""

from __future__ import annotations

import base64
import contextlib
import json
import socket
from collections import deque
from itertools import islice
from typing import Any

# A load report has measured values for utilization and runs, and these constants for heap share and links.
HEAP_SHARE = 0.1
LINKS = 2
RUN_WALL_MS = 1.0  # Wall-clock time in ms reported for every run that ends; it is not measured.

Message = dict[str, Any]


class RuntimeLink:
    """The link to the node that connected last.

    Notices are numbered from 1. All of them are stored, or the latest ``max_notices`` if that is given. When
    a node connects, it names the last notice that it received, and the link sends the stored ones after that.
    """

    def __init__(self, max_notices: int | None = None) -> None:
        self._connection: socket.socket | None = None
        self._notices: deque[Message] = deque(maxlen=max_notices)
        self._notice_count = 0

    def is_current(self, connection: socket.socket) -> bool:
        """Return whether this is the current connection to the node."""
        return self._connection is connection

    def connect(self, connection: socket.socket, code: str, age_ms: float, position: int) -> None:
        """Make a connection the current one, and send the runtime's state and the missed notices on it.

        Args:
            connection: Connection of the node.
            code: State of the machine, as on the wire.
            age_ms: Time since the machine started, in ms.
            position: Number of the last notice that the node received; later ones are sent.
        """
        self._connection = connection
        self.send({"action": "ready", "code": code, "wall_ms": age_ms})
        dropped = self._notice_count - len(self._notices)
        for notice in list(islice(self._notices, max(0, position - dropped), None)):
            self.send(notice)

    def disconnect(self) -> None:
        """Shut down the current connection; the node may connect again."""
        if self._connection is not None:
            with contextlib.suppress(OSError):  # The node's end is already gone if the node has been killed.
                self._connection.shutdown(socket.SHUT_RDWR)
            self._connection = None

    def connection_ended(self, connection: socket.socket) -> None:
        """Update the link after a connection has ended."""
        if self._connection is connection:
            self._connection = None

    def clear_notices(self) -> None:
        """Discard all stored notices and restart their numbering at 1."""
        self._notices.clear()
        self._notice_count = 0

    def send(self, message: Message) -> None:
        """Send a message; it is lost if no node is connected."""
        if self._connection is None or self._connection.fileno() < 0:
            return
        try:
            self._connection.send(json.dumps(message).encode() + b"\n")
        except OSError:
            # Notices are stored and sent again on the next link; other messages are lost.
            self._connection = None

    def send_load(self, echo: str, utilization: float, runs: int) -> None:
        """Answer a load request.

        Args:
            echo: Identifier of the request, which is returned with the answer.
            utilization: Share of the core time in use, from 0 to 1.
            runs: Number of runs on the cores.
        """
        self.send({"action": "load", "echo": echo, "meters": [utilization, runs, HEAP_SHARE, LINKS]})

    def notify_end(self, attempt_id: str, code: str, result: bytes) -> None:
        """Send the notice that a run has ended with this result code and result."""
        content = base64.b64encode(result).decode()
        self._notify(
            {"action": "end", "uid": attempt_id, "code": code, "wall_ms": RUN_WALL_MS, "content": content}
        )

    def notify_call(self, attempt_id: str, body: bytes) -> int:
        """Send the notice that a run requests a database call, and return the notice's number."""
        return self._notify(
            {"action": "wants", "uid": attempt_id, "content": base64.b64encode(body).decode()}
        )

    def _notify(self, notice: Message) -> int:
        """Assign the next number to a notice, store the notice and send it."""
        self._notice_count += 1
        numbered = notice | {"pos": self._notice_count}
        self._notices.append(numbered)
        self.send(numbered)
        return self._notice_count
