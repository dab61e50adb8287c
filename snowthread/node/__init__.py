"""A formula node: composes its parts, and runs them from the start of the process to its exit.

:class:`Node` connects the network clients and servers with the reducer: what they read becomes an event, the
reducer returns effects for each event, and a table (:mod:`snowthread.node.effect_handlers`) maps each type of
effect to the function that carries it out. The other modules:

- :mod:`~snowthread.node.descriptors`: how many file descriptors each part may use.
- :mod:`~snowthread.node.optional_features`: features that an operator's file enables, imported only then.
- :mod:`~snowthread.node.hot_restart_effects`: effects between the two processes of a hot restart.
- :mod:`~snowthread.node.operator_calls`: the routes of the administration interface.
- :mod:`~snowthread.node.reconfiguration`: applies a new configuration while the node serves.
- :mod:`~snowthread.node.signals`: signals, received on the event loop.
- :mod:`~snowthread.node.shutdown`: graceful shutdown, from the signal to the exit.
"""

from snowthread.node.node import Node
from snowthread.node.signals import BLOCKED_SIGNALS

__all__ = ["BLOCKED_SIGNALS", "Node"]
