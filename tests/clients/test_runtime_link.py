"""One link to the runtime: how it splits lines, and when it is checked with a keepalive or closed."""

from __future__ import annotations

import math

import pytest

from snowthread.clients.runtime_link import (
    KEEPALIVE_AFTER_SILENCE_MS,
    KEEPALIVE_TIMEOUT_MS,
    MAX_LINE_BYTES,
    MIGRATION_TIMEOUT_MS,
    RuntimeLink,
)

NOW_MS = 1764576000000.0


@pytest.fixture
def link() -> RuntimeLink:
    return RuntimeLink(NOW_MS)


def test_lines_are_split_in_chunks_of_any_size(link: RuntimeLink) -> None:
    assert link.receive(b"one\ntw", NOW_MS) == [b"one"]
    assert link.receive(b"o\n\n", NOW_MS) == [b"two", b""]
    assert link.receive(b"x" * MAX_LINE_BYTES, NOW_MS) == []
    assert link.receive(b"x", NOW_MS) is None


def test_link_of_a_runtime_that_never_started_is_not_checked(link: RuntimeLink) -> None:
    assert link.update_deadline(NOW_MS, is_migrating=False, was_ready=False) == math.inf


def test_silent_link_is_sent_a_keepalive_and_then_given_up(link: RuntimeLink) -> None:
    due_ms = link.update_deadline(NOW_MS, is_migrating=False, was_ready=True)
    assert due_ms == NOW_MS + KEEPALIVE_AFTER_SILENCE_MS
    assert link.overdue_reason(due_ms) is None
    link.keepalive_sent_at_ms = due_ms
    assert link.update_deadline(due_ms, is_migrating=False, was_ready=True) == due_ms + KEEPALIVE_TIMEOUT_MS
    assert link.overdue_reason(due_ms + KEEPALIVE_TIMEOUT_MS) == "no data after a keepalive request"
    link.receive(b"\n", due_ms + 1.0)
    due_again_ms = link.update_deadline(due_ms + 1.0, is_migrating=False, was_ready=True)
    assert due_again_ms == due_ms + 1.0 + KEEPALIVE_AFTER_SILENCE_MS


@pytest.mark.parametrize("was_ready", [True, False])
def test_migration_ends_the_link_whatever_is_read_meanwhile(link: RuntimeLink, was_ready: bool) -> None:
    due_ms = link.update_deadline(NOW_MS, is_migrating=True, was_ready=was_ready)
    assert due_ms == NOW_MS + MIGRATION_TIMEOUT_MS
    link.receive(b"\n", NOW_MS + 100.0)
    assert link.update_deadline(NOW_MS + 100.0, is_migrating=True, was_ready=was_ready) == due_ms
    assert link.overdue_reason(due_ms) is not None
