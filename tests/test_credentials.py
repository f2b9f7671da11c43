"""Secrets of tenants: rotation, what a wrong one can learn, bounded tries."""

import pytest

from gaugehinge.tenancy import credentials
from gaugehinge.tenancy.credentials import (
    CHECK_BURST,
    FAILURE_BURST,
    FAILURE_REFILL_RATE,
    AttemptLimiter,
    Credential,
    SecretHasher,
    revoke,
    rotate,
)

CHEAP = SecretHasher(time_cost=1, memory_kib=64)


def test_a_secret_fits_its_own_hash_alone_and_is_not_kept():
    secret, kept = CHEAP.issue(1.0)
    other, also = CHEAP.issue(1.0)
    assert CHEAP.find_match(secret, [kept, also], 2.0) == kept.credential_id != also.credential_id
    assert CHEAP.find_match(other, [kept], 2.0) is None
    assert secret.split("_", 2)[2] not in repr(kept) and kept.secret_hash.startswith("$argon2id$")
    for bad in (
        "",
        "gh__",
        "x" * 5000,
        secret + "x",
        secret[:-1],
        secret.replace("gh_", "gx_"),
        f"gh_{kept.credential_id}_",
    ):
        assert CHEAP.find_match(bad, [kept, also], 2.0) is None
    assert CHEAP.find_match(secret, [Credential(kept.credential_id, "no hash", 1.0)], 2.0) is None


def test_nobodys_secret_is_checked_against_a_hash_as_well(monkeypatch):
    checked = []
    verify = CHEAP._hasher.verify
    monkeypatch.setattr(type(CHEAP._hasher), "verify", lambda self, h, s: checked.append(h) or verify(h, s))
    secret, kept = CHEAP.issue(1.0)
    CHEAP.find_match(secret, [], 2.0)
    CHEAP.find_match("rubbish", [kept], 2.0)
    CHEAP.find_match(secret, [kept], 2.0)
    assert len(checked) == 3 and checked[0] == checked[1] != checked[2] == kept.secret_hash


def test_two_are_valid_while_one_takes_the_others_place():
    (old, first), (new, second), (newest, third) = (CHEAP.issue(float(i)) for i in range(3))
    kept = rotate([], first, 60.0, 0.0)
    assert kept == (first,)
    kept = rotate(kept, second, 60.0, 100.0)
    assert CHEAP.find_match(old, kept, 159.0) and CHEAP.find_match(new, kept, 159.0)
    assert CHEAP.find_match(old, kept, 160.0) is None and CHEAP.find_match(new, kept, 160.0)
    kept = rotate(kept, third, 60.0, 110.0)  # again, before the first one ended
    assert len(kept) == credentials.MAX_VALID_CREDENTIALS and CHEAP.find_match(old, kept, 111.0) is None
    assert CHEAP.find_match(new, kept, 111.0) and CHEAP.find_match(newest, kept, 111.0)
    kept = revoke(kept, second.credential_id)
    assert CHEAP.find_match(new, kept, 111.0) is None and CHEAP.find_match(newest, kept, 1e9)
    with pytest.raises(KeyError):
        revoke(kept, second.credential_id)


def test_wrong_tries_are_bounded_by_source_and_by_name_and_right_ones_are_not():
    attempts, now, made = AttemptLimiter(3, 0.0), 0.0, 0
    for _ in range(1000):  # one source, ever other names, a thousand seconds
        now += 1.0
        if not attempts.acquire("10.0.0.1", f"name{now}", now):
            made += 1
            attempts.record_failure("10.0.0.1", f"name{now}", now)
    assert made <= FAILURE_BURST + FAILURE_REFILL_RATE * 1000 + 1
    attempts, now, made = AttemptLimiter(3, 0.0), 0.0, 0
    for i in range(1000):  # one name, ever other sources
        now += 1.0
        if not attempts.acquire(f"10.0.{i}.1", "acme", now):
            made += 1
            attempts.record_failure(f"10.0.{i}.1", "acme", now)
    assert (
        made <= FAILURE_BURST + FAILURE_REFILL_RATE * 1000 + 1
        and attempts.acquire("10.9.9.9", "acme", now) > 0
    )
    attempts = AttemptLimiter(3, 0.0)
    assert not any(attempts.acquire("10.0.0.2", "birch", i * 0.1) for i in range(1000))


def test_all_checks_together_are_bounded_whoever_makes_them_and_a_clock_set_back_frees_none():
    attempts = AttemptLimiter(3, 100.0)
    waits = [attempts.acquire(f"s{i}", f"n{i}", 100.0) for i in range(int(CHECK_BURST) + 20)]
    assert waits.count(0.0) == CHECK_BURST and all(wait > 0 for wait in waits[int(CHECK_BURST) :])
    assert attempts.acquire("s", "n", 50.0) > 0
    assert attempts.acquire("s", "n", 101.0) == 0.0
