"""Admission control for one node: which requests run, wait or are rejected, and what callers are told.

A host sends events (``events``) to a :class:`Controller` and carries out the actions (``actions``) that it
returns; neither sees a socket or a clock. The modules under ``policy`` in ``deploy/balancer.toml`` decide:

- ``controller`` takes each event through the life of a request;
- ``blocking`` rejects a share of the arrivals, the same for all callers;
- ``wait_queue``, ``concurrency`` and ``downstream_calls`` order and limit runs and their calls;
- ``quotas`` weighs tenants, ``estimators`` learns;
- ``load_report``, ``idle_connections`` and ``health`` tell callers and health checks what follows.

Beside them are types (``settings``, ``events``, ``actions``, ``reasons``, ``request``, ``run_load``) and
accounting that decides nothing (``open_requests``, ``call_table``, ``tenant_table``, ``class_times``,
``cores``, ``memory``, ``timer_queue``, ``statistics``); the recovery of a cold node (``recovery_pacer``,
``slow_start``, ``call_budget``, ``backoff``, ``learned_state``); and translation (``settings_parser``,
``simulator_adapter``).
"""

from snowthread.admission.controller import Controller

__all__ = ["Controller", "__version__"]
__version__ = "0.3.0"
