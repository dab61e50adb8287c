"""The fleet lab: several processes of the program, stand-ins beside them, faults between them.

``faults`` is pure: what a link does to the bytes that cross it at a time (delay, jitter, bandwidth,
partition, cut). ``plan`` is pure: a scenario (HCL) to a sorted, printable list of timed steps drawn from its
seed. ``relay`` forwards TCP on the project's loop through a link's faults. ``runner`` starts the processes,
plays the plan and the load, and sums up. The lab drives; it never decides: what a node does is its own.
"""
