"""Who calls the administration API, and what its role allows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .errors import ForbiddenError

Role = Literal["reader", "tenant", "operator", "router"]


@dataclass(slots=True, frozen=True)
class Caller:
    """An authenticated caller."""

    name: str
    role: str  # a `Role`, or one that only a newer version knows
    tenant: str = ""  # of role `tenant`: the only one that it may see

    def require_role(self, role: Role, tenant: str = "") -> None:
        """Check that the caller has a role, or is the named tenant itself.

        An operator may do whatever the other roles may, except for what is left to routers.

        Raises:
            ForbiddenError: Neither holds.
        """
        if self.role == role or (self.role == "operator" and role != "router"):
            return
        if self.role == "tenant" and tenant and tenant == self.tenant:
            return
        raise ForbiddenError
