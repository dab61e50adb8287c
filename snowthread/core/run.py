"""The run of a request at the runtime: what is known of its start, and of the command that it goes on with.

States of a run (:class:`RunState`) and what moves it on. A run begins when the admission controller starts
it, and is dropped when it ends or is presumed lost, in whichever state. *Resynchronisation* is the step after
a broken link when all missed notices were read (:mod:`snowthread.core.runtime_resync`).

===================  ======================================================  ===================
state                event                                                   next
===================  ======================================================  ===================
(none)               action ``StartRun``                                     START_QUEUED
START_QUEUED         the start is sent: at once where there is a link        START_SENT
START_SENT           the link broke, no byte of the start was written        START_QUEUED
START_SENT           the link broke, the start is known to have been read    STARTED
START_SENT           ``CallRequested``                                       STARTED
START_SENT           resynchronisation: the start may be lost, and the       START_SENT, sent again
                     class is idempotent
START_SENT           resynchronisation: the start may be lost, and the       START_INDETERMINATE
                     class is not idempotent
START_SENT           resynchronisation: the start may be lost, and no        START_SENT, stop sent
                     answer is owed                                          where runs can be stopped
STARTED              resynchronisation: the reply to its call may be lost    REPLY_INDETERMINATE
STARTED              resynchronisation: any other                            STARTED
START_INDETERMINATE  ``CallRequested``                                       STARTED
REPLY_INDETERMINATE  ``CallRequested``                                       STARTED
===================  ======================================================  ===================

``stop_requested`` is no state of its own: until the runtime reports the end of the run, what is known of the
start still decides what a broken link leaves open. A run whose start is queued ends at once instead.

The action ``SkipCall`` changes no state either: a run that is REPLY_INDETERMINATE stays so until its next
``CallRequested``. The limits that follow are in :mod:`snowthread.core.runtime_resync`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from snowthread.core.command_log import NO_LINK, SentCommand
from snowthread.core.effects import StartRun, StopRun


class RunState(Enum):
    """What is known of a run; the table is in :mod:`snowthread.core.run`."""

    START_QUEUED = 0  # the start waits for a link to the runtime
    START_SENT = 1  # nothing shows yet that the runtime read the start
    STARTED = 2  # the runtime read the start
    START_INDETERMINATE = 3  # the start may be lost with a link; no notice came since
    REPLY_INDETERMINATE = 4  # the reply to its last call may be lost with a link; no notice came since


@dataclass(slots=True, eq=False)
class Run:
    """One run of a request: its state, its last commands, and the downstream call that it waits for."""

    state: RunState = RunState.START_QUEUED
    link_number: int = NO_LINK  # the link to the runtime on which the run was sent or resynchronised last
    last_command: SentCommand | None = None  # the last command that lets the run go on: all but a stop
    last_command_may_be_lost: bool = False  # it may be: its link broke before it was known to have been read
    stop_command: SentCommand | None = None  # the last stop
    stop_requested: bool = False  # the run is to end: a stop was sent, or waits for a link
    pending_call_notice: int | None = None  # the number of the notice of the call that the run waits for
    answered_call_notice: int = 0  # the same, of the call replied to last
    call_body: bytes = b""  # of the call that the run waits for
    call_in_flight: bool = False  # that call was sent to the database

    @property
    def is_indeterminate(self) -> bool:
        """Whether its last command may be lost with a link, and no notice came since."""
        return self.state is RunState.START_INDETERMINATE or self.state is RunState.REPLY_INDETERMINATE

    @property
    def is_start_confirmed(self) -> bool:
        """Whether the runtime is known to have read the start."""
        return self.state is RunState.STARTED or self.state is RunState.REPLY_INDETERMINATE

    def record_command_sent(self, sent: SentCommand) -> None:
        """Note a command that was sent for this run."""
        if isinstance(sent.command, StopRun):
            self.stop_command = sent
            return
        self.last_command = sent
        self.last_command_may_be_lost = False
        if isinstance(sent.command, StartRun):
            self.state = RunState.START_SENT
            self.link_number = sent.link_number

    def requeue_start(self) -> None:
        """Note that the link broke before a byte of the start was written: it waits for the next link."""
        self.state = RunState.START_QUEUED
        self.link_number = NO_LINK

    def record_link_lost(self, last_command_read: bool) -> None:
        """Note that the link of the last command broke; ``last_command_read``: it is known to have been read.

        A command that was read proves that the start before it was.
        """
        self.last_command_may_be_lost = not last_command_read
        if last_command_read and self.state is RunState.START_SENT:
            self.state = RunState.STARTED

    def record_call_requested(self, notice_number: int, body: bytes, link_number: int) -> None:
        """Note a call that the run waits for; the notice, read on this link, shows that the run goes on."""
        if self.is_indeterminate:
            self.link_number = link_number
        if self.state is not RunState.START_QUEUED:
            self.state = RunState.STARTED
        self.pending_call_notice = notice_number
        self.call_body = body

    def record_call_answered(self) -> None:
        """Note that its call succeeded: the reply is about to be delivered."""
        self.answered_call_notice = self.pending_call_notice or 0
        self.pending_call_notice = None

    def is_on_earlier_link(self, link_number: int) -> bool:
        """Return whether the run has to be resynchronised on this link, the present one."""
        return NO_LINK < self.link_number < link_number

    def mark_indeterminate(self) -> None:
        """Note that the last command may be lost, and that it can't be sent again."""
        if self.state is RunState.START_SENT:
            self.state = RunState.START_INDETERMINATE
        else:
            self.state = RunState.REPLY_INDETERMINATE
