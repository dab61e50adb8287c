"""Messages between emulated balancers and a node, in their format on the wire."""

from __future__ import annotations

import time
from dataclasses import dataclass

import msgpack

# Outcomes of a request. REJECTED and FAILED are names of errors on the wire. An answer with a result has no
# such name, and its outcome is SERVED.
SERVED = "served"
REJECTED = "Throttled"
FAILED = "Failed"

# The first element of a message, which tells its kind.
REQUEST_MESSAGE = 0
ANSWER_MESSAGE = 1
NOTIFICATION_MESSAGE = 2  # A node's notice that it closes the connection, or a balancer's cancellation.

PLAIN_BODY = b"a warm grey"
# Prefix of a request body that names the request's idempotency key, so that the runs of a key can be counted.
KEYED_BODY_PREFIX = b"key:"
RANK = "0.5"
MEMORY_KB = "20"
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """One request to a node."""

    number: int  # Number of the request on its connection; the answer repeats it.
    class_name: str
    attempt_id: str
    balancer_number: int
    wait_ms: float  # Time in ms from sending the request to its deadline.
    idempotency_key: str = ""  # Empty for a request without an idempotency key.
    body: bytes = PLAIN_BODY

    def encode(self) -> bytes:
        """Return the message's bytes, with the current time as the time of sending."""
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
    """Return the message that cancels the request with this number on the connection."""
    data: bytes = msgpack.packb([NOTIFICATION_MESSAGE, "cancel", [number]])
    return data


def keyed_body(idempotency_key: str) -> bytes:
    """Return a request body that names the idempotency key."""
    return KEYED_BODY_PREFIX + idempotency_key.encode()
