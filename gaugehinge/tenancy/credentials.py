"""Secrets of tenants: shown once, kept as argon2 hashes, two valid at a time for rotation.

What a wrong one is told never says whether its tenant exists, neither by its words nor by the time it takes:
a name that is not there is checked against a hash of its own. A check costs tens of milliseconds and as many
MiB, so it is made on a thread, and `Attempts` says beforehand whether it is made at all.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from dataclasses import dataclass, replace

from argon2 import PasswordHasher
from argon2.exceptions import InvalidHashError, VerificationError
from xxhash import xxh64_intdigest

MOST_VALID = 2  # the one in use and the one that takes its place
SECRET_BYTES = 24
MARK = "gh"  # what a secret begins with, so that one in a log or a page can be searched for
MOST_SECRET = 200  # characters; a longer one is wrong unread
BUCKETS = 4096  # sources and names are counted in so many: memory that no crowd of them can grow
BURST = 10.0  # wrong tries in a row
REFILL = 0.1  # of a try a second behind that
ALL_BURST = 100.0  # checks in a row of all sources together: each takes a thread's time
ALL_REFILL = 20.0


@dataclass(slots=True, frozen=True)
class Credential:
    """One secret's hash."""

    ident: str  # the middle part of the secret, told in logs and audit
    hashed: str
    made: float
    ends: float | None = None  # None: until it is taken out


class Hasher:
    """argon2id with figures that fit a router's memory."""

    def __init__(self, time_cost: int = 2, memory_kib: int = 19 * 1024) -> None:
        self._hasher = PasswordHasher(time_cost=time_cost, memory_cost=memory_kib, parallelism=1)
        self._nobody = self._hasher.hash(secrets.token_urlsafe(SECRET_BYTES))

    def make(self, now: float) -> tuple[str, Credential]:
        """A new secret, to be shown once, and what is kept of it."""
        ident = secrets.token_hex(4)
        secret = f"{MARK}_{ident}_{secrets.token_urlsafe(SECRET_BYTES)}"
        return secret, Credential(ident, self._hasher.hash(secret), now)

    def check(self, secret: str, kept: Sequence[Credential], now: float) -> str | None:
        """The ident of the credential that a secret fits, or None. Blocking; as long for nobody's as for a
        wrong one."""
        parts = secret.split("_", 2)
        if len(secret) > MOST_SECRET or len(parts) != 3 or parts[0] != MARK:
            parts = ["", "", ""]
        valid = [each for each in kept if each.ends is None or now < each.ends]
        found = next((each for each in valid if each.ident == parts[1]), None)
        try:
            self._hasher.verify(found.hashed if found else self._nobody, secret[:MOST_SECRET])
        except (VerificationError, InvalidHashError):
            return None
        return found.ident if found else None


def rotate(kept: Sequence[Credential], new: Credential, overlap: float, now: float) -> tuple[Credential, ...]:
    """Add a credential; the one in use goes on for `overlap` seconds, older ones end at once."""
    valid = [each for each in kept if each.ends is None or now < each.ends]
    newest = max(valid, key=lambda each: each.made, default=None)
    if newest is None:
        return (new,)
    ends = now + overlap if newest.ends is None else min(newest.ends, now + overlap)
    return replace(newest, ends=ends), new


def revoke(kept: Sequence[Credential], ident: str) -> tuple[Credential, ...]:
    """Take one out at once. Raises KeyError where there is none of that ident."""
    if all(each.ident != ident for each in kept):
        raise KeyError(ident)
    return tuple(each for each in kept if each.ident != ident)


class Attempts:
    """Whether a check is made: bounded by source, by name and in all. No I/O; a fixed number of figures.

    Only wrong tries are counted against source and name, so that a client that opens many connections is not
    kept out; all checks count against the whole.
    """

    def __init__(self, seed: int, now: float) -> None:
        self.seed = seed
        self._spent = [0.0] * BUCKETS
        self._at = [now] * BUCKETS
        self._all, self._all_at = 0.0, now

    def _place(self, what: str, name: str) -> int:
        return xxh64_intdigest(f"{what} {name}".encode(), self.seed) % BUCKETS

    def _read(self, place: int, now: float) -> float:
        left = self._spent[place] - REFILL * max(now - self._at[place], 0.0)
        self._spent[place], self._at[place] = max(left, 0.0), max(now, self._at[place])
        return self._spent[place]

    def wait(self, source: str, name: str, now: float) -> float:
        """0 where a check may be made now, and counts it; else seconds until one may."""
        spent = max(
            self._read(self._place("source", source), now), self._read(self._place("name", name), now)
        )
        if spent + 1.0 > BURST:
            return (spent + 1.0 - BURST) / REFILL
        self._all = max(self._all - ALL_REFILL * max(now - self._all_at, 0.0), 0.0)
        self._all_at = max(now, self._all_at)
        if self._all + 1.0 > ALL_BURST:
            return (self._all + 1.0 - ALL_BURST) / ALL_REFILL
        self._all += 1.0
        return 0.0

    def wrong(self, source: str, name: str, now: float) -> None:
        """A check found a wrong secret."""
        for place in (self._place("source", source), self._place("name", name)):
            self._spent[place] = self._read(place, now) + 1.0
