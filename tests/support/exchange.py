"""Plays a recorded exchange against a node in this process, on real sockets and with a manual clock.

A text file has one step per line: a peer's name, an action, and bytes with Python's escapes.

    3 connect                 a balancer connects; the connection is named 3
    9 call                    an operator connects; the connection is named 9
    3 > BYTES                 the peer sends these bytes to the node
    3 < BYTES                 the node has sent exactly these bytes to the peer
    3 >* COUNT BYTES          the peer sends the bytes COUNT times; 3 <* COUNT BYTES likewise
    3 close                   the peer closes the connection
    3 closed                  the node has closed the connection
    runtime accept            the peer accepts the node's connection; also index accept
    index refuse              the database is down: the node's connections are refused
    clock +250                the clock advances by milliseconds
    NAME silent               the node has sent nothing more; also checked for all peers at the end
    leave                     the node receives the signal to shut down
    move                      a new configuration with new addresses of runtime and index is applied
    idle MS                   the idle timeout of connections is set

{index} stands for the current address of the index, which is the database.
"""

from __future__ import annotations

import codecs
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from support.node_harness import EXAMPLE, START, NodeHarness, address, loopback

__all__ = ["EXAMPLE", "START", "ExchangePlayer", "Step", "address", "loopback"]


class Step(NamedTuple):
    """One line of an exchange: a peer's name or a word such as ``clock``, an action and its argument."""

    peer_name: str
    action: str
    argument: str

    @classmethod
    def parse(cls, line: str) -> Step:
        """Split a line into its parts; missing parts are empty."""
        peer_name, action, argument = (*line.split(" ", 2), "", "")[:3]
        return cls(peer_name, action, argument)


def _unescaped(text: str) -> bytes:
    return codecs.escape_decode(text.encode())[0]


def _repeated(argument: str) -> bytes:
    """Return the bytes of ``COUNT BYTES``."""
    count, _, unit = argument.partition(" ")
    return _unescaped(unit) * int(count)


class ExchangePlayer(NodeHarness):
    """A node and its peers, which carry out the steps of an exchange."""

    def __init__(
        self, listen_descriptor: int | None = None, handover_directory: str | None = None, **changes: Any
    ) -> None:
        super().__init__(listen_descriptor, handover_directory, **changes)
        self.index = address(self.listeners["index"]).encode()
        self._named_steps: dict[str, Callable[[Step], None]] = {
            "clock": self._step_clock,
            "leave": self._step_leave,
            "move": self._step_move,
            "idle": self._step_idle,
        }
        self._peer_steps: dict[str, Callable[[Step], None]] = {
            "connect": self._step_connect,
            "call": self._step_call,
            "accept": self._step_accept,
            ">": self._step_send,
            ">*": self._step_send_repeated,
            "<": self._step_receive,
            "<*": self._step_receive_repeated,
            "refuse": self._step_refuse,
            "close": self._step_close,
            "closed": self._step_closed,
            "silent": self._step_silent,
        }

    def play(self, text: str) -> None:
        """Play a complete exchange; an AssertionError names the line that differed."""
        try:
            for number, line in enumerate(text.splitlines(), 1):
                if line.strip() and not line.startswith("#"):
                    self._play_line(number, line)
            self.settle()
            # Except for the registry, to which the node sends reports periodically.
            for peer_name in self.peers.keys() - {"roster"}:
                self.assert_silent(peer_name)
        finally:
            for sock in (*self.peers.values(), *self.listeners.values()):
                sock.close()

    def _play_line(self, number: int, line: str) -> None:
        try:
            self.step(*Step.parse(line))
        except AssertionError as error:
            raise AssertionError(f"line {number}: {line}: {error}") from error

    def step(self, peer_name: str, action: str, argument: str) -> None:
        """Play one step; the arguments are the parts of a line.

        Raises:
            ValueError: the step is unknown.
        """
        handler = self._named_steps.get(peer_name) or self._peer_steps.get(action)
        if handler is None:
            raise ValueError(f"unknown step: {peer_name} {action}")
        handler(Step(peer_name, action, argument))
        for peer in self.peers.values():
            peer.setblocking(False)

    def _step_clock(self, step: Step) -> None:
        self.advance(float(step.action))

    def _step_leave(self, _: Step) -> None:
        self.begin_shutdown()

    def _step_move(self, _: Step) -> None:
        for name in self.listeners:
            self.listeners[name].close()
            self.listeners[name] = loopback(socket.SOCK_STREAM)
            self.fields[name] = address(self.listeners[name])
        self.index = self.fields["index"].encode()
        self.reload()
        self.settle()

    def _step_idle(self, step: Step) -> None:
        self.node.balancers.set_idle_timeout(float(step.action))

    def _step_connect(self, step: Step) -> None:
        self.open_connection(step.peer_name)

    def _step_call(self, step: Step) -> None:
        self.connect_operator(step.peer_name)

    def _step_accept(self, step: Step) -> None:
        self.accept(step.peer_name)

    def _step_send(self, step: Step) -> None:
        self._send_and_settle(step.peer_name, self._data(step.argument))

    def _step_send_repeated(self, step: Step) -> None:
        self._send_and_settle(step.peer_name, _repeated(step.argument))

    def _step_receive(self, step: Step) -> None:
        self._expect(step.peer_name, self._data(step.argument))

    def _step_receive_repeated(self, step: Step) -> None:
        self._expect(step.peer_name, _repeated(step.argument))

    def _step_refuse(self, step: Step) -> None:
        self.listeners[step.peer_name].close()

    def _step_close(self, step: Step) -> None:
        self.close_peer(step.peer_name)

    def _step_closed(self, step: Step) -> None:
        assert self.receive(step.peer_name, 1) == b"" and self.closed_by_node
        self.peers.pop(step.peer_name).close()

    def _step_silent(self, step: Step) -> None:
        self.settle()
        self.assert_silent(step.peer_name)

    def _data(self, argument: str) -> bytes:
        return _unescaped(argument).replace(b"{index}", self.index)

    def _send_and_settle(self, peer_name: str, data: bytes) -> None:
        self.send(peer_name, data)
        self.settle()

    def _expect(self, peer_name: str, data: bytes) -> None:
        got = self.receive(peer_name, len(data))
        assert got == data, f"the node sent {got!r}"
