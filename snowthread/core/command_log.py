"""Which commands the runtime is known to have read: commands are numbered, and echoes confirm them.

The runtime carries out the commands of a link in order. The echo of a load sample request therefore proves
that every command sent before that request on the same link was read. Of later ones nothing is known once the
link breaks, however long ago they were sent: they may lie in a buffer that nobody reads any more.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from snowthread.core.effects import Command

NO_LINK = 0  # the link number before the first link, and of a run whose start was sent on none
FIRST_LINK = 1
OUTSTANDING_SAMPLES_MAX = 64  # load sample requests whose echo is awaited; the oldest are dropped


class SentCommand(NamedTuple):
    """A command as it was sent."""

    command: Command
    link_number: int  # of the link to the runtime on which it was sent
    number: int  # among all commands of this node, from 1


@dataclass(slots=True)
class CommandLog:
    """Numbers the commands sent, and records up to which of them the present link's were read."""

    link_number: int = NO_LINK  # of the present or the last link: the count of links so far
    sent_count: int = 0  # commands, on all links
    last_read_number: int = 0  # the number of the last command known to be read, on the present link
    _sent_before_sample: dict[str, int] = field(default_factory=dict)  # by tag, of the present link

    def begin_link(self) -> None:
        """Go on with a new link, on which nothing was sent yet."""
        self.link_number += 1
        self._sent_before_sample.clear()

    def add(self, command: Command) -> SentCommand:
        """Return a command as it is sent on the present link, with its number."""
        self.sent_count += 1
        return SentCommand(command, self.link_number, self.sent_count)

    def record_sample_requested(self, tag: str) -> None:
        """Note which commands were sent before a load sample was requested."""
        if len(self._sent_before_sample) >= OUTSTANDING_SAMPLES_MAX:
            del self._sent_before_sample[next(iter(self._sent_before_sample))]
        self._sent_before_sample[tag] = self.sent_count

    def record_sample_received(self, tag: str) -> None:
        """Take the echo of a load sample request as proof of what was read before it."""
        self.last_read_number = max(self.last_read_number, self._sent_before_sample.pop(tag, 0))

    def was_read(self, command: SentCommand) -> bool:
        """Return whether a command of the present link is known to have been read."""
        return command.link_number == self.link_number and command.number <= self.last_read_number
