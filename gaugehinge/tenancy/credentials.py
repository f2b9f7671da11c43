"""Secrets of tenants: shown once, kept as argon2 hashes, two valid at a time for rotation.

What a wrong one is told never says whether its tenant exists, neither by its words nor by the time it takes:
a name that is not there is checked against a hash of its own. A check costs tens of milliseconds and as many
MiB, so it is made on a thread, and `AttemptLimiter` says beforehand whether it is made at all.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence

import msgspec
from argon2 import PasswordHasher
from argon2.exceptions import InvalidHashError, VerificationError
from xxhash import xxh64_intdigest

MAX_VALID_CREDENTIALS = 2  # the one in use and the one that takes its place
SECRET_BYTES = 24
SECRET_PREFIX = "gh"  # what a secret begins with, so that one in a log or a page can be searched for
MAX_SECRET_LENGTH = 200  # characters; a longer one is wrong unread
COUNTER_COUNT = 4096  # sources and names are counted in so many: memory that no crowd of them can grow
FAILURE_BURST = 10.0  # wrong tries in a row
FAILURE_REFILL_RATE = 0.1  # of a try a second behind that
CHECK_BURST = 100.0  # checks in a row of all sources together: each takes a thread's time
CHECK_REFILL_RATE = 20.0


class Credential(
    msgspec.Struct,
    frozen=True,
    rename={"credential_id": "ident", "secret_hash": "hashed", "created_at": "made", "expires_at": "ends"},
):
    """One secret's hash."""

    credential_id: str  # the middle part of the secret, told in logs and audit
    secret_hash: str
    created_at: float
    expires_at: float | None = None  # None: until it is taken out


class SecretHasher:
    """argon2id with figures that fit a router's memory."""

    def __init__(self, time_cost: int = 2, memory_kib: int = 19 * 1024) -> None:
        self._hasher = PasswordHasher(time_cost=time_cost, memory_cost=memory_kib, parallelism=1)
        self._nobody = self._hasher.hash(secrets.token_urlsafe(SECRET_BYTES))

    def issue(self, now: float) -> tuple[str, Credential]:
        """A new secret, to be shown once, and what is kept of it."""
        ident = secrets.token_hex(4)
        secret = f"{SECRET_PREFIX}_{ident}_{secrets.token_urlsafe(SECRET_BYTES)}"
        return secret, Credential(ident, self._hasher.hash(secret), now)

    def find_match(self, secret: str, kept: Sequence[Credential], now: float) -> str | None:
        """The ident of the credential that a secret fits, or None. Blocking; as long for nobody's as for a
        wrong one."""
        parts = secret.split("_", 2)
        if len(secret) > MAX_SECRET_LENGTH or len(parts) != 3 or parts[0] != SECRET_PREFIX:
            parts = ["", "", ""]
        valid = [each for each in kept if each.expires_at is None or now < each.expires_at]
        found = next((each for each in valid if each.credential_id == parts[1]), None)
        try:
            self._hasher.verify(found.secret_hash if found else self._nobody, secret[:MAX_SECRET_LENGTH])
        except (VerificationError, InvalidHashError):
            return None
        return found.credential_id if found else None


def rotate(kept: Sequence[Credential], new: Credential, overlap: float, now: float) -> tuple[Credential, ...]:
    """Add a credential; the one in use goes on for `overlap` seconds, older ones end at once."""
    valid = [each for each in kept if each.expires_at is None or now < each.expires_at]
    newest = max(valid, key=lambda each: each.created_at, default=None)
    if newest is None:
        return (new,)
    ends = now + overlap if newest.expires_at is None else min(newest.expires_at, now + overlap)
    return msgspec.structs.replace(newest, expires_at=ends), new


def revoke(kept: Sequence[Credential], ident: str) -> tuple[Credential, ...]:
    """Take one out at once. Raises KeyError where there is none of that ident."""
    if all(each.credential_id != ident for each in kept):
        raise KeyError(ident)
    return tuple(each for each in kept if each.credential_id != ident)


class AttemptLimiter:
    """Whether a check is made: bounded by source, by name and in all. No I/O; a fixed number of figures.

    Only wrong tries are counted against source and name, so that a client that opens many connections is not
    kept out; all checks count against the whole.
    """

    def __init__(self, seed: int, now: float) -> None:
        self.seed = seed
        self._spent = [0.0] * COUNTER_COUNT
        self._at = [now] * COUNTER_COUNT
        self._all, self._all_at = 0.0, now

    def _place(self, what: str, name: str) -> int:
        return xxh64_intdigest(f"{what} {name}".encode(), self.seed) % COUNTER_COUNT

    def _read(self, place: int, now: float) -> float:
        left = self._spent[place] - FAILURE_REFILL_RATE * max(now - self._at[place], 0.0)
        self._spent[place], self._at[place] = max(left, 0.0), max(now, self._at[place])
        return self._spent[place]

    def acquire(self, source: str, name: str, now: float) -> float:
        """0 where a check may be made now, and counts it; else seconds until one may."""
        spent = max(
            self._read(self._place("source", source), now), self._read(self._place("name", name), now)
        )
        if spent + 1.0 > FAILURE_BURST:
            return (spent + 1.0 - FAILURE_BURST) / FAILURE_REFILL_RATE
        self._all = max(self._all - CHECK_REFILL_RATE * max(now - self._all_at, 0.0), 0.0)
        self._all_at = max(now, self._all_at)
        if self._all + 1.0 > CHECK_BURST:
            return (self._all + 1.0 - CHECK_BURST) / CHECK_REFILL_RATE
        self._all += 1.0
        return 0.0

    def record_failure(self, source: str, name: str, now: float) -> None:
        """A check found a wrong secret."""
        for place in (self._place("source", source), self._place("name", name)):
            self._spent[place] = self._read(place, now) + 1.0
