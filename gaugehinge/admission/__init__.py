"""Admission control: which operations and connections are admitted, in which order, and which are rejected.

Rejections come before the decision module is asked. `fairness`, `limiter`, `retry_after`, `costs`,
`connection_slots` and the other modules decide and do no I/O; `admission_control` carries out their
decisions, and `fair_reader` reads the connections.
"""
