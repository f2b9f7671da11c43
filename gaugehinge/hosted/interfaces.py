"""What a hosted router asks of its fronts and of admission control beyond what every router does."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from .authenticator import Authenticator


class AuthenticatingServer(Protocol):
    """A client server of whichever dialect whose clients say who they are."""

    def require_authentication(
        self, authenticator: Authenticator, unix_clock: Callable[[], float], /
    ) -> None:
        """Authenticate clients from now on. `unix_clock`: the time by which credentials end."""


class TenantAdmission(Protocol):
    """Admission control that knows tenants."""

    def queued_operations(self) -> Iterable[Any]:
        """The operations that wait for admission."""

    def set_shares(self, shares: Sequence[float], /) -> None:
        """Set the shares of all tenants, by their indexes."""
