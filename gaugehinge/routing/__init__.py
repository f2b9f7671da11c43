"""Routing decisions: which server serves an operation, whether it is retried, and when it is rejected."""
