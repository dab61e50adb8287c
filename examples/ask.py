"""Send one request to a formula node and print its answer: ``ask.py [CLASS [BODY [KEY]]]``.

``KEY`` is the idempotency key; without it, a request of the class ``dispense`` gets a random one. The node's
address is read from the configuration file that ``NODE_CONFIG`` names, or else from ``node.json`` in the
folder of this file.
"""

from __future__ import annotations

import json
import os
import secrets
import socket
import sys
import time
from pathlib import Path

import msgpack

REQUEST_MESSAGE = 0
WAIT_MS = 3000
MEMORY_KB = 20
CONNECT_TIMEOUT_S = 5
READ_BYTES = 65536


def send_request(
    address: tuple[str, int], class_name: str, body: bytes, idempotency_key: str | None = None
) -> object:
    """Send one request on a new connection and return the complete answer message.

    Exits with an error message if the node closes the connection without an answer.
    """
    fields = {
        "id": secrets.token_hex(8),
        "at": str(int(time.time() * 1000)),
        "from": "0",
        "wait": str(WAIT_MS),
        "kb": str(MEMORY_KB),
        "rank": "0.5",
    }
    if idempotency_key:
        fields["once"] = idempotency_key
    request = [REQUEST_MESSAGE, 1, class_name, [fields, body]]
    with socket.create_connection(address, timeout=CONNECT_TIMEOUT_S) as sock:
        sock.sendall(msgpack.packb(request))
        unpacker = msgpack.Unpacker()
        while True:
            unpacker.feed(sock.recv(READ_BYTES) or sys.exit("ask: the node closed the connection"))
            for message in unpacker:
                return message


def main(class_name: str = "match", body: str = "a warm grey", key: str | None = None) -> None:
    """Send a request to the configured node and print the answer."""
    path = Path(os.environ.get("NODE_CONFIG", Path(__file__).with_name("node.json")))
    host, _, port = json.loads(path.read_text())["listen"].rpartition(":")
    if key is None and class_name == "dispense":
        key = secrets.token_hex(16)
    print(send_request((host, int(port)), class_name, body.encode(), key))


if __name__ == "__main__":
    main(*sys.argv[1:4])
