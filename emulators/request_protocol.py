"""Messages between emulated balancers and a node, as they are on the wire."""

from __future__ import annotations

import time
from dataclasses import dataclass

import msgpack

# Outcomes of a request on the wire, but for the first: an answer with a result names none.
SERVED = "served"
REJECTED = "Throttled"
FAILED = "Failed"

# Kinds of messages.
REQUEST_MESSAGE = 0
ANSWER_MESSAGE = 1
NOTIFICATION_MESSAGE = 2  # a farewell of the node, or a balancer's cancellation

PLAIN_BODY = b"a warm grey"
KEYED_BODY_PREFIX = b"key:"  # of a body that names its request's idempotency key, so that runs can be counted
RANK = "0.5"
MEMORY_KB = "20"
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """One request to a node."""

    number: int  # on its connection
    class_name: str
    attempt_id: str
    balancer_number: int
    wait_ms: float  # until its deadline
    idempotency_key: str = ""  # empty: none
    body: bytes = PLAIN_BODY

    def encode(self) -> bytes:
        """Return the message, sent now."""
        fields = {
            "id": self.attempt_id,
            "at": str(int(time.time() * MS_PER_S)),
            "from": str(self.balancer_number),
            "rank": RANK,
            "wait": str(int(self.wait_ms)),
            "kb": MEMORY_KB,
        }
        if self.idempotency_key:
            fields["once"] = self.idempotency_key
        data: bytes = msgpack.packb([REQUEST_MESSAGE, self.number, self.class_name, [fields, self.body]])
        return data


def encode_cancellation(number: int) -> bytes:
    """Return the message that nobody waits for the answer to this request of the connection."""
    data: bytes = msgpack.packb([NOTIFICATION_MESSAGE, "cancel", [number]])
    return data


def keyed_body(idempotency_key: str) -> bytes:
    """Return a body that names the key."""
    return KEYED_BODY_PREFIX + idempotency_key.encode()
