"""A formula node: its parts wired together, from the start of the process to its exit.

:class:`Node` composes the network clients and servers with the reducer: what they read becomes an event, the
reducer answers each event with effects, and a table (:mod:`snowthread.node.effect_handlers`) says who carries
out which effect. Every other concern has a module of its own:

- :mod:`~snowthread.node.descriptors`: how many file descriptors each part may use.
- :mod:`~snowthread.node.optional_features`: what an operator's file can turn on, imported only then.
- :mod:`~snowthread.node.hot_restart_effects`: effects between two processes of one node.
- :mod:`~snowthread.node.operator_calls`: what the admin address answers.
- :mod:`~snowthread.node.reconfiguration`: taking up a new configuration while serving.
- :mod:`~snowthread.node.signals`: signals, received on the event loop.
- :mod:`~snowthread.node.shutdown`: graceful shutdown, from SIGTERM to the exit.
"""

from snowthread.node.node import Node
from snowthread.node.signals import BLOCKED_SIGNALS

__all__ = ["BLOCKED_SIGNALS", "Node"]
