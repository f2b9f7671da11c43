"""Crash test of the store: kills a writer process at a random moment and checks the file it left.

`python -m gaugehinge.store.crash_test FILE SEED` writes until it is killed. After each transaction is
acknowledged it prints the newest revision and the number of changes.
"""

from __future__ import annotations

import random
import subprocess
import sys
from contextlib import closing
from pathlib import Path
from typing import NamedTuple

from .records import Mutation
from .store import Store

MAX_BATCH_SIZE = 4  # changes in one transaction
COMPACTION_INTERVAL = 40  # transactions
LOG_ROWS_KEPT = 100
ITEM_COUNT = 50
REMOVAL_PROBABILITY = 0.1
READY = "ready"  # the first word that the writer prints, followed by the revision it found


class CrashResult(NamedTuple):
    """The last revision acknowledged before a crash, and the revision found in the file after it."""

    acknowledged_revision: int
    found_revision: int


def write_forever(path: str, seed: int) -> None:
    """Write random items, remove some, and compact the log every `COMPACTION_INTERVAL` transactions."""
    store = Store(path)
    generator = random.Random(seed)
    batch_number = 0
    print(READY, store.revision, flush=True)
    while True:
        batch_number += 1
        mutations = _random_batch(generator, batch_number)
        changes = store.apply(mutations, "w", float(batch_number))
        print(changes[-1].revision, len(changes), flush=True)
        if batch_number % COMPACTION_INTERVAL == 0:
            store.compact(max(store.revision - LOG_ROWS_KEPT, 1))


def _random_batch(generator: random.Random, batch_number: int) -> list[Mutation]:
    return [
        Mutation(
            "t",
            f"k{generator.randrange(ITEM_COUNT)}",
            b"%d" % batch_number if generator.random() < 1.0 - REMOVAL_PROBABILITY else None,
        )
        for _ in range(generator.randint(1, MAX_BATCH_SIZE))
    ]


def kill_writer_once(path: Path, seed: int, transactions: int) -> CrashResult:
    """Kill a writer during the transaction after the given number of them, and check the file.

    Raises StoreUnusableError if the file is damaged, AssertionError if an acknowledged change is missing or
    more changes follow it than one transaction may hold.
    """
    acknowledged = _acknowledged_revision(_run_and_kill(path, seed, transactions))
    with closing(Store(path)) as store:
        store.verify()
        found = store.revision
    assert found >= acknowledged, f"acknowledged {acknowledged}, found {found}"
    assert found <= acknowledged + MAX_BATCH_SIZE, (
        f"acknowledged {acknowledged}, found {found}: more than one unacknowledged transaction"
    )
    return CrashResult(acknowledged, found)


def _run_and_kill(path: Path, seed: int, transactions: int) -> list[str]:
    """Return the lines that the writer printed; the last one may be cut off."""
    process = subprocess.Popen(
        [sys.executable, "-m", "gaugehinge.store.crash_test", str(path), str(seed)],
        stdout=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    assert process.stdout is not None
    try:
        lines = [process.stdout.readline() for _ in range(transactions + 1)]
    finally:
        process.kill()
        # `communicate` would lose what `readline` has buffered.
        lines += process.stdout.read().splitlines()
        process.stdout.close()
        process.wait()
    return lines


def _acknowledged_revision(lines: list[str]) -> int:
    revisions = []
    for line in lines:
        words = line.split()
        if len(words) != 2:
            continue  # the process was killed while it printed this line
        revisions.append(int(words[1] if words[0] == READY else words[0]))
    return max(revisions)


if __name__ == "__main__":
    write_forever(sys.argv[1], int(sys.argv[2]))
