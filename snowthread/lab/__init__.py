"""The fleet lab: runs several nodes with emulated services around them and injects faults between them.

Pure modules:

- ``scenario`` is the model of a scenario; ``scenario_file`` reads one from HCL and draws its timed steps.
- ``deployment`` turns a scenario into the configurations of nodes and emulators.
- ``faults`` computes how the faults of a link delay the bytes that cross it.
- ``summary``, with ``service_recovery`` and ``record_summary``, summarizes a run; ``report`` renders it.

Modules with side effects:

- ``address_reservation`` assigns addresses to the programs of a run, and ``processes`` starts and stops nodes
  and emulators. The demo uses both too.
- ``cores`` assigns processor cores, and ``process_usage`` reads the resources that processes have used.
- ``relay``, with ``relay_direction``, and ``datagram_relay`` forward traffic through the faults of a link.
- ``fleet`` combines these for one scenario, ``timeline`` executes the scenario's steps, and ``runner`` runs
  it from start to summary.

``demo_fleet``, ``demo_timeline`` and ``demo_display`` belong to ``snowthread demo``. The demo uses the same
kind of processes, but generates its own load, and has one emulated site per node instead of shared services.
``demo_fleet`` is the only module of the package that imports the repository's emulators; the command checks
first that they are present.
"""
