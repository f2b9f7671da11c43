"""Leases that routers get with each response of the feed (see `tenancy/lease.py`)."""

from __future__ import annotations

import time

from ..tenancy.lease import LeaseTable


class RouterLeases:
    """Grants leases once they are enabled, and remembers those granted."""

    def __init__(self) -> None:
        self.duration = 0.0  # seconds; 0: no leases are granted and no extension is enabled
        self._leases = LeaseTable(time.monotonic(), 0.0)

    def enable(self, duration: float) -> None:
        """Grant leases of `duration` seconds from now on; called before the first router is answered."""
        self.duration = duration
        self._leases = LeaseTable(time.monotonic(), duration)

    def grant(self, router: str, run: str, revision: int) -> float:
        """Grant a lease to a router that follows `revision`.

        Returns its duration in seconds from now, 0 if no lease is granted.
        """
        return self._leases.grant(router, run, revision, self.duration, time.monotonic())
