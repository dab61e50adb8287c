"""Tracks which commands the runtime has read: commands are numbered, and echoes confirm them.

The runtime handles the commands of a link in order. The echo of a load sample request therefore proves that
the runtime read every command sent before that request on the same link. Once the link is lost, nothing is
known of the commands sent after the request, however long ago that was: they may be left in a socket buffer
that is never read.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from snowthread.core.effects import Command

NO_LINK = 0  # the link number before the first link, and of a run whose start was not sent on any link
FIRST_LINK = 1
OUTSTANDING_SAMPLES_MAX = 64  # tracked load sample requests without an echo; beyond it the oldest are dropped


class SentCommand(NamedTuple):
    """A command that was sent to the runtime."""

    command: Command
    link_number: int  # number of the link on which the command was sent
    number: int  # sequence number of the command over all links, starting at 1


@dataclass(slots=True)
class CommandLog:
    """Numbers the commands that were sent, and records which commands of the current link were read."""

    link_number: int = NO_LINK  # number of the current or last link, which is the count of links so far
    sent_count: int = 0  # commands sent so far, over all links
    last_read_number: int = 0  # number of the last command that the runtime is known to have read
    # Commands sent before each load sample request of the current link, by the tag of the request.
    _sent_before_sample: dict[str, int] = field(default_factory=dict)

    def begin_link(self) -> None:
        """Start a new link, on which nothing was sent yet."""
        self.link_number += 1
        self._sent_before_sample.clear()

    def add(self, command: Command) -> SentCommand:
        """Assign the next number to a command that is sent on the current link, and return both."""
        self.sent_count += 1
        return SentCommand(command, self.link_number, self.sent_count)

    def record_sample_requested(self, tag: str) -> None:
        """Record which commands were sent before a load sample request with this tag."""
        if len(self._sent_before_sample) >= OUTSTANDING_SAMPLES_MAX:
            del self._sent_before_sample[next(iter(self._sent_before_sample))]
        self._sent_before_sample[tag] = self.sent_count

    def record_sample_received(self, tag: str) -> None:
        """Record that the runtime read all commands sent before the load sample request with this tag."""
        self.last_read_number = max(self.last_read_number, self._sent_before_sample.pop(tag, 0))

    def was_read(self, command: SentCommand) -> bool:
        """Return whether a command was sent on the current link and is known to have been read."""
        return command.link_number == self.link_number and command.number <= self.last_read_number
