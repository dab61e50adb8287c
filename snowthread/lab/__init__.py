"""The fleet lab: several processes of the program, emulated surroundings, and faults between them.

Pure parts: ``scenario`` is the model of a scenario, ``scenario_file`` reads one from HCL and draws its timed
steps, ``deployment`` turns it into configurations; ``faults`` says what a link does to the bytes that cross
it; ``summary`` sums up a run, with ``service_recovery`` and ``record_summary``, and ``report`` renders it.

Parts that act: ``address_reservation`` gives each program its addresses, ``processes`` starts and stops nodes
and emulators (both also for the demo), ``cores`` distributes the processor cores and ``process_usage`` reads
what processes have used, ``relay`` with ``relay_direction`` and ``datagram_relay`` forward traffic through
the faults of a link, ``fleet`` joins these for one scenario, ``timeline`` carries out its steps, and
``runner`` runs it from start to summary.

``demo_fleet``, ``demo_timeline`` and ``demo_display`` are the parts of ``snowthread demo``. They use the same
processes, but a load of their own, and one emulated site a node in place of shared services. In this program
only ``demo_fleet`` imports the repository's emulators; the command checks first that they are there.
"""
