"""The operations of LDAP as typed messages, and their encoding (RFC 4511, section 4)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import asn1tools

from snowthread.ldap.ber import Bounds, MalformedError, check
from snowthread.ldap.schema import MODULE

_MESSAGE = MODULE.types["Message"]
NOTICE_OF_DISCONNECTION_OID = "1.3.6.1.4.1.1466.20036"  # RFC 4511, section 4.4.1
START_TLS_OID = "1.3.6.1.4.1.1466.20037"  # RFC 4511, section 4.14
FilterTree = tuple[str, Any]  # the kind of a filter and its content, as the schema's CHOICE takes it
PROTOCOL_VERSION = 3
NEVER_DEREFERENCE_ALIASES = 0


class Scope(IntEnum):
    """How far below the base a search goes."""

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
    """A control of any kind; ``controls`` encodes and decodes the known ones."""

    oid: str
    critical: bool = False
    value: bytes | None = None


# Requests


@dataclass(frozen=True, slots=True)
class SimpleBindRequest:
    """A simple bind; an empty name and secret is anonymous."""

    name: str
    secret: Secret


@dataclass(frozen=True, slots=True)
class ExternalBindRequest:
    """SASL EXTERNAL (RFC 4422, appendix A): the identity is the client certificate's."""

    authorization: str = ""


@dataclass(frozen=True, slots=True)
class UnbindRequest:
    """The end of the session; there is no response."""


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """The client gives up an operation; there is no response."""

    message_id: int


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search; a limit of 0 is none."""

    base: str
    scope: Scope
    filter: FilterTree
    attributes: tuple[str, ...] = ()
    size_limit: int = 0
    time_limit_s: int = 0
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class ExtendedRequest:
    """An extended operation."""

    oid: str
    value: bytes | None = None


Request = (
    SimpleBindRequest | ExternalBindRequest | UnbindRequest | AbandonRequest | SearchRequest | ExtendedRequest
)

# Responses


@dataclass(frozen=True, slots=True)
class LdapResult:
    """The result of an operation."""

    code: int
    matched: str = ""
    text: str = ""
    referral: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BindResponse:
    """The response to a bind."""

    result: LdapResult


@dataclass(frozen=True, slots=True)
class SearchResultEntry:
    """One entry; attribute names are lower-cased and keep their options."""

    dn: str
    attributes: Mapping[str, tuple[bytes, ...]]
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class SearchResultReference:
    """The search continues at these URLs."""

    urls: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchResultDone:
    """The end of a search."""

    result: LdapResult
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class ExtendedResponse:
    """The response to an extended operation, or an unsolicited notification."""

    result: LdapResult
    oid: str = ""
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class IntermediateResponse:
    """An intermediate response (RFC 4511, section 4.13)."""

    oid: str
    value: bytes = b""


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
    """A response and the id of its request; 0: unsolicited."""

    message_id: int
    response: Response
    size: int = field(default=0, compare=False)


def encode(message_id: int, request: Request) -> bytes:
    """Return a request's bytes."""
    fields: dict[str, Any] = {"id": message_id, "op": _encode_request(request)}
    if isinstance(request, SearchRequest) and request.controls:
        fields["controls"] = [_encode_control(control) for control in request.controls]
    return bytes(_MESSAGE.encode(fields))


def _encode_control(control: Control) -> dict[str, Any]:
    fields: dict[str, Any] = {"type": control.oid.encode()}
    if control.critical:
        fields["criticality"] = True
    if control.value is not None:
        fields["value"] = control.value
    return fields


def _encode_request(request: Request) -> tuple[str, Any]:
    match request:
        case SimpleBindRequest():
            credentials = ("simple", request.secret.reveal())
            return "bindRequest", _bind_fields(request.name, credentials)
        case ExternalBindRequest():
            sasl = {"mechanism": b"EXTERNAL", "credentials": request.authorization.encode()}
            return "bindRequest", _bind_fields("", ("sasl", sasl))
        case UnbindRequest():
            return "unbindRequest", None
        case AbandonRequest():
            return "abandonRequest", request.message_id
        case SearchRequest():
            return "searchRequest", _search_fields(request)
        case ExtendedRequest():
            fields = {"name": request.oid.encode()}
            if request.value is not None:
                fields["value"] = request.value
            return "extendedReq", fields


def _bind_fields(name: str, authentication: tuple[str, Any]) -> dict[str, Any]:
    return {"version": PROTOCOL_VERSION, "name": name.encode(), "authentication": authentication}


def _search_fields(search: SearchRequest) -> dict[str, Any]:
    return {
        "base": search.base.encode(),
        "scope": int(search.scope),
        "deref": NEVER_DEREFERENCE_ALIASES,
        "sizeLimit": search.size_limit,
        "timeLimit": search.time_limit_s,
        "typesOnly": False,
        "filter": search.filter,
        "attributes": [name.encode() for name in search.attributes],
    }


def decode(frame: bytes, bounds: Bounds) -> Message:
    """Return the response in one complete frame; MalformedError if it is none."""
    check(frame, bounds)
    try:
        fields = _MESSAGE.decode(frame)
        controls = tuple(
            Control(control["type"].decode(), control.get("criticality", False), control.get("value"))
            for control in fields.get("controls", ())
        )
        kind, content = fields["op"]
        return Message(fields["id"], _decode_response(kind, content, controls), len(frame))
    except (asn1tools.Error, UnicodeDecodeError, KeyError, IndexError, OverflowError) as error:
        raise MalformedError(f"not a message: {type(error).__name__}") from None


def _decode_response(kind: str, content: Any, controls: tuple[Control, ...]) -> Response:
    match kind:
        case "searchResEntry":
            return SearchResultEntry(
                content["name"].decode(), _decode_attributes(content["attributes"]), controls
            )
        case "searchResDone":
            return SearchResultDone(_decode_result(content), controls)
        case "searchResRef":
            return SearchResultReference(tuple(url.decode() for url in content))
        case "bindResponse":
            return BindResponse(_decode_result(content))
        case "extendedResp":
            oid = content.get("name", b"").decode()
            return ExtendedResponse(_decode_result(content), oid, content.get("value"))
        case "intermediateResponse":
            return IntermediateResponse(content.get("name", b"").decode(), content.get("value", b""))
    raise MalformedError(f"{kind} is nothing that a server sends")


def _decode_attributes(fields: Any) -> dict[str, tuple[bytes, ...]]:
    attributes: dict[str, tuple[bytes, ...]] = {}
    for attribute in fields:
        name = attribute["type"].decode().lower()
        attributes[name] = attributes.get(name, ()) + tuple(attribute["vals"])
    return attributes


def _decode_result(content: Any) -> LdapResult:
    return LdapResult(
        code=content["code"],
        matched=content["matched"].decode(),
        text=content["text"].decode(),
        referral=tuple(url.decode() for url in content.get("referral", ())),
    )
