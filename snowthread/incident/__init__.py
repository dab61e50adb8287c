"""What happened, told from records alone: in the right order as far as the clocks allow, nothing invented.

``clocks`` finds how far nodes' clocks are apart from what their records share. ``series`` lays per-second
figures on one time line. ``episodes`` finds stretches that are unlike the rest and events that belong
together. ``story`` makes sentences of them, each with the records it rests on, and links causes to effects
only where order and evidence allow. All of these are free of I/O. ``report`` makes one HTML file and a JSON
of it.
"""
