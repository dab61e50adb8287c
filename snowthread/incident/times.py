"""Format Unix times in milliseconds as UTC text for the report."""

from __future__ import annotations

from datetime import UTC, datetime


def format_time_of_day(time_ms: float) -> str:
    """Return the time of day as hours, minutes and seconds, such as 14:03:59."""
    return datetime.fromtimestamp(time_ms / 1000.0, UTC).strftime("%H:%M:%S")


def format_date(time_ms: float) -> str:
    """Return the date as year, month and day, such as 2026-01-31."""
    return datetime.fromtimestamp(time_ms / 1000.0, UTC).strftime("%Y-%m-%d")
