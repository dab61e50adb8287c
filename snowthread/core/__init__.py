"""The state machine of a node: events in, effects out, with no sockets and no clock.

``reducer`` dispatches each event (``events``) to the handler of its concern; handlers change the ``state``
through a ``transition`` that collects what the outside has to do (``effects``). What is admitted, started,
stopped or retried is decided by :mod:`snowthread.admission`.

- A request: ``arrivals`` checks it and its key, ``action_handlers`` carries out what the controller decides,
  ``request_lifecycle`` has the table of its phases and answers it.
- Its run at the runtime: ``run`` has the table of its states, ``run_commands`` sends its commands,
  ``downstream_calls`` makes the calls that it waits for, ``run_completion`` ends it.
- The link to the runtime: ``command_log`` knows which commands were read, ``runtime_resync`` says which runs
  go on after a broken link, ``resync_log`` logs it, ``load_samples`` passes on what the runtime measures.
- Idempotency keys: ``idempotency`` records who owns a key and with which result.
- A hot restart: ``peer_process``, ``key_claims``, ``key_replication``.
- Settings and operators: ``effective_settings``, ``settings_changes``, ``shutdown``.
"""
