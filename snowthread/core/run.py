"""The state machine of one run: which of its commands the runtime has read, as far as the node knows.

The table shows the states of a run (:class:`RunState`) and the events that change them. A run is created when
the admission controller starts it. It is removed in any state, when it ends or is presumed lost.
*Resynchronisation* follows a broken link, once all missed notices were read
(:mod:`snowthread.core.runtime_resync`).

===================  ======================================================  ===================
state                event                                                   next
===================  ======================================================  ===================
(none)               action ``StartRun``                                     START_QUEUED
START_QUEUED         the start is sent, at once if there is a link           START_SENT
START_SENT           link lost before any byte of the start was written      START_QUEUED
START_SENT           link lost, and the start is known to have been read     STARTED
START_SENT           ``CallRequested``                                       STARTED
START_SENT           resynchronisation: the start may be lost, and the       START_SENT, sent again
                     class is idempotent
START_SENT           resynchronisation: the start may be lost, and the       START_INDETERMINATE
                     class is not idempotent
START_SENT           resynchronisation: the start may be lost, and no        START_SENT, stop sent
                     response is owed                                        if runs can be stopped
STARTED              resynchronisation: the reply to its call may be lost    REPLY_INDETERMINATE
STARTED              resynchronisation: any other case                       STARTED
START_INDETERMINATE  ``CallRequested``                                       STARTED
REPLY_INDETERMINATE  ``CallRequested``                                       STARTED
===================  ======================================================  ===================

``stop_requested`` is a flag and not a state: until the runtime reports the end of the run, the state of its
start still decides how a broken link is handled. A run whose start is still queued ends at once when it is
stopped.

A *notice* is a message of the runtime to the node. The end of a run and the request of a downstream call are
numbered notices, which the runtime repeats on the next link if the node missed them.

The action ``SkipCall`` does not change the state either: a REPLY_INDETERMINATE run remains so until its next
``CallRequested``. :mod:`snowthread.core.runtime_resync` lists the limitations that result.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from snowthread.core.command_log import NO_LINK, SentCommand
from snowthread.core.effects import StartRun, StopRun


class RunState(Enum):
    """How far a run is known to have come; :mod:`snowthread.core.run` documents the transitions."""

    START_QUEUED = 0  # the start command waits for a link to the runtime
    START_SENT = 1  # the start command was sent; nothing confirms yet that the runtime read it
    STARTED = 2  # the runtime has read the start command
    START_INDETERMINATE = 3  # the start may have been lost with a link, and no notice has arrived since
    REPLY_INDETERMINATE = 4  # the last reply may have been lost with a link, and no notice has arrived since


@dataclass(slots=True, eq=False)
class Run:
    """One run of a request at the runtime, with its last commands and the downstream call it waits for."""

    state: RunState = RunState.START_QUEUED
    link_number: int = NO_LINK  # the link on which the run was last started or resynchronised
    last_command: SentCommand | None = None  # the last start, reply or skip that was sent, but not a stop
    last_command_may_be_lost: bool = False  # whether the last command is unconfirmed and its link was lost
    stop_command: SentCommand | None = None  # the last stop command that was sent
    stop_requested: bool = False  # whether a stop command was sent or is queued until a link is ready
    pending_call_notice_number: int | None = None  # of the notice that requested the current downstream call
    replied_call_notice_number: int = 0  # of the notice that requested the last downstream call with a reply
    call_body: bytes = b""  # the request body of the current downstream call
    call_in_flight: bool = False  # whether the current downstream call was sent to the database

    @property
    def is_indeterminate(self) -> bool:
        """Whether the last command may have been lost with a link and no notice has arrived since."""
        return self.state is RunState.START_INDETERMINATE or self.state is RunState.REPLY_INDETERMINATE

    @property
    def is_start_confirmed(self) -> bool:
        """Whether the runtime is known to have read the start command."""
        return self.state is RunState.STARTED or self.state is RunState.REPLY_INDETERMINATE

    def record_command_sent(self, sent: SentCommand) -> None:
        """Record a command that was sent for this run."""
        if isinstance(sent.command, StopRun):
            self.stop_command = sent
            return
        self.last_command = sent
        self.last_command_may_be_lost = False
        if isinstance(sent.command, StartRun):
            self.state = RunState.START_SENT
            self.link_number = sent.link_number

    def requeue_start(self) -> None:
        """Record that no byte of the start was written before the link was lost; the next link sends it."""
        self.state = RunState.START_QUEUED
        self.link_number = NO_LINK

    def record_link_lost(self, last_command_read: bool) -> None:
        """Record that the link of the last command was lost.

        Commands are read in order, so a later command that was read proves that the start was read too.

        Args:
            last_command_read: whether the runtime is known to have read the last command.
        """
        self.last_command_may_be_lost = not last_command_read
        if last_command_read and self.state is RunState.START_SENT:
            self.state = RunState.STARTED

    def record_call_requested(self, notice_number: int, body: bytes, link_number: int) -> None:
        """Record the downstream call that the run waits for.

        The notice proves that the run was active on the link on which it arrived.

        Args:
            notice_number: number of the notice that requested the call.
            body: request body of the call.
            link_number: number of the link on which the notice arrived.
        """
        if self.is_indeterminate:
            self.link_number = link_number
        if self.state is not RunState.START_QUEUED:
            self.state = RunState.STARTED
        self.pending_call_notice_number = notice_number
        self.call_body = body

    def record_reply(self) -> None:
        """Record that the current downstream call succeeded and that its reply is about to be delivered."""
        self.replied_call_notice_number = self.pending_call_notice_number or 0
        self.pending_call_notice_number = None

    def is_on_earlier_link(self, link_number: int) -> bool:
        """Return whether the run has yet to be resynchronised on the current link, ``link_number``."""
        return NO_LINK < self.link_number < link_number

    def mark_indeterminate(self) -> None:
        """Record that the last command may be lost and must not be sent again."""
        if self.state is RunState.START_SENT:
            self.state = RunState.START_INDETERMINATE
        else:
            self.state = RunState.REPLY_INDETERMINATE
