"""Builds the control plane watch of a service from the `follow` section of the installation file."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import cast

import httpx
import trio

from ..installation.form import Installation
from ..net.client_connection import ClientConnection
from ..net.service import Service
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from ..tenancy.feed import POLL_WAIT
from .authenticator import Authenticator
from .control_plane_client import CONNECT_TIMEOUT, ControlPlaneClient
from .control_plane_watch import SLACK, ControlPlaneWatch
from .endpoint_overrides import EndpointOverrides
from .errors import SecretFileError
from .feed_snapshot import FeedSnapshot
from .front import HostedClientServer
from .interfaces import AuthenticatingServer
from .tenant_registry import TenantRegistry


def read_secret(path: str) -> str:
    """Return the only line of the file. Raises SecretFileError."""
    try:
        secret = Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SecretFileError(f"cannot read {path}: {type(error).__name__}") from error
    if not secret or len(secret.split()) != 1:
        raise SecretFileError(f"{path}: must hold one line with the secret")
    return secret


def control_plane_watch_builder(
    installation: Installation, hasher: SecretHasher | None = None
) -> Callable[[Service, trio.Nursery], ControlPlaneWatch]:
    """Return a function that makes a service watch the control plane and authenticate its clients.

    The secret is read now. Raises SecretFileError.
    """
    entry = installation.follow
    secret = read_secret(entry.secret_file)

    def build(service: Service, nursery: trio.Nursery) -> ControlPlaneWatch:
        registry = TenantRegistry()
        _authenticate_clients(service, registry, hasher or SecretHasher())
        client = ControlPlaneClient(
            _http_client(entry.keeper, secret), partial(read_secret, entry.secret_file)
        )
        snapshot = FeedSnapshot(entry.snapshot) if entry.snapshot else None
        watch = ControlPlaneWatch(
            service, registry, EndpointOverrides(), client, snapshot, entry.most_tenants
        )
        watch.load_snapshot()
        nursery.start_soon(watch.run)
        return watch

    return build


def tenant_of_connection(client: ClientConnection, name: str) -> int | None:
    """Return a connection's tenant index for admission control; None if the command must be parsed in full.

    `name`: the tenant named in the command itself, empty for none.
    """
    principal = getattr(client, "bearer", None)  # set by every protocol dialect with authentication
    if principal is None or name not in ("", principal.name):
        return None
    return principal.tenant_index


def _authenticate_clients(service: Service, registry: TenantRegistry, hasher: SecretHasher) -> None:
    """Require authentication on all fronts, whatever protocol dialect they speak."""
    if not isinstance(service.clients, HostedClientServer):
        raise TypeError("the service's client server does not support authentication")
    attempts = AttemptLimiter(service.configuration.settings.deployment.seed, time.time())
    authenticator = Authenticator(registry, hasher, attempts, time.time)
    for front in service.fronts:
        cast(AuthenticatingServer, front.clients).require_authentication(authenticator, time.time)


def _http_client(address: str, secret: str) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=f"http://{address}",
        headers={"Authorization": f"Bearer {secret}", "Content-Type": "application/json"},
        timeout=httpx.Timeout(POLL_WAIT + SLACK, connect=CONNECT_TIMEOUT),
        trust_env=False,
    )
