"""Durable storage of the control plane: an append-only change log and its state in one SQLite file."""
