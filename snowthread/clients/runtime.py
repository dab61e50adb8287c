"""The runtime's client: reconnects, sends commands in order and posts each notice once.

:mod:`.runtime_link` has the timeouts of one link, :mod:`.command_queue` what is unsent on it and
:mod:`.runtime_codec` the protocol.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Generator

from loguru import logger

from snowthread.address import Address
from snowthread.clients.command_queue import CommandQueue, QueuedLine
from snowthread.clients.runtime_codec import NoticeError, RuntimeCommand, decode, encode, encode_sync
from snowthread.clients.runtime_link import RuntimeLink
from snowthread.core import effects, events
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, TaskSteps, Wait

READ_BYTES = 64 * 1024
LOAD_SAMPLE_QUEUE_LIMIT = 64  # unsent commands from which no load samples are requested
CONNECT_TIMEOUT_MS = 1000.0
RECONNECT_DELAY_MIN_MS = 20.0
RECONNECT_DELAY_MAX_MS = 500.0
RECONNECT_BACKOFF_RATIO = 2.0  # of the next delay to the last, while attempts fail
KEEPALIVE_TAG = "alive"
MIGRATION_TAG_PREFIX = "move-"


class RuntimeClient:
    """Owns the link to the runtime and migrates it to another address without losing a command.

    Before a migration a marker is sent, a load sample request whose echo proves that the runtime has read all
    that was written before it. Commands sent from then on are queued for the next link.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        post: Callable[[events.Event], None],
        reconnect_delay_ms: Callable[[], float] | None = None,
    ) -> None:
        """``reconnect_delay_ms``: the pause before the next attempt, in place of exponential backoff."""
        self._loop = loop
        self._address = address
        self._post = post
        self._reconnect_delay_ms = reconnect_delay_ms
        self._sock: socket.socket | None = None
        self._is_ready = False
        self._was_ready = False  # on any link; before that a silent runtime has not started
        self._commands = CommandQueue()
        self._last_notice = 0  # the highest number of a notice that was read
        self._migration_count = 0
        self._migration_marker = ""  # the tag whose echo is waited for before the link migrates
        self._is_between_links = False  # a link was left for another with all commands read
        self._queued_for_next_link: list[QueuedLine] = []
        self._task = loop.spawn(self._steps())

    def send(self, command: RuntimeCommand) -> None:
        """Write a command as far as the socket takes it, or queue it; without a link it is dropped."""
        if self._migration_marker or (self._is_between_links and self._sock is None):
            if not isinstance(command, effects.RequestLoadSample):
                self._queued_for_next_link.append(QueuedLine(command, encode(command)))
        elif self._sock is not None:
            is_sample_request = isinstance(command, effects.RequestLoadSample)
            if is_sample_request and len(self._commands.lines) >= LOAD_SAMPLE_QUEUE_LIMIT:
                return  # a runtime that does not read now needs no more requests
            self._write(self._sock, command)

    def set_address(self, address: Address) -> None:
        """Migrate the link to a new address, after all that was written is known to have been read.

        A start lost between two links could not be sent again, and its client would wait in vain.
        """
        if address == self._address:
            return
        self._address = address
        if self._sock is not None and not self._migration_marker:
            self._migration_count += 1
            marker = f"{MIGRATION_TAG_PREFIX}{self._migration_count}"
            self._write(self._sock, effects.RequestLoadSample(marker))  # however many commands are queued
            self._migration_marker = marker
        self._loop.wake(self._task)

    def _write(self, sock: socket.socket, command: RuntimeCommand) -> None:
        self._commands.lines.append(QueuedLine(command, encode(command)))
        if len(self._commands.lines) == 1 and not self._commands.flush(sock):
            self._loop.wake(self._task)

    # Links, one after another.

    def _steps(self) -> TaskSteps:
        backoff_ms = RECONNECT_DELAY_MIN_MS
        while True:
            attempt = ConnectAttempt(self._address, self._loop, self._loop.clock.now() + CONNECT_TIMEOUT_MS)
            yield from attempt.steps()
            if attempt.sock is not None:
                self._sock = attempt.sock
                failure = yield from self._run_link(attempt.sock)
                if failure is None:
                    self._leave_link()
                    backoff_ms = RECONNECT_DELAY_MIN_MS
                    continue
                if failure.progress is Progress.REPLY_BEGUN:
                    backoff_ms = RECONNECT_DELAY_MIN_MS
                    logger.bind(event="runtime.link_lost", peer="runtime").warning(
                        "runtime: link lost: {}", failure.reason
                    )
                self._lose_link()
            elif attempt.failure is not None:
                logger.debug("runtime: no link: {}", attempt.failure.reason)
            delay_ms = backoff_ms if self._reconnect_delay_ms is None else self._reconnect_delay_ms()
            yield Wait(until_ms=self._loop.clock.now() + delay_ms)
            backoff_ms = min(RECONNECT_DELAY_MAX_MS, backoff_ms * RECONNECT_BACKOFF_RATIO)

    def _leave_link(self) -> None:
        """Close a link on which all commands were read; the next one continues it."""
        logger.bind(event="runtime.link_moved", peer="runtime").info(
            "runtime: link moves to {}:{}", *self._address
        )
        self._migration_marker = ""
        self._is_between_links = True
        self._close()

    def _lose_link(self) -> None:
        """Close a failed link and post which commands were not begun: they may be sent on the next one."""
        unsent = self._commands.lines_not_begun() + self._queued_for_next_link
        self._queued_for_next_link = []
        self._close()
        self._migration_marker = ""
        if self._is_ready or self._is_between_links:
            self._is_ready = False
            self._is_between_links = False
            self._post(events.RuntimeDisconnected(tuple(queued.command for queued in unsent)))

    def _close(self) -> None:
        sock = self._sock
        self._sock = None
        if sock is not None:
            self._loop.close(sock)
        self._commands.clear()

    # One link.

    def _run_link(self, sock: socket.socket) -> Generator[Wait, int, Failure | None]:
        """Use a link until it fails; return None where it may be left for another address.

        A failure with REPLY_BEGUN means that the link had been ready.
        """
        self._commands.lines.append(QueuedLine(None, encode_sync(self._last_notice)))
        self._commands.lines.extend(self._queued_for_next_link)
        self._queued_for_next_link = []
        clock = self._loop.clock
        link = RuntimeLink(clock.now())
        while True:
            self._commands.flush(sock)
            deadline_ms = link.deadline_ms(clock.now(), bool(self._migration_marker), self._was_ready)
            mask = READABLE | WRITABLE if self._commands.lines else READABLE
            ready = yield Wait(sock.fileno(), mask, deadline_ms)
            is_due = clock.now() >= deadline_ms
            if not ready & (READABLE | HANGUP) and not is_due:
                continue
            result = self._receive(sock, link, is_due)  # also when due: the loop may be late, an echo there
            if isinstance(result, Failure):
                return result
            if self._handle_lines(result):
                return None

    def _receive(self, sock: socket.socket, link: RuntimeLink, is_due: bool) -> list[bytes] | Failure:
        """Read once; return the lines that are complete, or why the link is given up."""
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            failure = self._check_silence(sock, link) if is_due else None
            return [] if failure is None else failure
        except OSError as error:
            return self._failure(str(error))
        if not data:
            return self._failure("closed by the runtime")
        lines = link.split_lines(data, self._loop.clock.now())
        return self._failure("a line above the limit") if lines is None else lines

    def _check_silence(self, sock: socket.socket, link: RuntimeLink) -> Failure | None:
        """Give up a link that is due with nothing to read, or send a keepalive request."""
        now_ms = self._loop.clock.now()
        reason = link.overdue_reason(now_ms)
        if reason is not None:
            return self._failure(reason, timed_out=True)
        link.keepalive_sent_at_ms = now_ms
        self._write(sock, effects.RequestLoadSample(KEEPALIVE_TAG))
        return None

    def _failure(self, reason: str, timed_out: bool = False) -> Failure:
        return Failure(Progress.REPLY_BEGUN if self._is_ready else Progress.SENT, reason, timed_out)

    def _handle_lines(self, lines: list[bytes]) -> bool:
        """Handle complete lines; return True at the echo of the migration marker, after which none is."""
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
                self._migration_marker
                and isinstance(event, events.LoadSampleReceived)
                and event.tag == self._migration_marker
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
            self._is_ready = True
            self._was_ready = True
            if self._is_between_links:  # nothing was lost: to the node it is the same link
                self._is_between_links = False
                return
        if event is not None:
            self._post(event)
