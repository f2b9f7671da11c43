"""Why a router does not take over an answer of the control plane."""

from __future__ import annotations

from ..hosted.errors import FeedError


class PlacementMissingError(FeedError):
    """The control plane has placement switched off."""

    def __init__(self) -> None:
        """The text goes into the log."""
        super().__init__("the keeper has no placement")


class StaleAnswerError(FeedError):
    """The answer to an older question than one that was answered already."""

    def __init__(self) -> None:
        """The text goes into the log."""
        super().__init__("placement: the answer to an older question than one that was answered")


class ForeignChangesError(FeedError):
    """Changes that do not continue this router's table."""

    def __init__(self) -> None:
        """The text goes into the log."""
        super().__init__("placement: changes of another store, or of the past")
