"""The interface by which a subsystem of a router takes part in the control plane's feed."""

from __future__ import annotations

from ..tenancy.feed import Feed


class FeedPart:
    """A subsystem's side of the feed: `placement`, `drains`, `recovery`. Each method has a default."""

    name: str  # as in Report.parts and Feed.parts

    def report(self) -> bytes | None:
        """Return JSON to send with the next call; None: nothing to report."""
        return None

    def filter_feed(self, feed: Feed) -> Feed:
        """Return the part of a feed to apply; called before any of it is applied. Raises FeedError."""
        return feed

    def hear(self, feed: Feed, asked_at: float) -> None:
        """Apply the feed that answered the call sent at `asked_at` (seconds, `trio.current_time`).

        The whole feed is passed; this subsystem's data is in `feed.parts`. Raises FeedError, in which case
        nothing has changed in this part.
        """

    def away(self) -> None:
        """Handle a failed call. Leases expire by the clock alone; this allows an early warning."""

    def ready(self) -> bool:
        """Whether this part has received what it needs from the control plane to serve clients."""
        return True

    def state_to_keep(self) -> bytes | None:
        """Return JSON for the router's snapshot; None: nothing is saved."""
        return None

    def restore(self, state: bytes) -> None:
        """Restore the state that `state_to_keep` returned in the previous run."""
