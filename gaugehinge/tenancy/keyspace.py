"""Key spaces of tenants: two incarnations never share a key or an idempotency key.

Cache servers and the origin see keys and idempotency keys prefixed with the tenant's incarnation.
"""

from __future__ import annotations

from .lifecycle import TenantIncarnation


class InvalidTenantKeyError(ValueError):
    """A key does not belong to any tenant's key space."""


def tenant_key(tenant: TenantIncarnation, key: bytes) -> bytes:
    """Return a client's key in the tenant's space.

    A hash tag in the client's key keeps its effect, because the prefix is outside the braces.
    """
    return b"%x/%b" % (tenant.incarnation, key)


def tenant_idempotency_key(tenant: TenantIncarnation, idempotency_key: bytes) -> bytes:
    """Return a client's idempotency key in the tenant's space."""
    return b"%x.%b" % (tenant.incarnation, idempotency_key)


def client_key(key: bytes) -> bytes:
    """Return the client's part of a key in a tenant's space. Raises InvalidTenantKeyError for another key."""
    prefix, slash, client_part = key.partition(b"/")
    try:
        incarnation = int(prefix, 16)
    except ValueError as error:
        raise InvalidTenantKeyError(key) from error
    if not slash or incarnation < 0:
        raise InvalidTenantKeyError(key)
    return client_part
