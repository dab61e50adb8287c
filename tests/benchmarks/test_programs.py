"""Benchmark programs start on their reserved addresses, and their CPU time and memory can be read."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from benchmarks.programs import ProgramStartError, run_program, write_configuration
from benchmarks.traffic_figures import was_served
from emulators.load_generator import LoadGenerator
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation
from snowthread.lab.process_usage import child_pids, cpu_seconds, private_memory_mb, resident_memory_mb

SOURCE = "127.0.0.2"
TIMEOUT_MS = 10_000.0
LOOP_STEP_S = 0.01


def test_configured_node_serves_a_request_and_its_usage_is_read(tmp_path: Path) -> None:
    with AddressReservation(ANY_HOST) as addresses:
        path = write_configuration(tmp_path, addresses, cores=2)
        listen = json.loads(path.read_text())["listen"]
        with (
            run_program("-m", "emulators.site", str(path), "2", "1.0", ready="ready"),
            run_program(
                "-m", "snowthread", ready="listens on", stream="stderr", NODE_CONFIG=str(path)
            ) as node,
        ):
            load_generator = LoadGenerator(listen, [SOURCE])
            request = load_generator.send(SOURCE)
            while not request.answers and load_generator.loop.clock.now() < request.sent_ms + TIMEOUT_MS:
                load_generator.loop.run_once(LOOP_STEP_S)
            load_generator.close()
            assert was_served(request)
            assert cpu_seconds(node.pid) > 0.0
            assert resident_memory_mb(node.pid) > private_memory_mb(node.pid) > 0.0
            assert child_pids(node.pid) == []


def test_program_that_ends_before_it_is_ready_raises_an_error_with_its_output() -> None:
    command = ("-c", "print('one'); print('two')")
    with pytest.raises(ProgramStartError) as raised, run_program(*command, ready="ready"):
        pass
    assert raised.value.command == command and raised.value.lines == ["one\n", "two\n"]


def test_reading_the_usage_of_a_missing_process_raises_an_error() -> None:
    for read in (cpu_seconds, child_pids, resident_memory_mb, private_memory_mb):
        with pytest.raises(OSError, match="No such file"):
            read(2**22 + 1)  # Above the largest process id of Linux, 2**22.
