"""Reasons for which a router rejects a feed of the control plane."""

from __future__ import annotations

from ..hosted.errors import FeedError


class PlacementMissingError(FeedError):
    """The feed has no placement section: the control plane has placement switched off."""

    def __init__(self) -> None:
        """Set the message that is logged."""
        super().__init__("placement: the control plane has it switched off")


class StaleAnswerError(FeedError):
    """The feed answers an older request than one whose feed was applied already."""

    def __init__(self) -> None:
        """Set the message that is logged."""
        super().__init__("placement: the feed answers an older request than one applied already")


class ForeignChangesError(FeedError):
    """The changes in the feed do not continue from this router's table."""

    def __init__(self) -> None:
        """Set the message that is logged."""
        super().__init__("placement: the changes are from another store or older than the table")
