"""Credentials of tenants and operators: secrets shown once, stored as argon2 hashes, rotated with an overlap.

A failed check reveals neither by its answer nor by its duration whether the named account exists: a secret of
an unknown credential is checked against a dummy hash. A check costs tens of milliseconds and as many MiB, so
it runs on a thread, and `attempt_limiter.AttemptLimiter` decides beforehand whether it runs at all.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from argon2 import PasswordHasher
from argon2.exceptions import InvalidHashError, VerificationError

MAX_VALID_CREDENTIALS = 2  # the one in use and its replacement
SECRET_PREFIX = "gh"  # makes secrets that leaked into logs or pages searchable
SECRET_BYTES = 24  # random bytes in a secret
CREDENTIAL_ID_BYTES = 4
MAX_SECRET_LENGTH = 200  # characters; a longer secret never matches and is not parsed
DEFAULT_TIME_COST = 2  # argon2 passes over the memory
DEFAULT_MEMORY_KIB = 19 * 1024


class Credential(
    msgspec.Struct,
    frozen=True,
    rename={"credential_id": "ident", "secret_hash": "hashed", "created_at": "made", "expires_at": "ends"},
):
    """The hash of one secret. Times are Unix times."""

    credential_id: str  # the middle part of the secret, shown in logs and in the audit log
    secret_hash: str
    created_at: float
    expires_at: float | None = None  # None: valid until it is revoked

    def is_valid(self, now: float) -> bool:
        """Whether the credential has not expired."""
        return self.expires_at is None or now < self.expires_at


class IssuedCredential(NamedTuple):
    """A new secret, to be shown once, and the credential to store for it."""

    secret: str
    credential: Credential


class UnknownCredentialError(KeyError):
    """There is no credential with the given id."""


class SecretHasher:
    """Issues and checks secrets with argon2id. Safe to use from several threads."""

    def __init__(self, time_cost: int = DEFAULT_TIME_COST, memory_kib: int = DEFAULT_MEMORY_KIB) -> None:
        """Choose the cost of a check; the defaults fit the memory of a router."""
        self._hasher = PasswordHasher(time_cost=time_cost, memory_cost=memory_kib, parallelism=1)
        self._unknown_account_hash = self._hasher.hash(secrets.token_urlsafe(SECRET_BYTES))

    def issue(self, now: float) -> IssuedCredential:
        """Generate a secret and its credential. Blocks for the duration of one hash."""
        credential_id = secrets.token_hex(CREDENTIAL_ID_BYTES)
        secret = f"{SECRET_PREFIX}_{credential_id}_{secrets.token_urlsafe(SECRET_BYTES)}"
        return IssuedCredential(secret, Credential(credential_id, self._hasher.hash(secret), now))

    def find_match(self, secret: str, credentials: Sequence[Credential], now: float) -> str | None:
        """Return the id of the valid credential that a secret belongs to, or None.

        Blocks for the duration of one hash, whether or not the secret names one of the credentials.
        """
        credential_id = _credential_id_of(secret)
        candidate = next(
            (c for c in credentials if c.is_valid(now) and c.credential_id == credential_id), None
        )
        expected_hash = candidate.secret_hash if candidate else self._unknown_account_hash
        try:
            self._hasher.verify(expected_hash, secret[:MAX_SECRET_LENGTH])
        except (VerificationError, InvalidHashError):
            return None
        return candidate.credential_id if candidate else None


def _credential_id_of(secret: str) -> str:
    """Return the credential id in a secret, empty if the secret is malformed."""
    parts = secret.split("_", 2)
    if len(secret) > MAX_SECRET_LENGTH or len(parts) != 3 or parts[0] != SECRET_PREFIX:
        return ""
    return parts[1]


def rotate(
    credentials: Sequence[Credential], new: Credential, overlap: float, now: float
) -> tuple[Credential, ...]:
    """Add a credential. The newest valid one expires after `overlap` seconds, older ones at once."""
    valid = [credential for credential in credentials if credential.is_valid(now)]
    newest = max(valid, key=lambda credential: credential.created_at, default=None)
    if newest is None:
        return (new,)
    expires_at = now + overlap if newest.expires_at is None else min(newest.expires_at, now + overlap)
    return msgspec.structs.replace(newest, expires_at=expires_at), new


def revoke(credentials: Sequence[Credential], credential_id: str) -> tuple[Credential, ...]:
    """Remove a credential immediately. Raises UnknownCredentialError if there is none with that id."""
    remaining = tuple(each for each in credentials if each.credential_id != credential_id)
    if len(remaining) == len(credentials):
        raise UnknownCredentialError(credential_id)
    return remaining
