"""The state machine of a node: it turns events into effects and uses neither sockets nor a clock.

``reducer`` dispatches each event (``events``) to the handler of its concern. Handlers change the ``state``
through a ``transition``, which collects the ``effects`` for the node to carry out. The package
:mod:`snowthread.admission` decides what is admitted, started, stopped or retried.

- Requests: ``arrivals`` checks the class, the attempt and the idempotency key of a request,
  ``action_handlers`` carries out the decisions of the admission controller, ``request_lifecycle`` documents
  the phases and sends the response.
- Runs at the runtime: ``run`` documents the states of a run, ``run_commands`` sends commands,
  ``downstream_calls`` makes calls for runs, ``run_completion`` ends a run, ``run_log``
  logs unusual ends and the release of keys.
- The link to the runtime: ``command_log`` tracks which commands were read, ``runtime_resync`` decides which
  runs continue after a broken link, ``resync_log`` logs that, ``load_samples`` passes on load measurements.
- Idempotency keys: ``idempotency`` records which attempt owns a key, and the result of its run;
  ``key_release`` frees the key of an attempt that never ran.
- Hot restart: ``peer_process``, ``key_claims``, ``key_replication``.
- Settings and operator calls: ``effective_settings``, ``settings_changes``, ``shutdown``.

Each start of a node is an *incarnation*. An *earlier incarnation* is a process of the node that ran before
this one and left stored state, or runs that may still be in progress at the runtime. During a hot restart two
processes run side by side: the *predecessor*, which is to be replaced, and its *successor*. Each is the *peer
process* of the other.
"""
