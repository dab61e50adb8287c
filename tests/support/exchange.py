"""Plays a recorded exchange against a node in this process, on real sockets, with a clock that the text sets.

A text file has one step a line: who, what, and bytes with Python's escapes.

    3 connect                 a balancer's connection named 3
    9 call                    an operator's connection named 9
    3 > BYTES, 3 < BYTES      sent to the node; sent by the node, to the byte
    3 >* COUNT BYTES          sent so many times; 3 <* COUNT BYTES likewise
    3 close, 3 closed         the peer closes; the node has closed
    runtime accept, index accept, roster < BYTES
    index refuse              it is down: connections are refused
    clock +250                milliseconds go by
    NAME silent               nothing more came; also checked for all at the end
    leave                     the signal to shut down
    move                      a new configuration: runtime and index are elsewhere now; {index} is the new one
    idle MS                   the decision to close connections idle for so long

{index} stands for the address of the index, which is the database.
"""

from __future__ import annotations

import codecs
import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from support.node_harness import EXAMPLE, START, NodeHarness, address, loopback

__all__ = ["EXAMPLE", "START", "ExchangePlayer", "Step", "address", "loopback"]


class Step(NamedTuple):
    """One line of an exchange."""

    who: str
    action: str
    argument: str

    @classmethod
    def parse(cls, line: str) -> Step:
        """Split a line; what it lacks is empty."""
        who, action, argument = (*line.split(" ", 2), "", "")[:3]
        return cls(who, action, argument)


def _unescaped(text: str) -> bytes:
    return codecs.escape_decode(text.encode())[0]


def _repeated(argument: str) -> bytes:
    """Return the bytes of ``COUNT BYTES``."""
    count, _, unit = argument.partition(" ")
    return _unescaped(unit) * int(count)


class ExchangePlayer(NodeHarness):
    """A node and its peers, which do what an exchange says."""

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
        """Play a complete exchange; AssertionError names the line that went otherwise."""
        try:
            for number, line in enumerate(text.splitlines(), 1):
                if line.strip() and not line.startswith("#"):
                    self._play_line(number, line)
            self.settle()
            for who in self.peers.keys() - {"roster"}:  # the registry is reported to regularly
                self.assert_silent(who)
        finally:
            for sock in (*self.peers.values(), *self.listeners.values()):
                sock.close()

    def _play_line(self, number: int, line: str) -> None:
        try:
            self.step(*Step.parse(line))
        except AssertionError as error:
            raise AssertionError(f"line {number}: {line}: {error}") from error

    def step(self, who: str, what: str, rest: str) -> None:
        """Play one step.

        Raises:
            ValueError: there is no such step.
        """
        handler = self._named_steps.get(who) or self._peer_steps.get(what)
        if handler is None:
            raise ValueError(f"no such step: {who} {what}")
        handler(Step(who, what, rest))
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
        self.open_connection(step.who)

    def _step_call(self, step: Step) -> None:
        self.connect_operator(step.who)

    def _step_accept(self, step: Step) -> None:
        self.accept(step.who)

    def _step_send(self, step: Step) -> None:
        self._send_and_settle(step.who, self._data(step.argument))

    def _step_send_repeated(self, step: Step) -> None:
        self._send_and_settle(step.who, _repeated(step.argument))

    def _step_receive(self, step: Step) -> None:
        self._expect(step.who, self._data(step.argument))

    def _step_receive_repeated(self, step: Step) -> None:
        self._expect(step.who, _repeated(step.argument))

    def _step_refuse(self, step: Step) -> None:
        self.listeners[step.who].close()

    def _step_close(self, step: Step) -> None:
        self.close_peer(step.who)

    def _step_closed(self, step: Step) -> None:
        assert self.receive(step.who, 1) == b"" and self.ended
        self.peers.pop(step.who).close()

    def _step_silent(self, step: Step) -> None:
        self.settle()
        self.assert_silent(step.who)

    def _data(self, argument: str) -> bytes:
        return _unescaped(argument).replace(b"{index}", self.index)

    def _send_and_settle(self, who: str, data: bytes) -> None:
        self.send(who, data)
        self.settle()

    def _expect(self, who: str, data: bytes) -> None:
        got = self.receive(who, len(data))
        assert got == data, f"came: {got!r}"
