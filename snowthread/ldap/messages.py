"""The operations as plain types, and their bytes (RFC 4511, section 4)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import asn1tools

from snowthread.ldap.ber import Bounds, MalformedError, check
from snowthread.ldap.schema import MODULE

_MESSAGE = MODULE.types["Message"]
NOTICE_OF_DISCONNECTION_OID = "1.3.6.1.4.1.1466.20036"  # notice of disconnection, RFC 4511 section 4.4.1
START_TLS_OID = "1.3.6.1.4.1.1466.20037"  # RFC 4511 section 4.14
FilterTree = tuple[str, Any]  # as ``filters.parse`` makes it


class Scope(IntEnum):
    """How far down a search looks."""

    BASE = 0
    ONE = 1
    SUB = 2


class Secret:
    """Text that no log, repr or traceback shows."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> bytes:
        """Its octets, for the one who sends them."""
        return self._text.encode()

    def __repr__(self) -> str:
        return "Secret(***)"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and other._text == self._text

    def __hash__(self) -> int:
        return hash(self._text)


@dataclass(frozen=True, slots=True)
class Control:
    """A control of any kind; ``controls`` makes and reads the known ones."""

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
    """SASL EXTERNAL (RFC 4422, appendix A): who the certificate says."""

    authorization: str = ""


@dataclass(frozen=True, slots=True)
class UnbindRequest:
    """The end of the session; no answer."""


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """Give up an operation; no answer."""

    message_id: int


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search; limits of 0 are none."""

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
    """How an operation ended."""

    code: int
    matched: str = ""
    text: str = ""
    referral: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BindResponse:
    """The answer to a bind."""

    result: LdapResult


@dataclass(frozen=True, slots=True)
class SearchResultEntry:
    """One entry; attribute names are lower-cased, options stay with them."""

    dn: str
    attributes: Mapping[str, tuple[bytes, ...]]
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class SearchResultReference:
    """The search goes on elsewhere, as these URLs say."""

    urls: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchResultDone:
    """The search is over."""

    result: LdapResult
    controls: tuple[Control, ...] = ()


@dataclass(frozen=True, slots=True)
class ExtendedResponse:
    """The answer to an extended operation, or an unsolicited notice."""

    result: LdapResult
    oid: str = ""
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class IntermediateResponse:
    """A word on the way (RFC 4511, section 4.13)."""

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
    """A response under its number."""

    message_id: int
    response: Response
    size: int = field(default=0, compare=False)


def encode(number: int, request: Request) -> bytes:
    """A request's bytes."""
    fields: dict[str, Any] = {"id": number, "op": _request(request)}
    if isinstance(request, SearchRequest) and request.controls:
        fields["controls"] = [_control(c) for c in request.controls]
    return bytes(_MESSAGE.encode(fields))


def _control(c: Control) -> dict[str, Any]:
    fields: dict[str, Any] = {"type": c.oid.encode()}
    if c.critical:
        fields["criticality"] = True
    if c.value is not None:
        fields["value"] = c.value
    return fields


def _request(r: Request) -> tuple[str, Any]:
    match r:
        case SimpleBindRequest():
            return "bindRequest", {
                "version": 3,
                "name": r.name.encode(),
                "authentication": ("simple", r.secret.reveal()),
            }
        case ExternalBindRequest():
            sasl = {"mechanism": b"EXTERNAL", "credentials": r.authorization.encode()}
            return "bindRequest", {"version": 3, "name": b"", "authentication": ("sasl", sasl)}
        case UnbindRequest():
            return "unbindRequest", None
        case AbandonRequest():
            return "abandonRequest", r.message_id
        case SearchRequest():
            return "searchRequest", {
                "base": r.base.encode(),
                "scope": int(r.scope),
                "deref": 0,
                "sizeLimit": r.size_limit,
                "timeLimit": r.time_limit_s,
                "typesOnly": False,
                "filter": r.filter,
                "attributes": [a.encode() for a in r.attributes],
            }
        case ExtendedRequest():
            fields = {"name": r.oid.encode()}
            if r.value is not None:
                fields["value"] = r.value
            return "extendedReq", fields


def decode(frame: bytes, bounds: Bounds) -> Message:
    """A response from one whole frame; MalformedError where it is none."""
    check(frame, bounds)
    try:
        fields = _MESSAGE.decode(frame)
        controls = tuple(
            Control(c["type"].decode(), c.get("criticality", False), c.get("value"))
            for c in fields.get("controls", ())
        )
        return Message(fields["id"], _response(fields["op"][0], fields["op"][1], controls), len(frame))
    except (asn1tools.Error, UnicodeDecodeError, KeyError, IndexError, OverflowError) as error:
        raise MalformedError(f"not a message: {type(error).__name__}") from None


def _response(kind: str, v: Any, controls: tuple[Control, ...]) -> Response:
    match kind:
        case "searchResEntry":
            attributes: dict[str, tuple[bytes, ...]] = {}
            for a in v["attributes"]:
                name = a["type"].decode().lower()
                attributes[name] = attributes.get(name, ()) + tuple(a["vals"])
            return SearchResultEntry(v["name"].decode(), attributes, controls)
        case "searchResDone":
            return SearchResultDone(_result(v), controls)
        case "searchResRef":
            return SearchResultReference(tuple(url.decode() for url in v))
        case "bindResponse":
            return BindResponse(_result(v))
        case "extendedResp":
            return ExtendedResponse(_result(v), v.get("name", b"").decode(), v.get("value"))
        case "intermediateResponse":
            return IntermediateResponse(v.get("name", b"").decode(), v.get("value", b""))
    raise MalformedError(f"{kind} is nothing that a server sends")


def _result(v: Any) -> LdapResult:
    return LdapResult(
        v["code"],
        v["matched"].decode(),
        v["text"].decode(),
        tuple(url.decode() for url in v.get("referral", ())),
    )
