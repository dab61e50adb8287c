"""The channel between the two processes of a node during a hot restart.

The predecessor listens on a socket in a directory that both processes share. The successor connects,
receives the predecessor's records of idempotency keys, starts to accept clients and notifies the predecessor.
A process that finds no predecessor is standalone and listens for its own successor.

| state       | event                                          | next state and action                       |
| ----------- | ---------------------------------------------- | ------------------------------------------- |
| searching   | no socket file, or connection refused for      | standalone: ``NoPeerProcessFound``, accept  |
|             | ``JOIN_TIMEOUT_MS``                            | clients, listen                             |
| searching   | connected                                      | successor: send HELLO                       |
| successor   | HANDOVER_COMPLETE received                     | the same: accept clients, send              |
|             |                                                | TAKING_CLIENTS                              |
| successor   | CLIENTS_RELEASED received                      | the same, takeover complete                 |
| successor   | link broken, the predecessor still listens     | the same: reconnect, send HELLO             |
| successor   | link broken, no process listens                | standalone: ``PeerProcessExited``, listen   |
| third       | link closed without a message                  | searching                                   |
| standalone  | a process connects                             | predecessor                                 |
| predecessor | HELLO received                                 | the same: the reducer sends all keys, then  |
|             |                                                | HANDOVER_COMPLETE                           |
| predecessor | TAKING_CLIENTS received                        | the same: stop accepting, send              |
|             |                                                | CLIENTS_RELEASED                            |
| predecessor | link broken, the successor still runs          | the same: only that process may reconnect   |
| predecessor | the successor has exited                       | standalone: ``PeerProcessExited``, accept   |
|             |                                                | clients                                     |
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

from loguru import logger

from snowthread.core import effects, events
from snowthread.hot_restart import socket_file
from snowthread.hot_restart.link import PeerLink
from snowthread.hot_restart.messages import HandoverSignal, IncomingMessage, OutgoingMessage
from snowthread.hot_restart.socket_file import ConnectFailure, PeerProcess
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Task, Wait

JOIN_TIMEOUT_MS = 300.0  # a refusing socket is retried this long: its owner may be replacing the file
CONNECT_RETRY_INTERVAL_MS = 20.0  # delay between attempts to connect to the predecessor


class HotRestartChannel:
    """Finds the peer process, maintains the link to it and posts its messages as events."""

    def __init__(
        self,
        loop: EventLoop,
        directory: str,
        post: Callable[[events.Event], None],
        accept_clients: Callable[[], None],
    ) -> None:
        """Start to search for a predecessor through the socket in ``directory``.

        ``post`` passes an event to the reducer. ``accept_clients`` is called as soon as this process may
        accept clients: there is no peer process, or it has sent all its keys.
        """
        self._loop = loop
        self._directory = directory
        self._post = post
        self._accept_clients = accept_clients
        self._link: PeerLink | None = None
        self._latest_accepted_link: PeerLink | None = None
        self._successor_stamps_calls = False
        self._successor_pid: int | None = None  # None if there is no successor or its pid is unknown
        self._listener: socket.socket | None = None
        self._closed = False
        self._takeover_complete = False
        self._is_admitted = (
            False  # whether the predecessor has sent anything; it closes the link of a third process
        )
        self._joining: Task = loop.spawn(self._join())

    @property
    def takeover_complete(self) -> bool:
        """Whether the predecessor has released the clients to this process, or there is no predecessor.

        Before that, a shutdown notice to the predecessor would make it withdraw the node's registration.
        """
        return self._takeover_complete

    def send(self, effect: effects.SendToPeerProcess) -> None:
        """Send a message to the peer process; without a link it is dropped."""
        self._send(effect.message)

    def send_handover_complete(self, _: effects.SendHandoverComplete) -> None:
        """Notify the successor that all keys have been sent."""
        self._send(HandoverSignal.HANDOVER_COMPLETE)

    def _send(self, message: OutgoingMessage) -> None:
        if self._link is not None:
            self._link.send(message)

    def close(self) -> None:
        """Write the queued messages and post no more events, because this process exits."""
        self._closed = True
        if self._link is not None:
            self._link.flush()

    # The successor's side of the handover.

    def _join(self) -> Coroutine:
        """Connect to the predecessor, again after each broken link, and serve standalone once it has exited.

        A broken link does not mean that the predecessor has exited, and until it exits it decides on claims
        of keys. This process is standalone only once no process listens on the socket.
        """
        give_up_at_ms = self._loop.clock.now() + JOIN_TIMEOUT_MS
        has_connected = False
        while True:
            found = socket_file.connect(self._directory)
            if isinstance(found, socket.socket):
                if not has_connected:
                    logger.bind(event="hot_restart.joined", peer="hot_restart").info(
                        "connected to the predecessor process of this node: taking over from it"
                    )
                has_connected = True
                yield from self._follow_predecessor(found)
                if self._closed:
                    return
                # The predecessor listened until now, so a refusal means that it has exited. To a process that
                # it has not admitted this proves nothing: its successor lives, and listens soon.
                give_up_at_ms = self._loop.clock.now() + (0.0 if self._is_admitted else JOIN_TIMEOUT_MS)
            elif self._is_predecessor_absent(found, give_up_at_ms):
                break
            yield Wait(until_ms=self._loop.clock.now() + CONNECT_RETRY_INTERVAL_MS)
        if self._is_admitted:
            self._report_exit()
        else:
            self._post(events.NoPeerProcessFound())
        self._takeover_complete = True
        self._listen()
        self._accept_clients()

    def _is_predecessor_absent(self, failure: ConnectFailure, give_up_at_ms: float) -> bool:
        return failure.is_socket_file_missing or (
            failure.is_refused and self._loop.clock.now() >= give_up_at_ms
        )

    def _follow_predecessor(self, sock: socket.socket) -> Coroutine:
        """Serve one link to the predecessor until it breaks."""
        link = PeerLink(self._loop, sock, self._receive)
        link.task = self._joining
        self._link = link
        self._post(events.PeerProcessConnected(is_predecessor=False))
        self._send(HandoverSignal.HELLO)
        yield from self._run_link(link)

    # The predecessor's side of the handover.

    def _listen(self) -> None:
        """Listen on the socket in the shared directory, so that a successor finds this process."""
        try:
            self._listener = socket_file.listen(self._directory)
        except OSError as error:  # this process still serves, but no other process can take over from it
            logger.bind(event="hot_restart.failed", peer="hot_restart").error(
                "cannot listen for a successor process, hot restart is not possible: {}", error
            )
            return
        self._loop.spawn(self._accept_successors(self._listener))

    def _accept_successors(self, listener: socket.socket) -> Coroutine:
        while True:
            yield Wait(listener.fileno(), READABLE)
            try:
                sock, client_name = listener.accept()
            except OSError:
                continue
            process = socket_file.peer_process(sock)
            if self._is_third_process(process):
                # A third process retries until the current successor has exited.
                sock.close()
                if process is not None:
                    os.close(process.exit_descriptor)
                continue
            sock.setblocking(False)
            self._successor_pid = None if process is None else process.pid
            self._successor_stamps_calls = socket_file.stamps_calls(client_name)
            link = PeerLink(self._loop, sock, self._receive)
            link.task = self._loop.spawn(self._serve_successor(link, process))
            self._latest_accepted_link = link
            self._link = link

    def _is_third_process(self, process: PeerProcess | None) -> bool:
        if self._link is not None:
            return True
        return process is not None and self._successor_pid not in (None, process.pid)

    def _serve_successor(self, link: PeerLink, process: PeerProcess | None) -> Coroutine:
        """Serve one link from the successor, then wait until that process exits.

        A broken link does not mean that the successor has exited. The successor starts no run with a key
        without this process's decision, so it is safe to wait until it reconnects.
        """
        try:
            yield from self._run_link(link)
            if process is not None and not self._closed:
                yield Wait(process.exit_descriptor, READABLE)
        finally:
            if process is not None:
                self._loop.unwatch(process.exit_descriptor)
                os.close(process.exit_descriptor)
        if link is self._latest_accepted_link and not self._closed:
            self._successor_pid = None
            self._report_exit()
            self._accept_clients()

    # Used on both sides of the handover.

    def _run_link(self, link: PeerLink) -> Coroutine:
        try:
            yield from link.run()
        finally:
            self._link = None

    def _report_exit(self) -> None:
        logger.bind(event="hot_restart.peer_exited", peer="hot_restart").info("the peer process has exited")
        self._post(events.PeerProcessExited())

    def _receive(self, message: IncomingMessage) -> None:
        self._is_admitted = True
        if not isinstance(message, HandoverSignal):
            self._post(message)
        elif message is HandoverSignal.HELLO:
            self._post(events.PeerProcessConnected(True, self._successor_stamps_calls))
        elif message is HandoverSignal.HANDOVER_COMPLETE:
            self._accept_clients()
            self._send(HandoverSignal.TAKING_CLIENTS)
        elif message is HandoverSignal.TAKING_CLIENTS:
            self._post(events.SuccessorReady())
            self._send(HandoverSignal.CLIENTS_RELEASED)
        else:
            self._takeover_complete = True
