"""Admission control for one node: which requests run, wait or are rejected, and what callers are told.

A host sends events (``events``) to a :class:`Controller` and carries out the actions (``actions``) that it
returns; the controller has no access to sockets or clocks. The modules listed under ``policy`` in
``deploy/balancer.toml`` make the decisions, and ``docs/decisions.md`` lists each rule with its inputs and
constants:

- ``controller`` dispatches each event to its rule; ``arrivals`` applies the rules for an arriving request;
- ``admission_rule`` decides whether it is rejected, with ``blocking``, ``memory_limit`` and ``quotas``;
- ``start_rule`` starts queued requests within ``concurrency``; ``deadline_rule`` gives up late requests;
- ``settlement`` rejects, fails and removes requests, ``retry_rule`` builds rejections, and ``idempotency``
  remembers keys;
- ``run_results``, ``downstream_calls`` and ``lost_runs`` process the ends of runs and of calls;
- ``periodic_update`` updates ``estimators``, ``load_report``, ``idle_timeout`` and ``outlier_ejection``;
- ``graceful_shutdown`` answers all requests before the process ends, at the times set by ``shutdown_times``.

The other modules make no admission decisions. They hold the state (``controller_context``, ``state``) and
types (``settings``, ``events``, ``actions``, ``reasons``, ``request``, ``run_load``); accounting and
arithmetic (``open_requests``, ``call_table``, ``tenant_table``, ``class_times``, ``cores``, ``memory``,
``timer_queue``, ``statistics``, ``berger``); the recovery of a cold node (``recovery_pacer``, ``slow_start``,
``call_budget``, ``backoff``, ``learned_state``); and translation (``settings_parser``,
``simulator_adapter``).

Terms of the package:

- The *host* is the program around a controller: the process of a node, or the simulator. A *caller* sends
  requests to the node: a load balancer, or a server of another tier. A *node* is a member of the fleet: one
  controller with the machine that carries out its runs. The *machine* has the cores and the memory; one that
  has just started may be cold, which means slower than later.
- Limits on downstream calls: ``call_quota`` of the settings is the average number of calls in flight that
  this node may have at a shared dependency. From it ``DownstreamCalls`` derives a budget in call-seconds, of
  which each call reserves a part, and a limit on the number of calls in flight. ``CallBudget`` is another
  budget, in calls per second, which applies only while nodes of the fleet warm up.
- Clocks: ``now`` and names in ``_at`` are seconds of the controller's clock, which the host sets.
  ``slow_start``, ``call_budget`` and ``recovery_pacer`` use milliseconds of Unix time; ``backoff`` returns
  its delays in milliseconds.
"""

from snowthread.admission.controller import Controller

__all__ = ["Controller", "__version__"]
__version__ = "0.3.0"
