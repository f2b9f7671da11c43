"""A writer that is killed at any moment, and the judge of what it left: for tests and long runs.

`python -m gaugehinge.store.crash_test FILE SEED` writes until it is killed, and says of each change, once
it was acknowledged, up to which revision the log now goes.
"""

from __future__ import annotations

import random
import subprocess
import sys
from pathlib import Path

from .store import Mutation, Store

MAX_BATCH_SIZE = 4  # changes in one transaction
COMPACTION_INTERVAL = 40
LOG_ROWS_KEPT = 100  # rows of the log


def write_forever(path: str, seed: int) -> None:
    """Changes of random things, some removed, the log compacted now and then."""
    store, draw, count = Store(path), random.Random(seed), 0
    print("ready", store.revision, flush=True)
    while True:
        count += 1
        wanted = [
            Mutation("t", f"k{draw.randrange(50)}", b"%d" % count if draw.random() < 0.9 else None)
            for _ in range(draw.randint(1, MAX_BATCH_SIZE))
        ]
        made = store.apply(wanted, "w", float(count))
        print(made[-1].revision, len(made), flush=True)
        if count % COMPACTION_INTERVAL == 0:
            store.compact(max(store.revision - LOG_ROWS_KEPT, 1))


def kill_writer_once(path: Path, seed: int, changes: int) -> tuple[int, int]:
    """Let a writer make some changes, kill it amid the next, look at the file.

    Returns the last acknowledged revision and the one found. Raises StoreUnusableError, or AssertionError
    where an acknowledged change is gone or a half of one is there.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", "gaugehinge.store.crash_test", str(path), str(seed)],
        stdout=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        lines = [process.stdout.readline() for _ in range(changes + 1)]
    finally:
        process.kill()
        lines += process.stdout.read().splitlines()  # not by communicate, which loses what was read ahead
        process.stdout.close()
        process.wait()
    words = [line.split() for line in lines]  # the last line may be cut off: its figures then tell too little
    told = [int(each[1] if each[0] == "ready" else each[0]) for each in words if len(each) == 2]
    last = max(told)
    store = Store(path)
    try:
        store.verify()
        assert store.revision >= last, f"acknowledged {last}, found {store.revision}"
        assert store.revision <= last + MAX_BATCH_SIZE, (
            f"acknowledged {last}, found {store.revision}: over one change more"
        )
        return last, store.revision
    finally:
        store.close()


if __name__ == "__main__":
    write_forever(sys.argv[1], int(sys.argv[2]))
