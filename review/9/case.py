"""After one new configuration, routers get no list any more from discovery that answers 1.4 s late."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from world import (  # noqa: E402
    READ,
    Cache,
    Client,
    Discovery,
    Origin,
    Record,
    Router,
    held,
    play,
    settings,
)

LATE = 1.4  # seconds by which discovery answers late, at both addresses, all the time
CALM = 8.0  # seconds before the new configuration
OLD_STAYS = 1.5  # seconds after which the old address closes its connections
BETWEEN = 8.0  # seconds from the new configuration to the drain
AFTER = 25.0  # seconds from the drain to the end
TOLD_WITHIN = 6.0  # seconds after which a change counts as told, whether or not it arrived
GRACE = 0.25 + 0.05  # seconds; the settings' grace, and what the protocol page adds to each time limit
ROUTERS = 3
CLIENTS = 4  # of each router
WAIT = 2.0  # seconds


async def turn_away(cache: Cache, texts: list[str], writer: asyncio.StreamWriter) -> bytes:
    """Answer as a sound server that drains."""
    return b"-BUSY\r\n"


async def scene(record: Record) -> int:
    """Play the case; return 1 if a router sent to the draining server after its time."""
    origin = Origin(record, "origin")
    old, new = (Discovery(record, name, delay=LATE) for name in ("discovery", "discovery-moved"))
    caches = [Cache(record, f"cache-{number}") for number in range(6)]
    for server in (origin, old, new, *caches):
        await server.start()
    for discovery in (old, new):
        discovery.put(origin.entry(), *[cache.entry() for cache in caches])
    routers = [
        Router(record, f"n{number}", settings(me=number, replicasOfMe=ROUTERS), old.address)
        for number in range(ROUTERS)
    ]
    answers = []
    try:
        for router in routers:
            router.known = old.whole()
            await router.start()
        end = record.now() + CALM + BETWEEN + AFTER

        async def ask_on(router: Router) -> None:
            client = Client(record, router.port)
            while record.now() < end:
                answers.append(await client.ask(READ, f"chair{random.randrange(400)}", WAIT))
                await asyncio.sleep(0.05)
            client.close()

        asking = [asyncio.create_task(ask_on(router)) for router in routers for _ in range(CLIENTS)]
        await asyncio.sleep(CALM)
        if not held():
            for router in routers:
                router.discovery = new.address
                router.configure()
                router.signal(signal.SIGHUP)
            await asyncio.sleep(OLD_STAYS)
            await old.stop()
        await asyncio.sleep(BETWEEN - (0.0 if held() else OLD_STAYS))
        caches[0].state, caches[0].answer = "draining", turn_away
        drained_at = record.now()
        for discovery in (old, new):
            discovery.put(caches[0].entry())
        await asyncio.gather(*asking)
    finally:
        for router in routers:
            await router.clear()
        for server in (origin, old, new, *caches):
            await server.stop()
    latest = drained_at + TOLD_WITHIN + GRACE
    begun = [at for at, fields in record.of("begun") if fields["at"] == caches[0].name]
    late = [at - drained_at for at in begun if at > latest]
    kinds = dict(Counter(answer.kind for answer in answers))
    last = max((at - drained_at for at in begun), default=0.0)
    record.note("summary", answers=kinds, drained_at=drained_at, late=len(late), last_after=last)
    print(
        f"answers {kinds}; sent after the drain's time: {len(late)}, the last {last:.2f} s after the listing"
    )
    if not any(answer.kind == "served" for answer in answers) or not any(at < drained_at for at in begun):
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(play(FOLDER, scene))
