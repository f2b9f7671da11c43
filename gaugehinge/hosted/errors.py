"""What can go wrong between a router and its control plane."""

from __future__ import annotations


class FeedError(ValueError):
    """The control plane, or a snapshot, said what makes no sense. It counts as a call that failed."""


class SecretFileError(ValueError):
    """The file with the router's secret cannot be used."""


class ControlPlaneError(Exception):
    """The control plane did not answer, or refused to."""
