"""The simulator's host: the same decisions under simulated time, spoken to in lines on standard streams."""
