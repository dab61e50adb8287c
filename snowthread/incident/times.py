"""Format times of the report: Unix milliseconds as UTC."""

from __future__ import annotations

from datetime import UTC, datetime


def format_clock(time_ms: float) -> str:
    """Return hours, minutes and seconds."""
    return datetime.fromtimestamp(time_ms / 1000.0, UTC).strftime("%H:%M:%S")


def format_date(time_ms: float) -> str:
    """Return year, month and day."""
    return datetime.fromtimestamp(time_ms / 1000.0, UTC).strftime("%Y-%m-%d")
