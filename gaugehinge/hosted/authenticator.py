"""Authenticates connections: checks secrets against the tenant registry, at a limited rate.

A check takes tens of milliseconds of a thread. Successful checks are cached by a digest of the secret;
whether the credential is still valid is checked with each operation, so that revoking one takes effect at
once.
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

MAX_CACHED_SECRETS = 4096  # verified secrets; the oldest is evicted first
MAX_CONCURRENT_CHECKS = 2  # concurrent checks; each takes a thread and its memory
MAX_QUEUED_CHECKS = 256  # checks queued for a thread; further ones are rejected with -BUSY
MIN_RETRY_AFTER = 100  # milliseconds
OK = b"+OK\r\n"
WRONG = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"  # the same whatever is wrong
LOADING = b"-LOADING tenants are not known yet\r\n"


class Authentication(NamedTuple):
    """The result of a check."""

    principal: Principal | None  # None: not authenticated
    credential: str  # ID of the credential that was used
    reply: bytes


class Authenticator:
    """Finds the principal that a secret belongs to."""

    def __init__(
        self,
        registry: TenantRegistry,
        hasher: SecretHasher,
        attempts: AttemptLimiter,
        clock: Callable[[], float],
    ) -> None:
        """`clock`: Unix time, by which credentials expire."""
        self.registry = registry
        self.hasher = hasher
        self.attempts = attempts
        self.clock = clock
        self._verified: dict[bytes, str] = {}  # credential ID by digest of the secret
        self._check_limiter = trio.CapacityLimiter(MAX_CONCURRENT_CHECKS)

    async def check(self, source: str, name: str, secret: str) -> Authentication:
        """Check a secret.

        `source`: the client's address; `name`: the user name that the client sent, empty for none.
        """
        if not self.registry.known:
            return _not_authenticated(LOADING)
        ident = _credential_in(secret)
        principal = self.registry.by_credential.get(ident)
        if principal is not None and name not in ("", "default", principal.name):
            principal = None  # the secret belongs to another tenant
        digest = hashlib.sha256(secret.encode("utf-8", "surrogateescape")).digest()
        if principal is None or self._verified.get(digest) != ident:
            reply = await self._check_hash(principal, f"{source} {ident}", source, secret)
            if reply is not None:
                return _not_authenticated(reply)
            self._remember(digest, ident)
        if principal is None or principal.rejection_reason(ident, self.clock()) == UNAUTHENTICATED:
            return _not_authenticated(WRONG)  # the credential expired or was revoked during the check
        return Authentication(principal, ident, OK)

    async def _check_hash(
        self, principal: Principal | None, pair: str, source: str, secret: str
    ) -> bytes | None:
        """Return the error reply for a secret that is wrong or cannot be checked now; None if it is right.

        `pair`: source and credential ID together. The credential ID, the middle part of a secret, is not
        secret: if attempts were limited by it alone, anyone who knows it could lock out its owner.
        """
        wait = self.attempts.acquire(source, pair, self.clock())
        if wait or self._check_limiter.statistics().tasks_waiting >= MAX_QUEUED_CHECKS:
            return _busy(wait)
        async with self._check_limiter:
            # A check that waited here was admitted before the checks ahead of it failed. Without a second
            # test of the limit, many clients with an outdated secret would all fail at once and be locked out
            # for minutes.
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
    """Return the credential ID in a secret; empty if the secret does not have our format."""
    return secret.split("_")[1] if secret.count("_") >= 2 else ""


def _busy(wait: float) -> bytes:
    return b"-BUSY %d\r\n" % max(int(wait * 1000), MIN_RETRY_AFTER)


def _not_authenticated(reply: bytes) -> Authentication:
    return Authentication(None, "", reply)
