"""Answer the requests of one connection."""

from __future__ import annotations

from enum import Enum

from emulators.directory import protocol
from emulators.directory.ber import Node
from emulators.directory.protocol import Operation, ResultCode
from emulators.directory.responses import ResponseWriter
from emulators.directory.searches import SearchHandler
from emulators.directory.state import DirectoryState

# Context tags of the authentication choice in a bind request (RFC 4511, section 4.2).
SIMPLE = 0
SASL = 3


class NextStep(Enum):
    """The next action of a connection after a request."""

    READ = 0
    START_TLS = 1
    CLOSE = 2


class RequestHandler:
    """Answers the requests of one connection; searches are passed on to the search handler."""

    def __init__(self, directory: DirectoryState, responses: ResponseWriter, searches: SearchHandler) -> None:
        self._directory = directory
        self._responses = responses
        self._searches = searches

    def handle(self, parts: list[Node]) -> NextStep:
        """Answer a message and return the connection's next action.

        Args:
            parts: Elements of the message: its id, its operation, and its controls if there are any.
        """
        message_id = parts[0].value
        _, operation, value = parts[1]
        match operation:
            case Operation.BIND_REQUEST:
                self._bind(message_id, value)
            case Operation.UNBIND_REQUEST:
                return NextStep.CLOSE
            case Operation.SEARCH_REQUEST:
                self._searches.search(message_id, value, _read_controls(parts))
            case Operation.ABANDON_REQUEST:
                self._searches.abandon(value if isinstance(value, int) else int.from_bytes(value))
            case Operation.EXTENDED_REQUEST if self._is_start_tls(value):
                accepted = protocol.extended_response(ResultCode.SUCCESS, oid=protocol.START_TLS)
                self._responses.send(message_id, accepted)
                return NextStep.START_TLS
            case _:
                unknown = protocol.extended_response(ResultCode.PROTOCOL_ERROR, "not known here")
                self._responses.send(message_id, unknown)
        return NextStep.READ

    def _is_start_tls(self, value: list[Node]) -> bool:
        return value[0].value.decode() == protocol.START_TLS and self._directory.capabilities.tls is not None

    def _bind(self, message_id: int, value: list[Node]) -> None:
        self._directory.bind_count += 1
        passwords = self._directory.capabilities.passwords
        name = value[1].value.decode()
        _, method, credentials = value[2]
        accepted = (
            not passwords
            or method == SASL
            or (method == SIMPLE and passwords.get(name) == credentials.decode())
        )
        code = ResultCode.SUCCESS if accepted else ResultCode.INVALID_CREDENTIALS
        code_sent = self._directory.faults.bind_code or code
        self._responses.send(message_id, protocol.result(Operation.BIND_RESPONSE, code_sent))


def _read_controls(parts: list[Node]) -> dict[str, bytes]:
    """Return the value of each control of a message, by its OID."""
    if len(parts) < 3:
        return {}
    return {control.value[0].value.decode(): control.value[-1].value for control in parts[2].value}
