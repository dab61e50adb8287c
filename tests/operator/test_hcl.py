"""The operator's file: errors name the file, block and key, and one error rejects the whole file."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from support.directory_harness import EXAMPLE, settings

from snowthread import config
from snowthread.config import ConfigError
from snowthread.hcl import BlockKeyError
from snowthread.ldap.messages import Secret, SimpleBindRequest
from snowthread.operator.features import Features

NODE = config.load({"NODE_CONFIG": str(EXAMPLE)})
REQUIRED = (
    'servers = ["ldap://127.0.0.1:3389"]\n base = "ou=tenants,dc=example"\n'  # the keys without defaults
)


def load(folder: Path, text: str, node: config.Config = NODE) -> Features:
    path = folder / "features.hcl"
    path.write_text(text)
    return Features.load(path, node)


def test_the_shipped_file_is_valid() -> None:
    features = Features.load(EXAMPLE.parent.parent / "deploy" / "tenants.hcl", NODE)
    assert features.tenants is not None and features.summary_lines()[0].startswith("tenants from ldap://")


def test_defaults_and_units(tmp_path: Path) -> None:
    tenants = load(tmp_path, f'tenants {{\n {REQUIRED} operation = "1.5s"\n poll = "2m"\n }}').tenants
    assert tenants is not None and (tenants.operation_timeout_ms, tenants.poll_interval_ms) == (
        1500.0,
        120_000.0,
    )
    assert tenants.connection.bind is None and tenants.query.page_size == 500
    assert load(tmp_path, "").tenants is None


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("tenants {\n x = \n}", ["line 2", "not HCL"]),
        ("tenant {\n}", ["key 'tenant'", "no such key"]),
        ("tenants {\n}", ["block 'tenants'", "key 'servers'", "missing"]),
        (f"tenants {{\n {REQUIRED} page_sice = 5\n }}", ["key 'page_sice'", "no such key"]),
        (f"tenants {{\n {REQUIRED} page_size = 5\n }}", ["key 'page_size'", "at least 10"]),
        (f"tenants {{\n {REQUIRED} page_size = 50.5\n }}", ["key 'page_size'", "whole number"]),
        (f'tenants {{\n {REQUIRED} page_size = "50"\n }}', ["key 'page_size'", "number"]),
        (f'tenants {{\n {REQUIRED} start_tls = "yes"\n }}', ["key 'start_tls'", "true or false"]),
        (f"tenants {{\n {REQUIRED} poll = 30\n }}", ["key 'poll'", "string"]),
        (f'tenants {{\n {REQUIRED} poll = "30"\n }}', ["key 'poll'", "must be a duration like"]),
        (f"tenants {{\n {REQUIRED} poll = var.period\n }}", ["key 'poll'", "expressions are not supported"]),
        (f'tenants {{\n {REQUIRED} filter = "(a=b"\n }}', ["key 'filter'", "character"]),
        (f'tenants {{\n {REQUIRED} mode = "push"\n }}', ["key 'mode'", "persist, refresh, paged"]),
        (
            f'tenants {{\n {REQUIRED} trust_numbers_from = ["10.0.0.0/99"]\n }}',
            ["trust_numbers_from", "/99"],
        ),
        (
            f"tenants {{\n {REQUIRED} removal {{\n share = 2\n }}\n }}",
            ["block 'tenants.removal'", "key 'share'"],
        ),
        (
            f"tenants {{\n {REQUIRED} removal {{\n }}\n removal {{\n }}\n }}",
            ["key 'removal'", "2 times"],
        ),
        (f"tenants {{\n {REQUIRED} removal = 3\n }}", ["key 'removal'", "must be a block"]),
        ('tenants {\n servers = ["ldap://ldap.example"]\n base = "dc=x"\n }', ["servers", "numeric"]),
        ('tenants {\n servers = ["ldap://127.0.0.1"]\n base = "dc"\n }', ["key 'base'", "character"]),
        (
            f'tenants {{\n {REQUIRED} bind {{\n dn = "cn=a"\n }}\n }}',
            ["block 'tenants.bind'", "password_file"],
        ),
        (
            f'tenants {{\n {REQUIRED} bind {{\n dn = "cn=a"\n password_env = "NO_SUCH_VARIABLE"\n }}\n }}',
            ["password_env", "no password"],
        ),
        (
            f'tenants {{\n {REQUIRED} bind {{\n method = "external"\n }}\n }}',
            ["key 'method'", "cert_file"],
        ),
        (
            f'tenants {{\n {REQUIRED} tls {{\n ca_file = "/none"\n }}\n }}',
            ["key 'ca_file'", "no server"],
        ),
        (
            f'tenants {{\n {REQUIRED} start_tls = true\n tls {{\n ca_file = "/none"\n }}\n }}',
            ["ca_file", "/none"],
        ),
        (
            f'tenants {{\n {REQUIRED} snapshot {{\n file = "/none/at/all"\n }}\n }}',
            ["key 'file'", "/none/at is not a folder"],
        ),
    ],
)
def test_each_error_names_file_block_and_key(tmp_path: Path, text: str, words: list[str]) -> None:
    with pytest.raises(ConfigError) as caught:
        load(tmp_path, text)
    line = str(caught.value)
    assert line.startswith(str(tmp_path / "features.hcl")) and "\n" not in line
    assert all(word in line for word in words), line


def test_error_about_a_key_has_file_block_and_key_as_attributes(tmp_path: Path) -> None:
    with pytest.raises(BlockKeyError) as caught:
        load(tmp_path, f"tenants {{\n {REQUIRED} removal {{\n share = 2\n }}\n }}")
    error = caught.value
    assert error.path == str(tmp_path / "features.hcl")
    assert (error.block, error.key) == ("tenants.removal", "share")
    assert str(error) == f"{error.path}: block 'tenants.removal': key 'share': {error.reason}"


def test_a_password_in_clear_text_has_to_be_allowed(tmp_path: Path) -> None:
    secret = tmp_path / "password"
    secret.write_text("pw\n")
    bind = f'bind {{\n dn = "cn=a"\n password_file = "{secret}"\n }}\n'
    remote = 'servers = ["ldap://10.0.0.1"]\n base = "dc=x"\n'
    with pytest.raises(ConfigError, match="clear text"):
        load(tmp_path, f"tenants {{\n {remote} {bind} }}")
    for body in (
        f"{remote} start_tls = true\n {bind}",
        remote.replace("ldap:", "ldaps:") + bind,
        REQUIRED + bind,
        remote + bind.replace("}", "allow_clear_text = true\n }"),
    ):
        tenants = load(tmp_path, f"tenants {{\n {body} }}").tenants
        assert tenants is not None and tenants.connection.bind == SimpleBindRequest("cn=a", Secret("pw"))


def test_quotas_of_the_platform_and_of_a_directory_do_not_mix_unless_allowed(tmp_path: Path) -> None:
    fields = json.loads(EXAMPLE.read_bytes())
    fields["settings"]["projects"] = [{"name": "x", "quota_per_s": 3.0}]
    node = config.parse(fields)
    with pytest.raises(ConfigError, match="replace_settings"):
        load(tmp_path, f"tenants {{\n {REQUIRED} }}", node)
    assert load(tmp_path, f"tenants {{\n {REQUIRED} replace_settings = true\n }}", node).tenants is not None


def test_equal_blocks_make_equal_settings() -> None:
    assert settings(["ldap://127.0.0.1:1"]) == settings(["ldap://127.0.0.1:1"])
    assert settings(["ldap://127.0.0.1:1"]) != settings(["ldap://127.0.0.1:2"])


def test_changes_that_need_a_new_start_are_listed(tmp_path: Path) -> None:
    tenants = f"tenants {{\n {REQUIRED} }}\n"
    records = f'records {{\n folder = "{tmp_path}"\n }}\n'
    both = load(tmp_path, tenants + records)
    assert load(tmp_path, tenants + records).changes_needing_restart(both) == []
    assert load(tmp_path, tenants.replace("3389", "3390") + records).changes_needing_restart(both) == []
    assert load(tmp_path, records).changes_needing_restart(both) == ["tenants"]
    assert load(tmp_path, tenants).changes_needing_restart(both) == ["records"]
