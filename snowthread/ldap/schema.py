"""The ASN.1 definitions of LDAP: RFC 4511 (section 4 and appendix B), RFC 2696 and RFC 4533.

The names are those of the RFCs. Strings are defined as octets; the modules above this one decode their UTF-8.
Only messages that a client sends or may receive are defined, so a response of another type is a protocol
error.
"""

from __future__ import annotations

import asn1tools

LDAP_ASN1 = """
Ldap DEFINITIONS IMPLICIT TAGS ::= BEGIN

-- An ENUMERATED without a list of values, since servers may send codes that later RFCs define.
Enum ::= [UNIVERSAL 10] INTEGER

LDAPMessage ::= SEQUENCE {
    messageID INTEGER (0..2147483647),
    protocolOp CHOICE {
        bindRequest BindRequest, bindResponse BindResponse, unbindRequest UnbindRequest,
        searchRequest SearchRequest, searchResEntry SearchResultEntry, searchResDone SearchResultDone,
        searchResRef SearchResultReference, abandonRequest AbandonRequest,
        extendedReq ExtendedRequest, extendedResp ExtendedResponse,
        intermediateResponse IntermediateResponse },
    controls [0] Controls OPTIONAL }

Controls ::= SEQUENCE OF Control
Control ::= SEQUENCE {
    controlType OCTET STRING, criticality BOOLEAN OPTIONAL, controlValue OCTET STRING OPTIONAL }

BindRequest ::= [APPLICATION 0] SEQUENCE {
    version INTEGER (1..127), name OCTET STRING,
    authentication CHOICE { simple [0] OCTET STRING, sasl [3] SaslCredentials } }
SaslCredentials ::= SEQUENCE { mechanism OCTET STRING, credentials OCTET STRING OPTIONAL }
BindResponse ::= [APPLICATION 1] SEQUENCE {
    resultCode Enum, matchedDN OCTET STRING, diagnosticMessage OCTET STRING,
    referral [3] Referral OPTIONAL, serverSaslCreds [7] OCTET STRING OPTIONAL }
UnbindRequest ::= [APPLICATION 2] NULL
SearchRequest ::= [APPLICATION 3] SEQUENCE {
    baseObject OCTET STRING, scope Enum, derefAliases Enum, sizeLimit INTEGER, timeLimit INTEGER,
    typesOnly BOOLEAN, filter Filter, attributes AttributeSelection }
AttributeSelection ::= SEQUENCE OF OCTET STRING
Filter ::= CHOICE {
    and [0] SET OF Filter, or [1] SET OF Filter, not [2] EXPLICIT Filter,
    equalityMatch [3] AttributeValueAssertion, substrings [4] SubstringFilter,
    greaterOrEqual [5] AttributeValueAssertion, lessOrEqual [6] AttributeValueAssertion,
    present [7] OCTET STRING, approxMatch [8] AttributeValueAssertion,
    extensibleMatch [9] MatchingRuleAssertion }
AttributeValueAssertion ::= SEQUENCE { attributeDesc OCTET STRING, assertionValue OCTET STRING }
SubstringFilter ::= SEQUENCE { type OCTET STRING, substrings SEQUENCE OF CHOICE {
    initial [0] OCTET STRING, any [1] OCTET STRING, final [2] OCTET STRING } }
MatchingRuleAssertion ::= SEQUENCE {
    matchingRule [1] OCTET STRING OPTIONAL, type [2] OCTET STRING OPTIONAL,
    matchValue [3] OCTET STRING, dnAttributes [4] BOOLEAN OPTIONAL }
SearchResultEntry ::= [APPLICATION 4] SEQUENCE {
    objectName OCTET STRING, attributes PartialAttributeList }
PartialAttributeList ::= SEQUENCE OF PartialAttribute
PartialAttribute ::= SEQUENCE { type OCTET STRING, vals SET OF OCTET STRING }
SearchResultDone ::= [APPLICATION 5] LDAPResult
AbandonRequest ::= [APPLICATION 16] INTEGER
SearchResultReference ::= [APPLICATION 19] SEQUENCE OF OCTET STRING
ExtendedRequest ::= [APPLICATION 23] SEQUENCE {
    requestName [0] OCTET STRING, requestValue [1] OCTET STRING OPTIONAL }
ExtendedResponse ::= [APPLICATION 24] SEQUENCE {
    resultCode Enum, matchedDN OCTET STRING, diagnosticMessage OCTET STRING,
    referral [3] Referral OPTIONAL,
    responseName [10] OCTET STRING OPTIONAL, responseValue [11] OCTET STRING OPTIONAL }
IntermediateResponse ::= [APPLICATION 25] SEQUENCE {
    responseName [0] OCTET STRING OPTIONAL, responseValue [1] OCTET STRING OPTIONAL }
LDAPResult ::= SEQUENCE {
    resultCode Enum, matchedDN OCTET STRING, diagnosticMessage OCTET STRING,
    referral [3] Referral OPTIONAL }
Referral ::= SEQUENCE OF OCTET STRING

-- RFC 2696, section 2.
RealSearchControlValue ::= SEQUENCE { size INTEGER, cookie OCTET STRING }

-- RFC 4533, section 2.
SyncRequestValue ::= SEQUENCE { mode ENUMERATED { refreshOnly(1), refreshAndPersist(3) },
    cookie OCTET STRING OPTIONAL, reloadHint BOOLEAN OPTIONAL }
SyncStateValue ::= SEQUENCE { state ENUMERATED { present(0), add(1), modify(2), delete(3) },
    entryUUID OCTET STRING, cookie OCTET STRING OPTIONAL }
SyncDoneValue ::= SEQUENCE { cookie OCTET STRING OPTIONAL, refreshDeletes BOOLEAN OPTIONAL }
SyncInfoValue ::= CHOICE {
    newcookie [0] OCTET STRING,
    refreshDelete [1] RefreshPhase, refreshPresent [2] RefreshPhase, syncIdSet [3] SyncIdSet }
RefreshPhase ::= SEQUENCE { cookie OCTET STRING OPTIONAL, refreshDone BOOLEAN OPTIONAL }
SyncIdSet ::= SEQUENCE { cookie OCTET STRING OPTIONAL, refreshDeletes BOOLEAN OPTIONAL,
    syncUUIDs SET OF OCTET STRING }

END
"""

LDAP_MODULE = asn1tools.compile_string(LDAP_ASN1, "ber")
