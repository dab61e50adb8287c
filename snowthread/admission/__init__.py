"""Admission control for one node: which requests run, wait or are rejected, and what callers are notified of.

A host sends events (``events``) to a :class:`Controller` and carries out the actions (``actions``) that it
returns; neither sees a socket or a clock. The modules under ``policy`` in ``deploy/balancer.toml`` decide;
``docs/decisions.md`` lists each rule with its inputs and constants:

- ``controller`` hands each event to its rule, ``arrivals`` takes a newcomer through the rules for it;
- ``admission_rule`` says why a newcomer is rejected, with ``blocking``, ``memory_limit`` and ``quotas``;
- ``start_rule`` starts what is queued, within ``concurrency``; ``deadline_rule`` gives up what is late;
- ``settlement`` rejects, fails and removes, ``retry_rule`` writes rejections, ``idempotency`` remembers keys;
- ``run_results``, ``downstream_calls`` and ``lost_runs`` say what follows from the ends of runs and calls;
- ``periodic_update`` updates ``estimators``, ``load_report``, ``idle_connections`` and ``health``;
- ``graceful_shutdown`` answers all before the stop, by ``shutdown_times``.

Beside them are the state (``controller_context``, ``state``) and types (``settings``, ``events``,
``actions``, ``reasons``, ``request``, ``run_load``); accounting and arithmetic that decide nothing
(``open_requests``, ``call_table``, ``tenant_table``, ``class_times``, ``cores``, ``memory``,
``timer_queue``, ``statistics``, ``berger``); the recovery of a cold node (``recovery_pacer``, ``slow_start``,
``call_budget``, ``backoff``, ``learned_state``); and translation (``settings_parser``,
``simulator_adapter``).
"""

from snowthread.admission.controller import Controller

__all__ = ["Controller", "__version__"]
__version__ = "0.3.0"
