"""The LDAP result codes that the client reacts to (RFC 4511, section 4.1.9 and appendix A)."""

from __future__ import annotations

from enum import IntEnum


class ResultCode(IntEnum):
    """A result code; results carry plain numbers, since servers may send codes that are not listed here."""

    SUCCESS = 0
    OPERATIONS_ERROR = 1
    PROTOCOL_ERROR = 2  # also sent by servers in response to an unknown extension
    TIME_LIMIT_EXCEEDED = 3
    SIZE_LIMIT_EXCEEDED = 4
    AUTH_METHOD_NOT_SUPPORTED = 7
    STRONGER_AUTH_REQUIRED = 8
    REFERRAL = 10
    ADMIN_LIMIT_EXCEEDED = 11
    UNAVAILABLE_CRITICAL_EXTENSION = 12
    CONFIDENTIALITY_REQUIRED = 13
    NO_SUCH_OBJECT = 32
    INVALID_DN_SYNTAX = 34
    INAPPROPRIATE_AUTHENTICATION = 48
    INVALID_CREDENTIALS = 49
    INSUFFICIENT_ACCESS_RIGHTS = 50
    BUSY = 51
    UNAVAILABLE = 52
    UNWILLING_TO_PERFORM = 53
    OTHER = 80
    SYNC_REFRESH_REQUIRED = 4096  # RFC 4533, section 2.6
