"""The state machine of a node: events in, effects out, with no sockets and no clock.

``reducer`` dispatches each event to the handler of its concern, ``state`` is what the handlers change, and
``effects`` is what they ask the outside to do.
"""
