"""What a subsystem implements to take part in the control plane's feed at a router."""

from __future__ import annotations

from ..tenancy.feed import Feed


class FeedPart:
    """A subsystem's side of the feed: `placement`, `drains`, `recovery`. Each method has a default."""

    name: str  # as in Report.parts and Feed.parts

    def report(self) -> bytes | None:
        """JSON that goes with the next call; None: nothing to say."""
        return None

    def filter_feed(self, feed: Feed) -> Feed:
        """What of a feed is followed, before anything of it is. Raises BadFeed."""
        return feed

    def hear(self, feed: Feed, asked_at: float) -> None:
        """Follow the answer to the call that was sent at `asked_at` (seconds, `trio.current_time`).

        All of the feed is at hand, the part's own in `feed.parts`. Raises BadFeed, and then nothing has
        changed in it.
        """

    def away(self) -> None:
        """A call failed. Leases run out by the clock alone; this is for what wants to say so early."""

    def ready(self) -> bool:
        """Whether it has what it needs of the control plane to serve clients."""
        return True

    def state_to_keep(self) -> bytes | None:
        """JSON that goes into the router's snapshot; None: nothing is kept."""
        return None

    def restore(self, state: bytes) -> None:
        """Take what `state_to_keep` gave to the run before."""
