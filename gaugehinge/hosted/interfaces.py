"""What a hosted router requires of its client servers and admission control beyond any other router."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from .authenticator import Authenticator


class AuthenticatingServer(Protocol):
    """A client server, of any protocol dialect, that can authenticate its clients."""

    def require_authentication(
        self, authenticator: Authenticator, unix_clock: Callable[[], float], /
    ) -> None:
        """Require authentication from now on. `unix_clock`: Unix time, by which credentials expire."""


class TenantAdmission(Protocol):
    """Admission control with a share for each tenant."""

    def queued_operations(self) -> Iterable[Any]:
        """The operations that wait for admission."""

    def set_shares(self, shares: Sequence[float], /) -> None:
        """Set the shares of all tenants, by tenant index."""
