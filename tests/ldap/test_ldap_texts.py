"""Parsing of filters (RFC 4515), distinguished names (RFC 4514) and LDAP URLs (RFC 4516)."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snowthread.ldap import dn, filters, url
from snowthread.ldap.messages import Scope
from snowthread.ldap.search_filter import (
    Comparison,
    ComparisonKind,
    ExtensibleMatch,
    Filter,
    Or,
    Present,
    Substring,
    SubstringKind,
    Substrings,
)
from snowthread.ldap.text_errors import DnError, FilterError, LdapTextError, UrlError

PLAIN_BASE = dn.parse("ou=tenants,dc=example")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("(cn=Babs J ensen)", Comparison(ComparisonKind.EQUALITY, b"cn", b"Babs J ensen")),
        (
            "(o=Parens R Us \\28for all\\29)",
            Comparison(ComparisonKind.EQUALITY, b"o", b"Parens R Us (for all)"),
        ),
        ("(cn=*\\2A*)", Substrings(b"cn", (Substring(SubstringKind.ANY, b"*"),))),
        ("(sn;lang-en~=x)", Comparison(ComparisonKind.APPROX, b"sn;lang-en", b"x")),
        ("(seeAlso=)", Comparison(ComparisonKind.EQUALITY, b"seeAlso", b"")),
        ("(1.2.3=\\04\\02\\48\\69)", Comparison(ComparisonKind.EQUALITY, b"1.2.3", b"\x04\x02Hi")),
        ("(|)", Or(())),
        ("(cn=*)", Present(b"cn")),
        ("(cn:dn:2.4.6:=Dino)", ExtensibleMatch(b"Dino", b"2.4.6", b"cn", dn_attributes=True)),
    ],
)
def test_the_examples_of_rfc_4515_are_parsed(text: str, expected: Filter) -> None:
    assert filters.parse(text) == expected


@pytest.mark.parametrize(
    "text",
    [
        "",
        "cn=a",
        "(cn=a",
        "(cn=a))",
        "(=a)",
        "(cn=a**b)",
        "(cn>=*)",
        "(cn=\\2)",
        "(!(a=b)(c=d))",
        "(:=x)",
        "(" * 40 + "a=b" + ")" * 40,
        "(cn=\x00)",
    ],
)
def test_a_text_that_is_no_filter_is_an_error(text: str) -> None:
    with pytest.raises(FilterError):
        filters.parse(text)


@pytest.mark.parametrize(
    ("parse", "text", "column"),
    [(filters.parse, "(cn=a))", 7), (dn.parse, "cn=a,,cn=b", 6), (dn.parse, "cn=" + "x" * 5000, None)],
)
def test_the_error_says_at_which_character_the_text_is_wrong(
    parse: Callable[[str], object], text: str, column: int | None
) -> None:
    with pytest.raises(LdapTextError) as caught:
        parse(text)
    assert caught.value.column == column
    assert str(caught.value).endswith(f"at character {column}") is (column is not None)


@given(st.binary(max_size=20))
def test_an_escaped_value_is_read_back(value: bytes) -> None:
    text = f"(cn={filters.escape(value)})"
    assert filters.parse(text) == Comparison(ComparisonKind.EQUALITY, b"cn", value)


def test_names_compare_without_case_and_extra_spaces() -> None:
    base = dn.parse("ou=Tenants, dc=Example")
    assert dn.parse("CN=a\\2c b,OU=tenants,DC=EXAMPLE").is_below(base)
    assert dn.parse("cn=x+sn=y,ou=a").key == dn.parse("SN=Y+cn=X,OU=A").key
    assert not dn.parse("ou=tenants,dc=example,dc=com").is_below(base)
    assert dn.parse("cn=a,dc=x").is_below(dn.parse("")) and not dn.parse("").is_below(base)
    assert dn.parse("cn=a  b").key == dn.parse("cn=a b").key != dn.parse("cn=ab").key


def test_a_name_that_ends_with_the_canonical_base_is_below_it() -> None:
    assert dn.ends_with_base("cn=X,OU=Tenants,dc=example", PLAIN_BASE)


@pytest.mark.parametrize(
    "text",
    [
        "cn=x\\,ou=tenants,dc=example",
        "cn=x,ou=tenants, dc=example",
        "ou=tenants,dc=example",
        "cn=xou=tenants,dc=example",
    ],
)
def test_any_other_name_has_to_be_parsed(text: str) -> None:
    assert not dn.ends_with_base(text, PLAIN_BASE)


@pytest.mark.parametrize("text", ["cn", "=a", "cn=a,,cn=b", "cn=a\\", "cn=a;b", "cn=" + "x" * 5000])
def test_a_text_that_is_no_name_is_an_error(text: str) -> None:
    with pytest.raises(DnError):
        dn.parse(text)


def test_the_parts_of_a_url_are_parsed() -> None:
    parsed = url.parse("ldap://[2001:db8::7]/c=GB?objectClass,cn?one?(cn=a%2a)")
    assert (parsed.host, parsed.port, parsed.base, parsed.scope) == ("2001:db8::7", 389, "c=GB", Scope.ONE)
    assert parsed.attributes == ("objectClass", "cn") and parsed.server == "ldap://[2001:db8::7]:389"
    assert url.parse("ldaps://10.0.0.1").port == 636


@pytest.mark.parametrize(
    "text",
    [
        "http://10.0.0.1",
        "ldap://u@10.0.0.1",
        "ldap://10.0.0.1/x",
        "ldap://10.0.0.1/??all",
        "ldap://10.0.0.1/????!ext",
        "ldap://10.0.0.1:0x",
        "ldap://10.0.0.1/???(a",
    ],
)
def test_a_bad_url_is_an_error(text: str) -> None:
    with pytest.raises(UrlError):
        url.parse(text)


def test_the_host_of_a_url_must_be_a_number_to_connect_to() -> None:
    with pytest.raises(UrlError, match="numeric"):
        _ = url.parse("ldap://directory.example").address
