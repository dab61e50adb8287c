"""The messages of LDAP (RFC 4511, section 4) as typed values, under the names of the RFC.

``message_codec`` maps them to bytes and back. An attribute name is lower-cased, since names compare without
case (RFC 4512, section 2.5); text is decoded, values stay octets.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from snowthread.ldap.search_filter import Filter

NOTICE_OF_DISCONNECTION_OID = "1.3.6.1.4.1.1466.20036"  # RFC 4511, section 4.4.1
START_TLS_OID = "1.3.6.1.4.1.1466.20037"  # RFC 4511, section 4.14


class Scope(IntEnum):
    """How far below the base object a search goes (RFC 4511, section 4.5.1.2)."""

    BASE = 0
    ONE = 1
    SUB = 2


class Secret:
    """A text that no log, repr or traceback shows."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> bytes:
        """Return its octets, for the request that carries them."""
        return self._text.encode()

    def __repr__(self) -> str:
        return "Secret(***)"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and other._text == self._text

    def __hash__(self) -> int:
        return hash(self._text)


@dataclass(frozen=True, slots=True)
class Control:
    """A control of any kind (section 4.1.11); ``controls`` encodes and decodes the known ones."""

    control_type: str
    criticality: bool = False
    control_value: bytes | None = None


# Requests


@dataclass(frozen=True, slots=True)
class SimpleBindRequest:
    """A simple bind (section 4.2); an empty name and secret is anonymous."""

    name: str
    secret: Secret


@dataclass(frozen=True, slots=True)
class ExternalBindRequest:
    """SASL EXTERNAL (RFC 4422, appendix A): the identity is the client certificate's."""

    authorization_id: str = ""  # empty: the identity of the certificate itself


@dataclass(frozen=True, slots=True)
class UnbindRequest:
    """The end of the session (section 4.3); there is no response."""


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """The client gives up an operation (section 4.11); there is no response."""

    message_id: int


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search (section 4.5.1); a limit of 0 is none."""

    base_object: str
    scope: Scope
    filter: Filter
    attributes: tuple[str, ...] = ()
    size_limit: int = 0  # entries
    time_limit_s: int = 0
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class ExtendedRequest:
    """An extended operation (section 4.12)."""

    request_name: str
    request_value: bytes | None = None


Request = (
    SimpleBindRequest | ExternalBindRequest | UnbindRequest | AbandonRequest | SearchRequest | ExtendedRequest
)

# Responses


@dataclass(frozen=True, slots=True)
class LdapResult:
    """The result of an operation (section 4.1.9)."""

    result_code: int  # a number, since servers send codes that ``ResultCode`` does not name
    matched_dn: str = ""
    diagnostic_message: str = ""
    referral: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BindResponse:
    """The response to a bind (section 4.2.2)."""

    result: LdapResult


@dataclass(frozen=True, slots=True)
class SearchResultEntry:
    """One entry (section 4.5.2); attribute names keep their options."""

    object_name: str
    attributes: Mapping[str, tuple[bytes, ...]]
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class SearchResultReference:
    """The search continues at these URIs (section 4.5.3)."""

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
    """A response and the message id of its request; 0: unsolicited (section 4.4)."""

    message_id: int
    response: Response
