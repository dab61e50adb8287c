"""LDAP messages (RFC 4511) and the controls of RFC 2696 and RFC 4533, as BER nodes."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

from emulators.directory import ber
from emulators.directory.ber import Node

PAGED_RESULTS = "1.2.840.113556.1.4.319"
SYNC_REQUEST = "1.3.6.1.4.1.4203.1.9.1.1"
SYNC_STATE = "1.3.6.1.4.1.4203.1.9.1.2"
SYNC_DONE = "1.3.6.1.4.1.4203.1.9.1.3"
SYNC_INFO = "1.3.6.1.4.1.4203.1.9.1.4"
START_TLS = "1.3.6.1.4.1.1466.20037"
NOTICE_OF_DISCONNECTION = "1.3.6.1.4.1.1466.20036"

REFRESH_AND_PERSIST = 3  # Mode of a synchronisation that stays open for later changes (RFC 4533).


class Operation(IntEnum):
    """Application tags of the LDAP operations (RFC 4511)."""

    BIND_REQUEST = 0
    BIND_RESPONSE = 1
    UNBIND_REQUEST = 2
    SEARCH_REQUEST = 3
    SEARCH_RESULT_ENTRY = 4
    SEARCH_RESULT_DONE = 5
    ABANDON_REQUEST = 16
    EXTENDED_REQUEST = 23
    EXTENDED_RESPONSE = 24
    INTERMEDIATE_RESPONSE = 25


class ResultCode(IntEnum):
    """The result codes that the emulator sends when no fault sets another one."""

    SUCCESS = 0
    PROTOCOL_ERROR = 2
    SIZE_LIMIT_EXCEEDED = 4
    UNAVAILABLE_CRITICAL_EXTENSION = 12
    NO_SUCH_OBJECT = 32
    INVALID_CREDENTIALS = 49
    UNAVAILABLE = 52
    UNWILLING_TO_PERFORM = 53
    SYNC_REFRESH_REQUIRED = 4096


class EntryState(IntEnum):
    """The states of an entry in a synchronisation (RFC 4533)."""

    PRESENT = 0
    ADD = 1
    MODIFY = 2
    DELETE = 3


def message(message_id: int, operation: bytes, controls: Iterable[Node] = ()) -> bytes:
    """Return the bytes of a message with an operation that is already encoded."""
    parts = ber.encode(ber.integer(message_id)) + operation
    nodes = list(controls)
    if nodes:
        parts += ber.encode(ber.context(0, *nodes))
    return ber.wrap_sequence(parts)


def result(operation: int, code: int, text: str = "", additional: Iterable[Node] = ()) -> Node:
    """Return the response that ends an operation.

    Args:
        operation: Application tag of the response.
        code: Result code.
        text: Diagnostic message.
        additional: Elements after those that all results have.
    """
    return ber.application(operation, ber.enumerated(code), ber.octets(""), ber.octets(text), *additional)


def search_done(code: int, text: str = "") -> Node:
    """Return the response that ends a search."""
    return result(Operation.SEARCH_RESULT_DONE, code, text)


def extended_response(code: int, text: str = "", oid: str | None = None) -> Node:
    """Return the response to an extended request, or an unsolicited notification with this OID."""
    name = [] if oid is None else [ber.context_octets(10, oid)]
    return result(Operation.EXTENDED_RESPONSE, code, text, name)


def sync_info(value: Node) -> Node:
    """Return a sync info message, which is an intermediate response of a synchronisation (RFC 4533)."""
    return ber.application(
        Operation.INTERMEDIATE_RESPONSE,
        ber.context_octets(0, SYNC_INFO),
        ber.context_octets(1, ber.encode(value)),
    )


def control(oid: str, value: Node) -> Node:
    """Return a control with a value."""
    return ber.sequence(ber.octets(oid), ber.octets(ber.encode(value)))
