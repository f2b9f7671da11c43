"""Authentication of callers by their secrets, with a small cache of those that were checked lately."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import trio

from ..store.async_store import AsyncStore
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from .caller import Caller
from .errors import TooManyAttemptsError, UnauthorizedError
from .operators import Operators

MAX_CACHED_CALLERS = 256  # the oldest entry goes first
CACHE_LIFETIME = 60.0  # seconds for which a checked secret is not checked again


@dataclass(slots=True, frozen=True)
class _CachedCaller:
    caller: Caller
    expires_at: float  # seconds, by the store's clock
    generation: int  # of the operators when it was checked


class Authenticator:
    """Finds out whose secret it is; wrong ones are limited by source and by credential."""

    def __init__(
        self, store_writer: AsyncStore, operators: Operators, hasher: SecretHasher, attempts: AttemptLimiter
    ) -> None:
        self._store_writer = store_writer
        self._operators = operators
        self._hasher = hasher
        self._attempts = attempts
        self._cache: dict[bytes, _CachedCaller] = {}  # by digest of the secret

    async def authenticate(self, secret: str, source: str) -> Caller:
        """The caller whose secret this is.

        Args:
            secret: What the caller presented.
            source: The address that it calls from.

        Raises:
            TooManyAttemptsError: Too many wrong secrets came from there, or for that credential.
            UnauthorizedError: The secret is wrong; the same words whatever is wrong with it.
        """
        now = self._store_writer.clock()
        digest = hashlib.sha256(secret.encode()).digest()
        cached = self._cache.get(digest)
        if cached and now < cached.expires_at and cached.generation == self._operators.generation:
            return cached.caller
        caller = await self._check(secret, source, now)
        self._remember(digest, caller, now)
        return caller

    async def _check(self, secret: str, source: str, now: float) -> Caller:
        ident = _credential_ident(secret)
        wait = self._attempts.acquire(source, ident, now)
        if wait:
            raise TooManyAttemptsError(f"again in {wait:.0f} s")
        operator = await self._operators.with_credential(ident)
        # Hashed even if the credential does not exist: the response time must not reveal that.
        credentials = operator.credentials if operator else ()
        matched = await trio.to_thread.run_sync(self._hasher.find_match, secret, credentials, now)
        if operator is None or matched is None:
            self._attempts.record_failure(source, ident, now)
            raise UnauthorizedError
        return Caller(operator.name, operator.role, operator.tenant)

    def _remember(self, digest: bytes, caller: Caller, now: float) -> None:
        while len(self._cache) >= MAX_CACHED_CALLERS:
            del self._cache[next(iter(self._cache))]
        self._cache[digest] = _CachedCaller(caller, now + CACHE_LIFETIME, self._operators.generation)


def _credential_ident(secret: str) -> str:
    """The part of a secret that names its credential; empty if it is not formed like a secret."""
    return secret.split("_")[1] if secret.count("_") >= 2 else ""
