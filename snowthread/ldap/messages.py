"""LDAP messages (RFC 4511, section 4) as typed values, with the names that the RFC uses.

``message_codec`` encodes and decodes them. Attribute names are lower-cased, since they are case-insensitive
(RFC 4512, section 2.5). Text is decoded to strings; attribute values stay octets. Section numbers without a
document refer to RFC 4511.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from snowthread.ldap.search_filter import Filter

NOTICE_OF_DISCONNECTION_OID = "1.3.6.1.4.1.1466.20036"  # RFC 4511, section 4.4.1
START_TLS_OID = "1.3.6.1.4.1.1466.20037"  # RFC 4511, section 4.14


class Scope(IntEnum):
    """The scope of a search relative to its base object (section 4.5.1.2)."""

    BASE = 0
    ONE = 1
    SUB = 2


class Secret:
    """A password or other secret, which repr and thus logs and tracebacks do not show."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> bytes:
        """Return the octets of the secret, to be sent in a request."""
        return self._text.encode()

    def __repr__(self) -> str:
        return "Secret(***)"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and other._text == self._text

    def __hash__(self) -> int:
        return hash(self._text)


@dataclass(frozen=True, slots=True)
class Control:
    """A control of any type (section 4.1.11); the module ``controls`` encodes and decodes the known types."""

    control_type: str
    criticality: bool = False
    control_value: bytes | None = None


# Requests


@dataclass(frozen=True, slots=True)
class SimpleBindRequest:
    """A simple bind (section 4.2); it is anonymous if name and secret are empty."""

    name: str
    secret: Secret


@dataclass(frozen=True, slots=True)
class ExternalBindRequest:
    """A SASL EXTERNAL bind (RFC 4422, appendix A), which uses the identity of the client certificate."""

    authorization_id: str = ""  # identity to act as; empty: the one of the certificate


@dataclass(frozen=True, slots=True)
class UnbindRequest:
    """Ends the session (section 4.3); there is no response."""


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Abandons the operation with this message id (section 4.11); there is no response."""

    message_id: int


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search (section 4.5.1)."""

    base_object: str
    scope: Scope
    filter: Filter
    attributes: tuple[str, ...] = ()
    size_limit: int = 0  # entries; 0: no limit
    time_limit_s: int = 0  # seconds; 0: no limit
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class ExtendedRequest:
    """An extended operation (section 4.12); ``request_name`` is its OID."""

    request_name: str
    request_value: bytes | None = None


Request = (
    SimpleBindRequest | ExternalBindRequest | UnbindRequest | AbandonRequest | SearchRequest | ExtendedRequest
)

# Responses


@dataclass(frozen=True, slots=True)
class LdapResult:
    """The result of an operation (section 4.1.9)."""

    result_code: int  # an int, since servers may send codes that ``ResultCode`` does not define
    matched_dn: str = ""
    diagnostic_message: str = ""
    referral: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BindResponse:
    """The response to a bind (section 4.2.2)."""

    result: LdapResult


@dataclass(frozen=True, slots=True)
class SearchResultEntry:
    """One entry (section 4.5.2); the attribute names include their options."""

    object_name: str
    attributes: Mapping[str, tuple[bytes, ...]]
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class SearchResultReference:
    """A reference to the URIs at which the search could be continued (section 4.5.3)."""

    uris: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchResultDone:
    """The end of a search (section 4.5.2)."""

    result: LdapResult
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class ExtendedResponse:
    """The response to an extended operation, or an unsolicited notification (sections 4.12 and 4.4)."""

    result: LdapResult
    response_name: str = ""
    response_value: bytes | None = None


@dataclass(frozen=True, slots=True)
class IntermediateResponse:
    """An intermediate response (section 4.13)."""

    response_name: str
    response_value: bytes = b""


Response = (
    BindResponse
    | SearchResultEntry
    | SearchResultReference
    | SearchResultDone
    | ExtendedResponse
    | IntermediateResponse
)


@dataclass(frozen=True, slots=True)
class Message:
    """A response and the message id of its request; id 0 is an unsolicited notification (section 4.4)."""

    message_id: int
    response: Response
