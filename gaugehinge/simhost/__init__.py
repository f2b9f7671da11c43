"""Runs the routing decisions in the simulator: simulated time, a line protocol on stdin and stdout."""
