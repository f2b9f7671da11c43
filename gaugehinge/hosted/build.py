"""The installation file's `follow` to a running service that follows."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import httpx
import trio

from ..installation.form import Installation
from ..net.client_connection import ClientConnection
from ..net.service import Service
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from ..tenancy.feed import POLL_WAIT
from .follower import CONNECT_TIME, SLACK, BadSecret, Follower, Snapshot
from .front import HostedClientServer
from .gate import Gate
from .overlay import Overlay
from .roster import Roster


def read_secret(path: str) -> str:
    """Its only line. Raises BadSecret."""
    try:
        secret = Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as bad:
        raise BadSecret(f"cannot read {path}: {type(bad).__name__}") from None
    if not secret or len(secret.split()) != 1:
        raise BadSecret(f"{path}: not one line with a secret")
    return secret


def following(
    told: Installation, hasher: SecretHasher | None = None
) -> Callable[[Service, trio.Nursery], Follower]:
    """What makes a service follow. Raises BadSecret."""
    secret, entry = read_secret(told.follow.secret_file), told.follow

    def extend(service: Service, nursery: trio.Nursery) -> Follower:
        roster, clients = Roster(), service.clients
        if not isinstance(clients, HostedClientServer):
            raise TypeError("its clients cannot say who they are")
        attempts = AttemptLimiter(service.configuration.settings.deployment.seed, time.time())
        gate = Gate(roster, hasher or SecretHasher(), attempts, time.time)
        for front, _ in service.fronts:  # whichever dialect it speaks
            front.require_authentication(gate, time.time)
        if clients.admission_control is not None:
            clients.admission_control.whose = _place
        client = httpx.AsyncClient(
            base_url=f"http://{entry.keeper}",
            headers={"Authorization": f"Bearer {secret}", "Content-Type": "application/json"},
            timeout=httpx.Timeout(POLL_WAIT + SLACK, connect=CONNECT_TIME),
            trust_env=False,
        )
        snapshot = Snapshot(entry.snapshot) if entry.snapshot else None
        follower = Follower(service, roster, Overlay(), client, snapshot, entry.most_tenants)
        follower.read_secret = partial(read_secret, entry.secret_file)
        follower.begin()
        nursery.start_soon(follower.run)
        return follower

    return extend


def _place(client: ClientConnection, name: str) -> int | None:
    """Whose a command is at the first look; None where it needs a whole one."""
    bearer = getattr(client, "bearer", None)
    if bearer is None or name not in ("", bearer.name):
        return None
    return bearer.place
