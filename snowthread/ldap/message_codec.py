"""Encode requests and decode responses (RFC 4511, section 4) according to the ASN.1 in ``schema``."""

from __future__ import annotations

from typing import Any

import asn1tools

from snowthread.ldap.ber import MalformedMessageError, MessageLimits, check_structure
from snowthread.ldap.messages import (
    AbandonRequest,
    BindResponse,
    Control,
    ExtendedRequest,
    ExtendedResponse,
    ExternalBindRequest,
    IntermediateResponse,
    LdapResult,
    Message,
    Request,
    Response,
    SearchRequest,
    SearchResultDone,
    SearchResultEntry,
    SearchResultReference,
    SimpleBindRequest,
    UnbindRequest,
)
from snowthread.ldap.schema import LDAP_MODULE
from snowthread.ldap.search_filter import (
    And,
    Comparison,
    ExtensibleMatch,
    Filter,
    Not,
    Or,
    Present,
    Substrings,
)

_MESSAGE = LDAP_MODULE.types["LDAPMessage"]
LDAP_VERSION = 3  # RFC 4511, section 4.2
NEVER_DEREF_ALIASES = 0  # RFC 4511, section 4.5.1.3


def encode(message_id: int, request: Request) -> bytes:
    """Return the encoded request."""
    fields: dict[str, Any] = {"messageID": message_id, "protocolOp": _encode_request(request)}
    if isinstance(request, SearchRequest) and request.controls:
        fields["controls"] = [_encode_control(control) for control in request.controls]
    return bytes(_MESSAGE.encode(fields))


def decode(frame: bytes, limits: MessageLimits) -> Message:
    """Return the response in one complete message frame.

    Raises:
        MalformedMessageError: The frame is not a valid response or exceeds the limits.
    """
    check_structure(frame, limits)
    try:
        fields = _MESSAGE.decode(frame)
        controls = tuple(
            Control(
                control["controlType"].decode(),
                control.get("criticality", False),
                control.get("controlValue"),
            )
            for control in fields.get("controls", ())
        )
        kind, content = fields["protocolOp"]
        return Message(fields["messageID"], _decode_response(kind, content, controls))
    except (asn1tools.Error, UnicodeDecodeError, KeyError, IndexError, OverflowError) as error:
        raise MalformedMessageError(f"message can't be decoded: {type(error).__name__}") from None


def _encode_control(control: Control) -> dict[str, Any]:
    fields: dict[str, Any] = {"controlType": control.control_type.encode()}
    if control.criticality:  # a DEFAULT value is not encoded (RFC 4511, section 5.1)
        fields["criticality"] = True
    if control.control_value is not None:
        fields["controlValue"] = control.control_value
    return fields


def _encode_request(request: Request) -> tuple[str, Any]:
    match request:
        case SimpleBindRequest():
            return "bindRequest", _bind_fields(request.name, ("simple", request.secret.reveal()))
        case ExternalBindRequest():
            sasl = {"mechanism": b"EXTERNAL", "credentials": request.authorization_id.encode()}
            return "bindRequest", _bind_fields("", ("sasl", sasl))
        case UnbindRequest():
            return "unbindRequest", None
        case AbandonRequest():
            return "abandonRequest", request.message_id
        case SearchRequest():
            return "searchRequest", _search_fields(request)
        case ExtendedRequest():
            fields = {"requestName": request.request_name.encode()}
            if request.request_value is not None:
                fields["requestValue"] = request.request_value
            return "extendedReq", fields


def _bind_fields(name: str, authentication: tuple[str, Any]) -> dict[str, Any]:
    return {"version": LDAP_VERSION, "name": name.encode(), "authentication": authentication}


def _search_fields(search: SearchRequest) -> dict[str, Any]:
    return {
        "baseObject": search.base_object.encode(),
        "scope": int(search.scope),
        "derefAliases": NEVER_DEREF_ALIASES,
        "sizeLimit": search.size_limit,
        "timeLimit": search.time_limit_s,
        "typesOnly": False,
        "filter": _encode_filter(search.filter),
        "attributes": [name.encode() for name in search.attributes],
    }


def _encode_filter(search_filter: Filter) -> tuple[str, Any]:
    choice: tuple[str, Any]
    match search_filter:
        case And(filters):
            choice = ("and", [_encode_filter(each) for each in filters])
        case Or(filters):
            choice = ("or", [_encode_filter(each) for each in filters])
        case Not(negated):
            choice = ("not", _encode_filter(negated))
        case Comparison(kind, attribute_desc, assertion_value):
            choice = (kind.value, {"attributeDesc": attribute_desc, "assertionValue": assertion_value})
        case Substrings(attribute_desc, substrings):
            parts = [(substring.kind.value, substring.value) for substring in substrings]
            choice = ("substrings", {"type": attribute_desc, "substrings": parts})
        case Present(attribute_desc):
            choice = ("present", attribute_desc)
        case ExtensibleMatch():
            choice = ("extensibleMatch", _extensible_fields(search_filter))
    return choice


def _extensible_fields(match: ExtensibleMatch) -> dict[str, Any]:
    fields: dict[str, Any] = {"matchValue": match.match_value}
    if match.matching_rule is not None:
        fields["matchingRule"] = match.matching_rule
    if match.attribute_desc is not None:
        fields["type"] = match.attribute_desc
    if match.dn_attributes:
        fields["dnAttributes"] = True
    return fields


def _decode_response(kind: str, content: Any, controls: tuple[Control, ...]) -> Response:
    match kind:
        case "searchResEntry":
            return SearchResultEntry(
                content["objectName"].decode(), _decode_attributes(content["attributes"]), controls
            )
        case "searchResDone":
            return SearchResultDone(_decode_result(content), controls)
        case "searchResRef":
            return SearchResultReference(tuple(uri.decode() for uri in content))
        case "bindResponse":
            return BindResponse(_decode_result(content))
        case "extendedResp":
            name = content.get("responseName", b"").decode()
            return ExtendedResponse(_decode_result(content), name, content.get("responseValue"))
        case "intermediateResponse":
            name = content.get("responseName", b"").decode()
            return IntermediateResponse(name, content.get("responseValue", b""))
    raise MalformedMessageError(f"received a {kind}, which is not a response")


def _decode_attributes(fields: Any) -> dict[str, tuple[bytes, ...]]:
    """Return the values by lower-cased name; the values of a repeated name are joined."""
    attributes: dict[str, tuple[bytes, ...]] = {}
    for attribute in fields:
        name = attribute["type"].decode().lower()
        attributes[name] = attributes.get(name, ()) + tuple(attribute["vals"])
    return attributes


def _decode_result(content: Any) -> LdapResult:
    return LdapResult(
        result_code=content["resultCode"],
        matched_dn=content["matchedDN"].decode(),
        diagnostic_message=content["diagnosticMessage"].decode(),
        referral=tuple(uri.decode() for uri in content.get("referral", ())),
    )
