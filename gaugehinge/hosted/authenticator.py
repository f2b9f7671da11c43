"""Who comes on a connection: secrets checked against the tenant registry, within bounds.

A check costs tens of milliseconds of a thread. What was found is remembered by a digest of the secret; that a
credential still stands is asked with each operation, so that taking one out works at once.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import NamedTuple

import trio

from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from .principal import UNAUTHENTICATED, Principal
from .tenant_registry import TenantRegistry

MAX_CACHED_SECRETS = 4096  # secrets that were found right; the oldest goes first
MAX_CONCURRENT_CHECKS = 2  # at a time: each takes a thread and its memory
MAX_QUEUED_CHECKS = 256  # checks that wait for one of these; more are told to come again
MIN_RETRY_AFTER = 100  # milliseconds
OK = b"+OK\r\n"
WRONG = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"  # whatever is wrong with it
LOADING = b"-LOADING tenants are not known yet\r\n"


class Authentication(NamedTuple):
    """The outcome of a check."""

    principal: Principal | None  # None: nobody is let in
    credential: str  # by which the principal came in
    reply: bytes


class Authenticator:
    """From secrets to principals."""

    def __init__(
        self,
        registry: TenantRegistry,
        hasher: SecretHasher,
        attempts: AttemptLimiter,
        clock: Callable[[], float],
    ) -> None:
        """`clock`: Unix time, by which credentials end."""
        self.registry = registry
        self.hasher = hasher
        self.attempts = attempts
        self.clock = clock
        self._verified: dict[bytes, str] = {}  # credential by digest
        self._check_limiter = trio.CapacityLimiter(MAX_CONCURRENT_CHECKS)

    async def check(self, source: str, name: str, secret: str) -> Authentication:
        """Whose a secret is. `source`: the client's address; `name`: as the client said, empty for none."""
        if not self.registry.known:
            return _rejected(LOADING)
        ident = _credential_in(secret)
        principal = self.registry.by_credential.get(ident)
        if principal is not None and name not in ("", "default", principal.name):
            principal = None  # a secret of another one
        digest = hashlib.sha256(secret.encode("utf-8", "surrogateescape")).digest()
        if principal is None or self._verified.get(digest) != ident:
            reply = await self._check_hash(principal, f"{source} {ident}", source, secret)
            if reply is not None:
                return _rejected(reply)
            self._remember(digest, ident)
        if principal is None or principal.rejection_reason(ident, self.clock()) == UNAUTHENTICATED:
            return _rejected(WRONG)  # it ended while it was checked
        return Authentication(principal, ident, OK)

    async def _check_hash(
        self, principal: Principal | None, pair: str, source: str, secret: str
    ) -> bytes | None:
        """The reply to a secret that is wrong, or not checked now; None where it is right.

        `pair`: source and credential together. The middle part of a secret is no secret, and bounded by it
        alone, whoever knows it could keep its owner out.
        """
        wait = self.attempts.acquire(source, pair, self.clock())
        if wait or self._check_limiter.statistics().tasks_waiting >= MAX_QUEUED_CHECKS:
            return _busy(wait)
        async with self._check_limiter:
            # Whoever waited here came before the checks in front were found wrong. Checked regardless, a
            # crowd with an outdated secret would fail as often at once, and be kept out for minutes.
            now = self.clock()
            wait = self.attempts.failure_wait(source, pair, now)
            if wait:
                return _busy(wait)
            credentials = list(principal.credentials.values()) if principal is not None else []
            found = await trio.to_thread.run_sync(self.hasher.find_match, secret, credentials, now)
            if found is None or principal is None:
                self.attempts.record_failure(source, pair, now)
                return WRONG
        return None

    def _remember(self, digest: bytes, ident: str) -> None:
        while len(self._verified) >= MAX_CACHED_SECRETS:
            del self._verified[next(iter(self._verified))]
        self._verified[digest] = ident


def _credential_in(secret: str) -> str:
    """The part of a secret that names its credential; empty where it is no secret of ours."""
    return secret.split("_")[1] if secret.count("_") >= 2 else ""


def _busy(wait: float) -> bytes:
    return b"-BUSY %d\r\n" % max(int(wait * 1000), MIN_RETRY_AFTER)


def _rejected(reply: bytes) -> Authentication:
    return Authentication(None, "", reply)
