"""Send one request to a formula node and print its answer: ``ask.py [CLASS [BODY [ONCE]]]``."""

from __future__ import annotations

import json
import os
import secrets
import socket
import sys
import time
from pathlib import Path

import msgpack


def ask(address: tuple[str, int], class_name: str, body: bytes, once: str | None = None) -> object:
    """The whole answer message."""
    fields = {
        "id": secrets.token_hex(8),
        "at": str(int(time.time() * 1000)),
        "from": "0",
        "wait": "3000",
        "kb": "20",
        "rank": "0.5",
    }
    if once:
        fields["once"] = once
    with socket.create_connection(address, timeout=5) as sock:
        sock.sendall(msgpack.packb([0, 1, class_name, [fields, body]]))
        unpacker = msgpack.Unpacker()
        while True:
            unpacker.feed(sock.recv(65536) or sys.exit("ask: the node closed the connection"))
            for message in unpacker:
                return message


if __name__ == "__main__":
    path = Path(os.environ.get("NODE_CONFIG", Path(__file__).with_name("node.json")))
    config = json.loads(path.read_text())
    host, _, port = config["listen"].rpartition(":")
    kind = sys.argv[1] if len(sys.argv) > 1 else "match"
    text = sys.argv[2] if len(sys.argv) > 2 else "a warm grey"
    key = sys.argv[3] if len(sys.argv) > 3 else (secrets.token_hex(16) if kind == "dispense" else None)
    print(ask((host, int(port)), kind, text.encode(), key))
