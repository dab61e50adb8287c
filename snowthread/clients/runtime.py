"""The runtime's client: keeps one link, sends commands in order and posts each notice once.

:mod:`.runtime_codec` has the protocol.
"""

from __future__ import annotations

import math
import socket
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass

from loguru import logger

from snowthread.address import Address
from snowthread.clients.runtime_codec import (
    NoticeError,
    RuntimeCommand,
    decode,
    encode,
    encode_sync,
)
from snowthread.core import effects, events
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, TaskSteps, Wait

MAX_LINE_BYTES = 256 * 1024  # a longer line is no notice
READ_BYTES = 64 * 1024
LOAD_SAMPLE_QUEUE_LIMIT = 64  # unsent commands from which no load samples are requested
CONNECT_TIMEOUT_MS = 1000.0
MIN_RECONNECT_DELAY_MS = 20.0  # doubled after each attempt that fails
MAX_RECONNECT_DELAY_MS = 500.0
PROBE_AFTER_SILENCE_MS = 4000.0  # a runtime silent for this long is probed
PROBE_TIMEOUT_MS = 1000.0  # the longest wait for the echo of a probe
PROBE_TAG = "alive"
MOVE_TIMEOUT_MS = 400.0  # the longest wait for the echo of a move marker, before the link moves


@dataclass(slots=True)
class _Link:
    """What is known of the present link."""

    quiet_since_ms: float
    move_deadline_ms: float = math.inf  # when the link is given up though the move marker was not echoed
    partial_line: bytes = b""


class RuntimeClient:
    """Keeps the link to the runtime and moves it to another address without losing a command.

    Before a move a marker is sent, a load sample request whose echo proves that the runtime has read all that
    was written before it. Commands sent from then on are queued for the next link.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        post: Callable[[events.Event], None],
        reconnect_delay_ms: Callable[[], float] | None = None,
    ) -> None:
        """``reconnect_delay_ms``: the pause before the next attempt, in place of exponential backoff."""
        self._loop, self._address, self._post = loop, address, post
        self._reconnect_delay_ms = reconnect_delay_ms
        self._sock: socket.socket | None = None
        self._is_ready = False
        self._was_ready = False  # on any link; before that a silent runtime has not started
        self._unsent_lines: deque[tuple[RuntimeCommand | None, bytes]] = deque()  # unsent, in order
        self._first_line_sent_bytes = 0
        self._last_notice = 0
        self._probe_sent_at_ms = 0.0  # 0: no echo is waited for
        self._move_count = 0
        self._move_marker = ""  # the tag whose echo is waited for before the link moves
        self._is_between_links = False  # a link was left for another with all commands read
        self._queued_for_next_link: list[tuple[RuntimeCommand | None, bytes]] = []
        self._task = loop.spawn(self._steps())

    def send(self, command: RuntimeCommand) -> None:
        """Write a command as far as the socket takes it, or queue it; without a link it is dropped."""
        if self._move_marker or (self._is_between_links and self._sock is None):
            if not isinstance(command, effects.RequestLoadSample):
                self._queued_for_next_link.append((command, encode(command)))
        elif self._sock is not None:
            if (
                isinstance(command, effects.RequestLoadSample)
                and len(self._unsent_lines) >= LOAD_SAMPLE_QUEUE_LIMIT
            ):
                return  # a runtime that does not read now needs no more requests
            self._write(command)

    def set_address(self, address: Address) -> None:
        """Move the link to a new address, after all that was written is known to have been read.

        A start lost between two links could not be sent again, and its client would wait in vain.
        """
        if address == self._address:
            return
        self._address = address
        if self._sock is not None and not self._move_marker:
            self._move_count += 1
            marker = f"move-{self._move_count}"
            self._write(effects.RequestLoadSample(marker))  # however many commands are queued
            self._move_marker = marker
        self._loop.wake(self._task)

    def _write(self, command: RuntimeCommand) -> None:
        self._unsent_lines.append((command, encode(command)))
        if len(self._unsent_lines) == 1 and not self._flush():
            self._loop.wake(self._task)

    def _flush(self) -> bool:
        """Send queued lines; return False where one is left or the link is broken."""
        while self._unsent_lines and self._sock is not None:
            line = self._unsent_lines[0][1]
            try:
                self._first_line_sent_bytes += self._sock.send(
                    line[self._first_line_sent_bytes :] if self._first_line_sent_bytes else line
                )
            except OSError:  # the socket is full, or the link broken, which its task finds out
                return False
            if self._first_line_sent_bytes < len(line):
                return False
            self._unsent_lines.popleft()
            self._first_line_sent_bytes = 0
        return True

    # Links, one after another.

    def _steps(self) -> TaskSteps:
        backoff_ms = MIN_RECONNECT_DELAY_MS
        while True:
            attempt = ConnectAttempt(self._address, self._loop, self._loop.clock.now() + CONNECT_TIMEOUT_MS)
            yield from attempt.steps()
            if attempt.sock is not None:
                self._sock = attempt.sock
                failure = yield from self._run_link(attempt.sock)
                if failure is None:
                    self._leave_link()
                    backoff_ms = MIN_RECONNECT_DELAY_MS
                    continue
                if failure.progress is Progress.REPLY_BEGUN:
                    backoff_ms = MIN_RECONNECT_DELAY_MS
                    logger.bind(event="runtime.link_lost", peer="runtime").warning(
                        "runtime: link lost: {}", failure.reason
                    )
                self._lose_link()
            elif attempt.failure is not None:
                logger.debug("runtime: no link: {}", attempt.failure.reason)
            delay_ms = backoff_ms if self._reconnect_delay_ms is None else self._reconnect_delay_ms()
            yield Wait(until_ms=self._loop.clock.now() + delay_ms)
            backoff_ms = min(MAX_RECONNECT_DELAY_MS, backoff_ms * 2.0)

    def _leave_link(self) -> None:
        """Close a link on which all commands were read; the next one continues it."""
        logger.bind(event="runtime.link_moved", peer="runtime").info(
            "runtime: link moves to {}:{}", *self._address
        )
        self._move_marker, self._is_between_links = "", True
        self._close()

    def _lose_link(self) -> None:
        """Close a failed link and post which commands were not begun: they may be sent on the next one."""
        unsent = (
            list(self._unsent_lines)[1 if self._first_line_sent_bytes else 0 :] + self._queued_for_next_link
        )
        self._queued_for_next_link = []
        self._close()
        self._move_marker = ""
        if self._is_ready or self._is_between_links:
            self._is_ready = self._is_between_links = False
            self._post(events.RuntimeDisconnected(tuple(command for command, _line in unsent)))

    def _close(self) -> None:
        sock, self._sock = self._sock, None
        if sock is not None:
            self._loop.close(sock)
        self._unsent_lines.clear()
        self._first_line_sent_bytes = 0

    # One link.

    def _run_link(self, sock: socket.socket) -> Generator[Wait, int, Failure | None]:
        """Use a link until it fails; return None where it may be left for another address.

        A failure with REPLY_BEGUN means that the link had been ready.
        """
        self._unsent_lines.append((None, encode_sync(self._last_notice)))
        self._unsent_lines.extend(self._queued_for_next_link)
        self._queued_for_next_link = []
        clock = self._loop.clock
        link = _Link(quiet_since_ms=clock.now())
        self._probe_sent_at_ms = 0.0
        while True:
            self._flush()
            deadline_ms = self._link_deadline_ms(link)
            ready = yield Wait(
                sock.fileno(), READABLE | WRITABLE if self._unsent_lines else READABLE, deadline_ms
            )
            is_due = clock.now() >= deadline_ms
            if not ready & (READABLE | HANGUP) and not is_due:
                continue
            try:
                data = sock.recv(READ_BYTES)  # also when time is up: the loop may be late, an echo there
            except BlockingIOError:
                failure = self._check_silence(link) if is_due else None
                if failure is not None:
                    return failure
                continue
            except OSError as error:
                return self._failure(str(error))
            if not data:
                return self._failure("closed by the runtime")
            link.quiet_since_ms = clock.now()
            self._probe_sent_at_ms = 0.0
            *lines, link.partial_line = (link.partial_line + data).split(b"\n")
            if len(link.partial_line) > MAX_LINE_BYTES:
                return self._failure("a line above the limit")
            if self._handle_lines(lines):
                return None

    def _link_deadline_ms(self, link: _Link) -> float:
        """Return when the link is due to be probed or given up.

        A link whose other end vanished silently would stay open for ever. A runtime that was ready once owes
        an echo to each probe.
        """
        if self._move_marker and link.move_deadline_ms == math.inf:
            link.move_deadline_ms = self._loop.clock.now() + MOVE_TIMEOUT_MS
        if not self._was_ready:
            return link.move_deadline_ms
        if self._probe_sent_at_ms:
            return min(link.move_deadline_ms, self._probe_sent_at_ms + PROBE_TIMEOUT_MS)
        return min(link.move_deadline_ms, link.quiet_since_ms + PROBE_AFTER_SILENCE_MS)

    def _check_silence(self, link: _Link) -> Failure | None:
        """Give a link up whose deadline has passed with nothing to read, or probe it."""
        now_ms = self._loop.clock.now()
        if now_ms >= link.move_deadline_ms:
            return self._failure("moved on, though not all may have been read", timed_out=True)
        if self._probe_sent_at_ms:
            return self._failure("silent", timed_out=True)
        self._probe_sent_at_ms = now_ms
        self._write(effects.RequestLoadSample(PROBE_TAG))
        return None

    def _failure(self, reason: str, timed_out: bool = False) -> Failure:
        return Failure(Progress.REPLY_BEGUN if self._is_ready else Progress.SENT, reason, timed_out)

    def _handle_lines(self, lines: list[bytes]) -> bool:
        """Handle whole lines; return True at the echo of the move marker, after which none is handled."""
        for line in lines:
            if not line.strip():
                continue
            try:
                number, event = decode(line)
            except NoticeError as error:
                logger.bind(event="peer.protocol_error", peer="runtime").warning(
                    "runtime: not a notice: {}", error
                )
                continue
            self._handle_notice(number, event)
            if (
                self._move_marker
                and isinstance(event, events.LoadSampleReceived)
                and event.tag == self._move_marker
            ):
                return True
        return False

    def _handle_notice(self, number: int | None, event: events.Event | None) -> None:
        """Post a notice once: after a new link those not known to have been read are repeated."""
        if number is not None:
            if number <= self._last_notice:
                return
            self._last_notice = number
        if isinstance(event, events.RuntimeConnected):
            self._is_ready = self._was_ready = True
            if self._is_between_links:  # nothing was lost: to the node it is the same link
                self._is_between_links = False
                return
        if event is not None:
            self._post(event)
