"""Which commands the echo of a load sample request proves to have been read by the runtime."""

from __future__ import annotations

from snowthread.core.command_log import OUTSTANDING_SAMPLES_MAX, CommandLog
from snowthread.core.effects import StopRun

STOP = StopRun("a")


def test_echo_confirms_what_was_sent_before_its_request_and_nothing_later() -> None:
    log = CommandLog()
    log.begin_link()
    before = log.add(STOP)
    log.record_sample_requested("1")
    after = log.add(STOP)
    assert not log.was_read(before)
    log.record_sample_received("1")
    assert log.was_read(before) and not log.was_read(after)


def test_echo_of_a_request_on_an_earlier_link_confirms_nothing() -> None:
    log = CommandLog()
    log.begin_link()
    lost = log.add(STOP)
    log.record_sample_requested("1")
    log.begin_link()
    log.record_sample_received("1")
    sent = log.add(STOP)
    log.record_sample_requested("2")
    log.record_sample_received("2")
    assert log.was_read(sent) and not log.was_read(lost)


def test_unknown_and_repeated_echoes_confirm_nothing() -> None:
    log = CommandLog()
    log.begin_link()
    log.record_sample_requested("1")
    log.record_sample_received("1")
    command = log.add(STOP)
    for tag in ("1", "2", ""):
        log.record_sample_received(tag)
    assert not log.was_read(command)


def test_tracked_sample_requests_are_bounded_and_the_latest_is_kept() -> None:
    log = CommandLog()
    log.begin_link()
    for number in range(10 * OUTSTANDING_SAMPLES_MAX):
        log.record_sample_requested(str(number))
    command = log.add(STOP)
    log.record_sample_requested("last")
    assert len(log._sent_before_sample) == OUTSTANDING_SAMPLES_MAX
    log.record_sample_received("last")
    assert log.was_read(command)
