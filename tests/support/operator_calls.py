"""Operators' calls to a node in this process, as the administration server carries them out."""

from __future__ import annotations

from snowthread.net.loop import Coroutine
from support.node_harness import NodeHarness


class OperatorCall:
    """A call to drain a node or to resume it; ``status`` is the HTTP status, 0 until it is answered."""

    def __init__(self, harness: NodeHarness, drained: bool) -> None:
        self.status = 0
        calls = harness.node.operator_calls
        self._response = calls.drain() if drained else calls.resume()
        harness.node.loop.spawn(self._run())

    def _run(self) -> Coroutine:
        response = yield from self._response
        self.status = response.status


def set_drained(harness: NodeHarness, drained: bool) -> int:
    """Drain a node or end its drain; return the HTTP status, 0 if it is not answered without other events."""
    call = OperatorCall(harness, drained)
    harness.settle()
    return call.status
