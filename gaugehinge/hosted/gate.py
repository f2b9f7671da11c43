"""Who comes on a connection: secrets checked against the roster, within bounds.

A check costs tens of milliseconds of a thread. What was found is remembered by a digest of the secret; that a
credential still stands is asked with each operation, so that taking one out works at once.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import trio

from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from .roster import Bearer, Roster

KNOWN_MOST = 4096  # secrets that were found right; the oldest goes first
CHECKS = 2  # at a time: each takes a thread and its memory
WAITING_MOST = 256  # checks that wait for one of these; more are told to come again
OK = b"+OK\r\n"
WRONG = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"  # whatever is wrong with it
LOADING = b"-LOADING tenants are not known yet\r\n"


class Gate:
    """Secrets to bearers."""

    def __init__(
        self, roster: Roster, hasher: SecretHasher, attempts: AttemptLimiter, clock: Callable[[], float]
    ) -> None:
        """`clock`: Unix time, by which credentials end."""
        self.roster = roster
        self.hasher = hasher
        self.attempts = attempts
        self.clock = clock
        self._known: dict[bytes, str] = {}  # credential by digest
        self._checks = trio.CapacityLimiter(CHECKS)

    async def check(self, source: str, name: str, secret: str) -> tuple[Bearer | None, str, bytes]:
        """Whose a secret is, its credential, and the answer. `name`: as the client said, empty for none."""
        if not self.roster.known:
            return None, "", LOADING
        now = self.clock()
        ident = secret.split("_")[1] if secret.count("_") >= 2 else ""
        bearer = self.roster.by_credential.get(ident)
        if bearer is not None and name not in ("", "default", bearer.name):
            bearer = None  # a secret of another one
        print_ = hashlib.sha256(secret.encode("utf-8", "surrogateescape")).digest()
        if bearer is None or self._known.get(print_) != ident:
            # By source and credential together: the middle part of a secret is no secret, and bounded by it
            # alone, whoever knows it could keep its owner out.
            pair = f"{source} {ident}"
            wait = self.attempts.acquire(source, pair, now)
            if wait or self._checks.statistics().tasks_waiting >= WAITING_MOST:
                return None, "", b"-BUSY %d\r\n" % max(int(wait * 1000), 100)
            kept = list(bearer.credentials.values()) if bearer is not None else []
            found = await trio.to_thread.run_sync(
                self.hasher.find_match, secret, kept, now, limiter=self._checks
            )
            if found is None or bearer is None:
                self.attempts.record_failure(source, pair, now)
                return None, "", WRONG
            while len(self._known) >= KNOWN_MOST:
                del self._known[next(iter(self._known))]
            self._known[print_] = ident
        if bearer.why_not(ident, self.clock()) == "authentication required":
            return None, "", WRONG  # it ended while it was checked
        return bearer, ident, OK
