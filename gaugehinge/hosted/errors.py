"""Errors between a router and its control plane."""

from __future__ import annotations


class FeedError(ValueError):
    """A feed from the control plane or a snapshot is invalid. It counts as a failed call."""


class SecretFileError(ValueError):
    """The file with the router's secret cannot be used."""


class ControlPlaneError(Exception):
    """The control plane did not answer, or answered with an error status."""
