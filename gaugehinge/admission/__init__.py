"""The door: what is taken in hand, in which order, and what is turned away before the decision module is
asked.

`fairness`, `limiter`, `comeback`, `costs` and `places` decide and have no I/O; `door` carries their
answers out.
"""
