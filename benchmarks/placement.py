"""What placement costs a router and the keeper: `python benchmarks/placement.py`. No sockets, no load.

CPU of the door's look and the guard's for one operation, of the module's decisions with and without regions,
memory of the table, and the size and time of what the keeper tells, at 0, 100 and 10,000 shards.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
import tracemalloc
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from helper import READ, Bench, Outcome, origin_row, row  # noqa: E402

from gaugehinge.placement.affinity import RegionAffinity  # noqa: E402
from gaugehinge.placement.lifecycle import Stage  # noqa: E402
from gaugehinge.placement.records import ShardRecord  # noqa: E402
from gaugehinge.placement.shard_index import ShardIndex  # noqa: E402
from gaugehinge.placement.shard_table import ShardAssignment, ShardTable  # noqa: E402

TENANT_SHARDS = 64
ROUNDS, EACH = 7, 20_000


def rows(count: int) -> list[ShardAssignment]:
    draw = random.Random(count)
    made = []
    for n in range(count):
        zones = tuple((draw.choice("abc"),) for _ in range(draw.choice((1, 1, 2))))
        names = tuple(f"region-{z[0]}" for z in zones)
        prefix = f"shard-{n % TENANT_SHARDS}/" + "x" * draw.randrange(8)
        made.append(
            ShardAssignment(
                1 + n // TENANT_SHARDS,
                f"s{n % TENANT_SHARDS}",
                (prefix,),
                RegionAffinity(True, names, zones),
                False,
                n + 1,
            )
        )
    return made


def each(work, count: int = EACH) -> float:
    """Microseconds of one, the middle of some rounds."""
    took = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for n in range(count):
            work(n)
        took.append((time.process_time() - began) / count)
    return 1e6 * statistics.median(took)


def look_ups(count: int) -> tuple[float, float, float, float, float]:
    """Of a router's table: CPU of a hit and of a miss in microseconds, memory in bytes, milliseconds in which
    it takes over the whole, and one row."""
    told = rows(count)
    tracemalloc.start()
    table = ShardTable()
    table.update(told, [], is_complete=True)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    tenants = max(count // TENANT_SHARDS, 1)
    draw = random.Random(1)
    keys = [
        b"%x/" % (1 + draw.randrange(tenants))
        + b"shard-%d/" % draw.randrange(TENANT_SHARDS)
        + b"x" * 8
        + b"key-%d" % n
        for n in range(2000)
    ]
    others = [b"%x/other-%d" % (1 + draw.randrange(tenants), n) for n in range(2000)]
    began = time.process_time()
    table.update(told, [], is_complete=True)
    whole = 1e3 * (time.process_time() - began)
    one = each(lambda n: table.update(told[:1], []), 200) / 1e3
    hit, miss = each(lambda n: table.find(keys[n % 2000])), each(lambda n: table.find(others[n % 2000]))
    return hit, miss, memory, whole, one


def decisions(regions: tuple | None) -> float:
    """CPU of one operation in the module, asked and settled, 24 caches in three zones."""
    bench = Bench(caches=0, cache_aside=False)
    bench.hear([row(n, zone="abc"[n % 3]) for n in range(1, 25)] + [origin_row()])
    keys = [f"key-{n}" for n in range(500)]
    router, put = bench.router, None

    def one(n: int) -> None:
        nonlocal put
        bench.now += 0.002
        bench.count += 1
        operation = bench_operation(bench, keys[n % 500])
        if regions is not None:
            operation.regions = regions
        answer = router.route(operation, bench.now)
        if answer.attempt is not None:
            router.on_attempt_finished(answer.attempt, Outcome.SUCCEEDED, 0.002, True, bench.now)

    return each(one, 5000)


def bench_operation(bench, key: str):
    from gaugehinge.routing.types import Operation

    return Operation(str(bench.count), READ, key.encode(), -1, False, False, bench.now, bench.now + 1.5)


def keeper(count: int) -> tuple[float, float, int]:
    """Of the keeper's table: milliseconds of telling the whole, and nothing new; bytes of the whole."""
    index = ShardIndex(revision=count + 1)
    for told in rows(count):
        terms = told.affinity
        index.apply(
            f"{told.incarnation}/{told.shard}",
            told.revision,
            msgspec.json.encode(
                ShardRecord(
                    told.incarnation,
                    "t",
                    told.shard,
                    told.prefixes,
                    1.0,
                    told.revision,
                    Stage.CONFINED,
                    0.0,
                    terms,
                )
            ),
        )
    began = time.process_time()
    body = msgspec.json.encode(index.changes_since(0).assignments)
    whole = time.process_time() - began
    nothing = each(lambda n: index.changes_since(count + 1), 200) / 1e3
    return 1e3 * whole, nothing, len(body)


def main() -> None:
    for count in (0, 100, 10_000):
        hit, miss, memory, all_rows, one_row = look_ups(count)
        whole, nothing, size = keeper(count)
        print(
            f"{count:6} shards: look {hit:.2f} us, miss {miss:.2f} us, table {memory / 1024:.0f} KiB, "
            f"taken over in {all_rows:.1f} ms, one row in {one_row:.2f} ms; "
            f"keeper tells the whole in {whole:.1f} ms ({size / 1024:.0f} KiB), "
            f"nothing new in {nothing:.4f} ms"
        )
    for name, regions in [
        ("none", None),
        ("one region", (frozenset("a"),)),
        ("two regions", (frozenset("a"), frozenset("b"))),
        ("prefer", (frozenset("a"), None)),
    ]:
        print(f"decisions of an operation, regions {name}: {decisions(regions):.1f} us")


if __name__ == "__main__":
    main()
