"""Credentials: rotation, what a failed check reveals, and limits on attempts."""

import pytest

from gaugehinge.tenancy.attempt_limiter import (
    CHECK_BURST,
    FAILURE_BURST,
    FAILURE_REFILL_RATE,
    AttemptLimiter,
)
from gaugehinge.tenancy.credentials import (
    MAX_VALID_CREDENTIALS,
    Credential,
    SecretHasher,
    UnknownCredentialError,
    revoke,
    rotate,
)

HASHER = SecretHasher(time_cost=1, memory_kib=64)


def test_secret_matches_only_its_own_hash_and_is_not_stored():
    secret, credential = HASHER.issue(1.0)
    other_secret, other = HASHER.issue(1.0)
    credential_id = credential.credential_id
    assert HASHER.find_match(secret, [credential, other], 2.0) == credential_id != other.credential_id
    assert HASHER.find_match(other_secret, [credential], 2.0) is None
    assert secret.split("_", 2)[2] not in repr(credential)
    assert credential.secret_hash.startswith("$argon2id$")
    for wrong in (
        "",
        "gh__",
        "x" * 5000,
        secret + "x",
        secret[:-1],
        secret.replace("gh_", "gx_"),
        f"gh_{credential_id}_",
    ):
        assert HASHER.find_match(wrong, [credential, other], 2.0) is None
    assert HASHER.find_match(secret, [Credential(credential_id, "no hash", 1.0)], 2.0) is None


def test_unknown_secret_costs_the_check_of_a_hash_as_well(monkeypatch):
    checked = []
    verify = HASHER._hasher.verify
    monkeypatch.setattr(type(HASHER._hasher), "verify", lambda self, h, s: checked.append(h) or verify(h, s))
    secret, credential = HASHER.issue(1.0)
    HASHER.find_match(secret, [], 2.0)
    HASHER.find_match("rubbish", [credential], 2.0)
    HASHER.find_match(secret, [credential], 2.0)
    assert len(checked) == 3 and checked[0] == checked[1] != checked[2] == credential.secret_hash


def test_two_credentials_are_valid_during_a_rotation():
    (old, first), (new, second), (newest, third) = (HASHER.issue(float(number)) for number in range(3))
    credentials = rotate([], first, 60.0, 0.0)
    assert credentials == (first,)
    credentials = rotate(credentials, second, 60.0, 100.0)
    assert HASHER.find_match(old, credentials, 159.0) and HASHER.find_match(new, credentials, 159.0)
    assert HASHER.find_match(old, credentials, 160.0) is None and HASHER.find_match(new, credentials, 160.0)
    credentials = rotate(credentials, third, 60.0, 110.0)  # again, before the first one expired
    assert len(credentials) == MAX_VALID_CREDENTIALS and HASHER.find_match(old, credentials, 111.0) is None
    assert HASHER.find_match(new, credentials, 111.0) and HASHER.find_match(newest, credentials, 111.0)
    credentials = revoke(credentials, second.credential_id)
    assert HASHER.find_match(new, credentials, 111.0) is None and HASHER.find_match(newest, credentials, 1e9)
    with pytest.raises(UnknownCredentialError):
        revoke(credentials, second.credential_id)


def test_failures_are_limited_by_source_and_by_name_and_successes_are_not():
    limiter, now, failures = AttemptLimiter(3, 0.0), 0.0, 0
    for _ in range(1000):  # one source, a new name each time, a thousand seconds
        now += 1.0
        if not limiter.acquire("10.0.0.1", f"name{now}", now):
            failures += 1
            limiter.record_failure("10.0.0.1", f"name{now}", now)
    assert failures <= FAILURE_BURST + FAILURE_REFILL_RATE * 1000 + 1
    limiter, now, failures = AttemptLimiter(3, 0.0), 0.0, 0
    for number in range(1000):  # one name, a new source each time
        now += 1.0
        if not limiter.acquire(f"10.0.{number}.1", "acme", now):
            failures += 1
            limiter.record_failure(f"10.0.{number}.1", "acme", now)
    assert failures <= FAILURE_BURST + FAILURE_REFILL_RATE * 1000 + 1
    assert limiter.acquire("10.9.9.9", "acme", now) > 0
    limiter = AttemptLimiter(3, 0.0)
    assert not any(limiter.acquire("10.0.0.2", "birch", number * 0.1) for number in range(1000))


def test_all_checks_are_limited_together_and_a_clock_set_back_frees_none():
    limiter = AttemptLimiter(3, 100.0)
    waits = [limiter.acquire(f"s{number}", f"n{number}", 100.0) for number in range(int(CHECK_BURST) + 20)]
    assert waits.count(0.0) == CHECK_BURST and all(wait > 0 for wait in waits[int(CHECK_BURST) :])
    assert limiter.acquire("s", "n", 50.0) > 0
    assert limiter.acquire("s", "n", 101.0) == 0.0
