"""Reconstruct incidents from records alone: in order as far as the clocks allow, and nothing invented.

``clocks`` finds how far nodes' clocks are apart from what their records share; ``clock_fit`` is the fit.
``series`` puts figures per second on one time line. ``episodes`` defines what can be found in it:
``figure_episodes`` finds seconds that are unlike the rest, ``event_episodes`` events that belong together.
``timeline`` turns episodes into sentences, each with the records that support it, and links causes to effects
only where order and evidence allow. All of these are free of I/O. ``report`` makes one HTML file, with the
``charts``, and a JSON file of the same.
"""
