"""Settings that a controller can't work with."""

from __future__ import annotations

import pytest
from support.admission_controller import started_controller


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("cores", 0),
        ("classes", ()),
        ("given_up_call_s", -1.0),
        ("memory_kb", 0.0),
        ("idle_timeout_s", -1.0),
        ("load_report_ttl_s", float("nan")),
        ("memory_kb", float("nan")),
    ],
)
def test_settings_that_cannot_work_are_an_error(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        started_controller(**{field: value})
