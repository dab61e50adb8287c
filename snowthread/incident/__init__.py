"""Reconstruct incidents from the records of nodes.

The order of incidents is stated only as far as the accuracy of the clocks allows, and every statement is
supported by records.

Modules without I/O:

- ``clocks``: estimates the offsets between the clocks of nodes from request ages in their records;
  ``clock_fit`` is the least squares fit.
- ``series``: puts metrics per second and events of all nodes on one time line.
- ``episodes``: defines the kinds of episodes. ``metric_episodes`` finds intervals in which a metric deviates
  from its usual level, ``event_episodes`` finds events that belong together.
- ``timeline``: describes episodes in sentences, each with the records that support it, and names causes of an
  effect only where order and evidence allow it.
- ``charts`` and ``times``: draw charts and format times for the report.

``report`` reads the records and renders one HTML file and one JSON file with the same content; ``cli`` is the
command ``snowthread report``.
"""
