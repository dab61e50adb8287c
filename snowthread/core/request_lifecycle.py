"""The life cycle of a request: its phases, its final response, and its removal from the node.

The table shows the phases of a request (:class:`~snowthread.core.state.RequestPhase`) and the events and
actions that change them. The actions are those of the admission controller. *Finished* means that the request
was removed from the state. A RUNNING request has a :class:`~snowthread.core.run.Run` with its own states.

=================  =========================================  ===================================
phase              event or action                            next
=================  =========================================  ===================================
(none)             ``RequestReceived``                        QUEUED, or answered at once
QUEUED             action ``StartRun``                        RUNNING
QUEUED             action ``AwaitOriginal``                   AWAITING_ORIGINAL, or finished if the
                                                              original has already ended
QUEUED             action ``Reject``, ``Fail``;               finished
                   ``RequestCancelled``
RUNNING            action ``Reject``, ``Fail``;               RUNNING until its run ends; no further
                   ``RequestCancelled``                       response is owed
RUNNING            action ``StopRun``                         RUNNING until the runtime confirms
RUNNING            ``RunCompleted``: cancelled, and a         QUEUED; the action ``Fail`` follows at
                   response is owed                           once unless the class is idempotent
RUNNING            ``RunCompleted``: any other outcome        finished
RUNNING            action ``ForgetLostRun``: the run is       finished
                   presumed lost
AWAITING_ORIGINAL  the run of the original ends               finished with the original's result
AWAITING_ORIGINAL  action ``Reject``, ``Fail``;               finished
                   ``RequestCancelled``
=================  =========================================  ===================================
"""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Outcome
from snowthread.core import effects
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.state import Request, RequestPhase
from snowthread.core.transition import Transition


def answer_request(
    transition: Transition, request: Request, response: effects.Served | effects.Rejected | effects.Failed
) -> None:
    """Send the final response to a request, at most once.

    Nothing is sent if the request was already answered or cancelled: a result that arrives late must not
    become a second response.
    """
    if request.response_address is not None:
        transition.respond(request.response_address, response)
        transition.state.requests_by_response_address.pop(request.response_address, None)
        request.response_address = None


def finish_request(transition: Transition, request: Request, result: bytes | None) -> None:
    """Remove a request from the node and answer its followers with the result; None means that it failed."""
    state = transition.state
    if state.requests.pop(request.request_id, None) is None:
        return
    if state.requests_by_attempt_id.get(request.attempt_id) is request:
        del state.requests_by_attempt_id[request.attempt_id]
    cancel_call(transition, request)
    if request.original_id is not None:
        original = state.requests.get(request.original_id) or state.idempotency_table.find_by_request_id(
            request.original_id
        )
        if original is not None and request.request_id in original.followers:
            original.followers.remove(request.request_id)
    complete_followers(transition, request, result)


def complete_followers(
    transition: Transition, original: Request | IdempotencyRecord, result: bytes | None
) -> None:
    """Finish all retries that wait for the original with its result; None means that the original failed."""
    followers = original.followers
    original.followers = []
    for request_id in followers:
        follower = transition.state.requests.get(request_id)
        if follower is not None:
            finish_follower(transition, follower, result)


def finish_follower(transition: Transition, follower: Request, result: bytes | None) -> None:
    """Answer a retry with the result of its original and finish it; None means that the original failed."""
    response = effects.Failed(follower.attempt_id) if result is None else effects.Served(result)
    answer_request(transition, follower, response)
    finish_request(transition, follower, None)
    transition.dispatch(
        admission_events.RunFinished(
            follower.request_id,
            Outcome.FAILURE if result is None else Outcome.SUCCESS,
            transition.state.admission_clock.duration_s(transition.now_ms - follower.read_at_ms),
        )
    )


def cancel_call(transition: Transition, request: Request) -> None:
    """Cancel the downstream call of the request's run, if one is in flight."""
    run = request.run
    if run is not None and run.call_in_flight:
        run.call_in_flight = False
        transition.emit(effects.CancelCall(request.attempt_id))


def finish_unless_running(transition: Transition, request: Request) -> None:
    """Finish a request that was answered or cancelled; one that is running stays until its run ends."""
    if request.phase is not RequestPhase.RUNNING:
        finish_request(transition, request, None)
