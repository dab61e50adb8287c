"""The client of the runtime: keeps a link open, sends commands in order and posts each notice once.

:mod:`.runtime_link` has the timeouts of one link, :mod:`.command_queue` its unsent commands and
:mod:`.runtime_codec` implements the protocol.
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
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Coroutine, EventLoop, Wait

READ_BYTES = 64 * 1024
LOAD_SAMPLE_QUEUE_LIMIT = 64  # with this many unsent commands, load sample requests are dropped
CONNECT_TIMEOUT_MS = 1000.0
RECONNECT_DELAY_MIN_MS = 20.0
RECONNECT_DELAY_MAX_MS = 500.0
RECONNECT_BACKOFF_RATIO = 2.0  # ratio of each reconnection delay to the one before, while attempts fail
KEEPALIVE_TAG = "alive"
MIGRATION_TAG_PREFIX = "move-"


class RuntimeClient:
    """Owns the link to the runtime, and migrates it to another address without losing a command.

    A migration begins with a marker: a load sample request whose echo proves that the runtime has read
    everything that was written before it. Commands sent after the marker are queued for the next link.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        post: Callable[[events.Event], None],
        reconnect_delay_ms: Callable[[], float] | None = None,
    ) -> None:
        """Start to connect.

        Args:
            loop: the event loop on which the client runs.
            address: the address of the runtime.
            post: called with each event.
            reconnect_delay_ms: returns the delay before the next connection attempt, in place of exponential
                backoff.
        """
        self._loop = loop
        self._address = address
        self._post = post
        self._reconnect_delay_ms = reconnect_delay_ms
        self._sock: socket.socket | None = None
        self._is_ready = False
        # Whether any link was ready. Before that, a silent runtime is one that is still starting.
        self._was_ready = False
        self._commands = CommandQueue()
        self._last_notice = 0  # the highest notice number that was read
        self._migration_count = 0
        self._migration_marker = ""  # tag whose echo ends the old link; empty outside a migration
        # Whether a migration closed the old link, with all commands read, and the new link is not ready yet.
        self._is_between_links = False
        self._queued_for_next_link: list[QueuedLine] = []
        self._task = loop.spawn(self._maintain_link())

    def send(self, command: RuntimeCommand) -> None:
        """Write a command to the socket as far as possible and queue the rest.

        During a migration the command is queued for the next link, except that load sample requests are
        dropped. Load sample requests are also dropped while :data:`LOAD_SAMPLE_QUEUE_LIMIT` or more commands
        are unsent. Without a link, and with no migration in progress, the command is dropped.
        """
        if self._migration_marker or (self._is_between_links and self._sock is None):
            if not isinstance(command, effects.RequestLoadSample):
                self._queued_for_next_link.append(QueuedLine(command, encode(command)))
        elif self._sock is not None:
            is_sample_request = isinstance(command, effects.RequestLoadSample)
            if is_sample_request and len(self._commands.lines) >= LOAD_SAMPLE_QUEUE_LIMIT:
                return  # the runtime does not keep up with reading, so another request is of no use
            self._write(self._sock, command)

    def set_address(self, address: Address) -> None:
        """Migrate the link to a new address, once the runtime has read everything that was written so far.

        A start command that was lost between the two links could not always be sent again, and its balancer
        would wait for a response that never comes.
        """
        if address == self._address:
            return
        self._address = address
        if self._sock is not None and not self._migration_marker:
            self._migration_count += 1
            marker = f"{MIGRATION_TAG_PREFIX}{self._migration_count}"
            # The marker is sent even if the queue is so long that other load sample requests are dropped.
            self._write(self._sock, effects.RequestLoadSample(marker))
            self._migration_marker = marker
        self._loop.wake(self._task)

    def _write(self, sock: socket.socket, command: RuntimeCommand) -> None:
        self._commands.lines.append(QueuedLine(command, encode(command)))
        if len(self._commands.lines) == 1 and not self._commands.flush(sock):
            self._loop.wake(self._task)

    # The sequence of links.

    def _maintain_link(self) -> Coroutine:
        backoff_ms = RECONNECT_DELAY_MIN_MS
        while True:
            attempt = ConnectAttempt(self._address, self._loop, self._loop.clock.now() + CONNECT_TIMEOUT_MS)
            yield from attempt.run()
            if attempt.sock is not None:
                self._sock = attempt.sock
                failure = yield from self._run_link(attempt.sock)
                if failure is None:
                    self._close_migrated_link()
                    backoff_ms = RECONNECT_DELAY_MIN_MS
                    continue
                if failure.progress is Progress.REPLY_BEGUN:
                    backoff_ms = RECONNECT_DELAY_MIN_MS
                    logger.bind(event="runtime.link_lost", peer="runtime").warning(
                        "runtime: link lost, reconnecting: {}", failure.reason
                    )
                self._close_failed_link()
            elif attempt.failure is not None:
                logger.debug("runtime: connection attempt failed, retrying: {}", attempt.failure.reason)
            delay_ms = backoff_ms if self._reconnect_delay_ms is None else self._reconnect_delay_ms()
            yield Wait(until_ms=self._loop.clock.now() + delay_ms)
            backoff_ms = min(RECONNECT_DELAY_MAX_MS, backoff_ms * RECONNECT_BACKOFF_RATIO)

    def _close_migrated_link(self) -> None:
        """Close the old link of a migration, on which all commands were read; the next link continues it."""
        logger.bind(event="runtime.link_moved", peer="runtime").info(
            "runtime: all commands were read; the link moves to {}:{}", *self._address
        )
        self._migration_marker = ""
        self._is_between_links = True
        self._close()

    def _close_failed_link(self) -> None:
        """Close a failed link, and post the commands of which no byte was sent so that they can be resent."""
        unsent = self._commands.unstarted_lines() + self._queued_for_next_link
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

    # A single link.

    def _run_link(self, sock: socket.socket) -> Generator[Wait, int, Failure | None]:
        """Use a link until it fails, or until it can be closed because its migration marker was echoed.

        Return the failure, or None for a migration. A failure with the progress REPLY_BEGUN means that the
        link had been ready.
        """
        self._commands.lines.append(QueuedLine(None, encode_sync(self._last_notice)))
        self._commands.lines.extend(self._queued_for_next_link)
        self._queued_for_next_link = []
        clock = self._loop.clock
        link = RuntimeLink(clock.now())
        while True:
            self._commands.flush(sock)
            deadline_ms = link.update_deadline(clock.now(), bool(self._migration_marker), self._was_ready)
            mask = READABLE | WRITABLE if self._commands.lines else READABLE
            ready = yield Wait(sock.fileno(), mask, deadline_ms)
            is_deadline_reached = clock.now() >= deadline_ms
            if not ready & (READABLE | HANGUP) and not is_deadline_reached:
                continue
            # Read even if the deadline has passed: the loop may be late, and the echo may have arrived.
            result = self._receive(sock, link, is_deadline_reached)
            if isinstance(result, Failure):
                return result
            if self._handle_lines(result):
                return None

    def _receive(
        self, sock: socket.socket, link: RuntimeLink, is_deadline_reached: bool
    ) -> list[bytes] | Failure:
        """Read once; return the lines that are complete, or the failure for which the link is closed."""
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            failure = self._check_silence(sock, link) if is_deadline_reached else None
            return [] if failure is None else failure
        except OSError as error:
            return self._failure(str(error))
        if not data:
            return self._failure("connection closed by the runtime")
        lines = link.receive(data, self._loop.clock.now())
        return self._failure("received a line above the size limit") if lines is None else lines

    def _check_silence(self, sock: socket.socket, link: RuntimeLink) -> Failure | None:
        """Send a keepalive request, or return a failure if the link is overdue.

        Called when the deadline of the link has passed and there is nothing to read.
        """
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
        """Handle lines up to the echo of the migration marker; return whether that echo was among them."""
        for line in lines:
            if not line.strip():
                continue
            try:
                number, event = decode(line)
            except NoticeError as error:
                logger.bind(event="peer.protocol_error", peer="runtime").warning(
                    "runtime: ignored an invalid notice: {}", error
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
        """Post the event of a notice, unless its number was read before: a new link may repeat notices."""
        if number is not None:
            if number <= self._last_notice:
                return
            self._last_notice = number
        if isinstance(event, events.RuntimeConnected):
            self._is_ready = True
            self._was_ready = True
            if self._is_between_links:  # a migration loses nothing, so the node sees no new link
                self._is_between_links = False
                return
        if event is not None:
            self._post(event)
