"""A fleet on the terminal, from its records: running, or recorded and played again.

``model`` keeps what is shown, free of I/O; ``screen`` draws it with rich; ``tail`` follows growing files.
"""
