"""What a subsystem provides to extend the control plane: `placement` and `drains` are such extensions."""

from __future__ import annotations

from typing import Protocol

from ..store.store import Store
from ..tenancy.feed import Report
from .route import Route


class Extension(Protocol):
    """A subsystem of the control plane.

    It keeps its state as items of kinds of its own in the store, and changes them by `ControlPlane.commit` or
    `AsyncStore.apply_planned` alone.
    """

    name: str  # of its sections in `Report.parts` and `Feed.parts`

    def on_report(self, report: Report, now: float) -> None:
        """Take a router's report, before the router's lease is renewed.

        Args:
            report: What the router sent.
            now: Seconds, by the monotonic clock of this process.

        Raises:
            ApiError: Its section of the report makes no sense; the router's call fails with that.
        """

    def feed_section(self, store: Store, report: Report) -> bytes | None:
        """The JSON of what a router is to know as of the store's revision; called on the store's thread."""

    def routes(self) -> list[Route]:
        """What it adds to the API."""

    async def run(self) -> None:
        """Do its work in the background, until cancelled."""
