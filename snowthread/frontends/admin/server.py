"""The administration server: accepts connections, answers one request on each and closes it."""

from __future__ import annotations

import socket
from collections.abc import Generator
from http import HTTPStatus

from loguru import logger

from snowthread.address import Address
from snowthread.frontends.admin.codec import CONTINUE, AdminRequest, RequestError, RequestReader, encode
from snowthread.frontends.admin.routes import AdminResponse, RouteTable
from snowthread.net.listening import open_listener
from snowthread.net.loop import READABLE, WRITABLE, Coroutine, EventLoop, Task, Wait

# Limit of open connections, within the reserved descriptors; the oldest one is closed for a new one.
MAX_CLIENTS = 12
REQUEST_TIMEOUT_MS = 10_000.0  # limit for receiving a request; some clients pause for seconds within one
RESPONSE_TIMEOUT_MS = 1_000.0  # limit for sending a response and for the client to close after it
READ_BYTES = 4 * 1024  # most bytes read from a connection at a time
LISTEN_BACKLOG = 64  # connections that the kernel queues until they are accepted
ACCEPT_PAUSE_MS = 10.0  # delay before the next accept() after one that failed


class _Client:
    """One connection and the task that serves it."""

    __slots__ = ("sock", "task")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.task: Task | None = None


class AdminServer:
    """Answers each request with the handler that is registered for its path and method."""

    def __init__(self, loop: EventLoop, address: Address, routes: RouteTable) -> None:
        self._loop = loop
        self._routes = dict(routes)
        self._listener = open_listener(address, LISTEN_BACKLOG)
        self._clients: dict[_Client, None] = {}  # the open connections, the oldest first
        loop.spawn(self._accept())

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which the server listens."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    def _accept(self) -> Coroutine:
        while True:
            yield Wait(self._listener.fileno(), READABLE)
            try:
                sock, _address = self._listener.accept()
            except OSError as error:  # the client has disconnected already, or no descriptor is free
                logger.debug("admin: accept() failed, retrying shortly: {}", error)
                yield Wait(until_ms=self._loop.clock.now() + ACCEPT_PAUSE_MS)
                continue
            sock.setblocking(False)
            if len(self._clients) >= MAX_CLIENTS:
                self._disconnect(next(iter(self._clients)))
            client = _Client(sock)
            self._clients[client] = None
            client.task = self._loop.spawn(self._run(client))

    def _disconnect(self, client: _Client) -> None:
        """Close a client's connection and end its task.

        The task itself closes the connection only if it has run at least once.
        """
        if client in self._clients:
            self._remove(client)
            if client.task is not None:
                self._loop.end_task(client.task)

    def _remove(self, client: _Client) -> None:
        del self._clients[client]
        self._loop.close(client.sock)

    def _run(self, client: _Client) -> Coroutine:
        try:
            request = yield from self._read_request(client.sock)
            if request is not None:
                response = yield from self._respond(request)
                yield from self._send_response(client.sock, response)
        except OSError as error:
            logger.debug("admin: connection closed: {}", error)
        finally:
            if client in self._clients:
                self._remove(client)

    def _read_request(self, sock: socket.socket) -> Generator[Wait, int, AdminRequest | RequestError | None]:
        """Read one request; return None if the client closes or ``REQUEST_TIMEOUT_MS`` passes."""
        reader = RequestReader()
        deadline_ms = self._loop.clock.now() + REQUEST_TIMEOUT_MS
        has_sent_continue = False
        while reader.result is None:
            if not (yield Wait(sock.fileno(), READABLE, deadline_ms)):
                return None
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                return None
            reader.feed(data)
            if reader.expects_continue and reader.result is None and not has_sent_continue:
                has_sent_continue = True
                sock.send(CONTINUE)
        return reader.result

    def _send_response(self, sock: socket.socket, response: bytes) -> Coroutine:
        """Send a response, then discard input until the client closes or ``RESPONSE_TIMEOUT_MS`` passes.

        Closing a socket with unread input resets the connection, and the client can lose the response.
        """
        deadline_ms = self._loop.clock.now() + RESPONSE_TIMEOUT_MS
        while response:
            try:
                response = response[sock.send(response) :]
            except BlockingIOError:
                if not (yield Wait(sock.fileno(), WRITABLE, deadline_ms)):
                    return
        sock.shutdown(socket.SHUT_WR)
        while (yield Wait(sock.fileno(), READABLE, deadline_ms)) and sock.recv(READ_BYTES):
            pass

    def _respond(self, request: AdminRequest | RequestError) -> Generator[Wait, int, bytes]:
        """Call the handler of a request and return the encoded response, an error if there is no handler."""
        if isinstance(request, RequestError):
            return encode(AdminResponse(request.status, request.reason))
        route = self._routes.get(request.path)
        if route is None:
            text = f"no such call; there are {', '.join(self._routes)}"
            return encode(AdminResponse(HTTPStatus.NOT_FOUND, text))
        if request.method != route.method:
            rejection = AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, f"{route.method} is wanted")
            return encode(rejection, {"Allow": route.method})
        response = route.handler()
        if not isinstance(response, AdminResponse):
            response = yield from response
        return encode(response)
