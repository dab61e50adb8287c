"""The ASN.1 of LDAP that a client needs: RFC 4511 (section 4 and appendix B), RFC 2696 and RFC 4533.

Strings are octets here; the layers above decode their UTF-8. Only what a client sends or may receive is
named; a response of any other kind is a protocol error.
"""

from __future__ import annotations

import asn1tools

LDAP = """
Ldap DEFINITIONS IMPLICIT TAGS ::= BEGIN

-- An ENUMERATED whose unknown numbers are kept, since servers send codes from later documents.
Enum ::= [UNIVERSAL 10] INTEGER

Message ::= SEQUENCE {
    id INTEGER (0..2147483647),
    op CHOICE {
        bindRequest BindRequest, bindResponse BindResponse, unbindRequest UnbindRequest,
        searchRequest SearchRequest, searchResEntry SearchResultEntry, searchResDone SearchResultDone,
        searchResRef SearchResultReference, abandonRequest AbandonRequest,
        extendedReq ExtendedRequest, extendedResp ExtendedResponse,
        intermediateResponse IntermediateResponse },
    controls [0] Controls OPTIONAL }

Controls ::= SEQUENCE OF Control
Control ::= SEQUENCE { type OCTET STRING, criticality BOOLEAN OPTIONAL, value OCTET STRING OPTIONAL }

BindRequest ::= [APPLICATION 0] SEQUENCE {
    version INTEGER (1..127), name OCTET STRING,
    authentication CHOICE { simple [0] OCTET STRING, sasl [3] SaslCredentials } }
SaslCredentials ::= SEQUENCE { mechanism OCTET STRING, credentials OCTET STRING OPTIONAL }
BindResponse ::= [APPLICATION 1] SEQUENCE {
    code Enum, matched OCTET STRING, text OCTET STRING,
    referral [3] Referral OPTIONAL, serverSaslCreds [7] OCTET STRING OPTIONAL }
UnbindRequest ::= [APPLICATION 2] NULL
SearchRequest ::= [APPLICATION 3] SEQUENCE {
    base OCTET STRING, scope Enum, deref Enum, sizeLimit INTEGER, timeLimit INTEGER,
    typesOnly BOOLEAN, filter Filter, attributes SEQUENCE OF OCTET STRING }
Filter ::= CHOICE {
    and [0] SET OF Filter, or [1] SET OF Filter, not [2] EXPLICIT Filter,
    equalityMatch [3] Assertion, substrings [4] Substrings,
    greaterOrEqual [5] Assertion, lessOrEqual [6] Assertion, present [7] OCTET STRING,
    approxMatch [8] Assertion, extensibleMatch [9] Matching }
Assertion ::= SEQUENCE { attribute OCTET STRING, value OCTET STRING }
Substrings ::= SEQUENCE { type OCTET STRING, parts SEQUENCE OF CHOICE {
    initial [0] OCTET STRING, any [1] OCTET STRING, final [2] OCTET STRING } }
Matching ::= SEQUENCE { rule [1] OCTET STRING OPTIONAL, type [2] OCTET STRING OPTIONAL,
    value [3] OCTET STRING, dnAttributes [4] BOOLEAN OPTIONAL }
SearchResultEntry ::= [APPLICATION 4] SEQUENCE {
    name OCTET STRING, attributes SEQUENCE OF Attribute }
Attribute ::= SEQUENCE { type OCTET STRING, vals SET OF OCTET STRING }
SearchResultDone ::= [APPLICATION 5] Result
AbandonRequest ::= [APPLICATION 16] INTEGER
SearchResultReference ::= [APPLICATION 19] SEQUENCE OF OCTET STRING
ExtendedRequest ::= [APPLICATION 23] SEQUENCE { name [0] OCTET STRING, value [1] OCTET STRING OPTIONAL }
ExtendedResponse ::= [APPLICATION 24] SEQUENCE {
    code Enum, matched OCTET STRING, text OCTET STRING,
    referral [3] Referral OPTIONAL, name [10] OCTET STRING OPTIONAL, value [11] OCTET STRING OPTIONAL }
IntermediateResponse ::= [APPLICATION 25] SEQUENCE {
    name [0] OCTET STRING OPTIONAL, value [1] OCTET STRING OPTIONAL }
Result ::= SEQUENCE {
    code Enum, matched OCTET STRING, text OCTET STRING,
    referral [3] Referral OPTIONAL }
Referral ::= SEQUENCE OF OCTET STRING

PagedValue ::= SEQUENCE { size INTEGER, cookie OCTET STRING }

SyncRequest ::= SEQUENCE { mode ENUMERATED { refreshOnly(1), refreshAndPersist(3) },
    cookie OCTET STRING OPTIONAL, reloadHint BOOLEAN OPTIONAL }
SyncState ::= SEQUENCE { state ENUMERATED { present(0), add(1), modify(2), delete(3) },
    uuid OCTET STRING, cookie OCTET STRING OPTIONAL }
SyncDone ::= SEQUENCE { cookie OCTET STRING OPTIONAL, refreshDeletes BOOLEAN OPTIONAL }
SyncInfo ::= CHOICE {
    newcookie [0] OCTET STRING,
    refreshDelete [1] SyncPhase, refreshPresent [2] SyncPhase, syncIdSet [3] SyncIdSet }
SyncPhase ::= SEQUENCE { cookie OCTET STRING OPTIONAL, refreshDone BOOLEAN OPTIONAL }
SyncIdSet ::= SEQUENCE { cookie OCTET STRING OPTIONAL, refreshDeletes BOOLEAN OPTIONAL,
    uuids SET OF OCTET STRING }

END
"""

MODULE = asn1tools.compile_string(LDAP, "ber")
