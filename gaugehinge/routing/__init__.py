"""Routing decisions: which server serves an operation, and whether to retry or to reject it."""
