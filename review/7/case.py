"""A client gets the first half of its receipt when the origin states a length that does not fit."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from world import (  # noqa: E402
    ONCE,
    READ,
    Answer,
    Cache,
    Client,
    Discovery,
    Origin,
    Record,
    Router,
    held,
    http,
    play,
    settings,
)

SPOILT_SHARE = 0.1  # of the origin's answers
SECONDS = 20.0
CLIENTS = 10
WAIT = 2.0  # seconds


async def misfit(origin: Origin, request: dict[str, str], writer: asyncio.StreamWriter) -> bytes:
    """Answer as a sound origin, or with a length that is half of the body's, all in one write."""
    await asyncio.sleep(origin.work)
    body = origin.run(request)
    if held() or random.random() >= SPOILT_SHARE:
        return http(200, body)
    origin.record.note("spoilt", id=request["id"])
    return http(200, body).replace(
        b"Content-Length: %d" % len(body), b"Content-Length: %d" % (len(body) // 2)
    )


async def scene(record: Record) -> int:
    """Play the case; return 1 if a client was served with anything but what was made for its request."""
    origin = Origin(record, "origin", work=0.02, answer=misfit)
    discovery = Discovery(record, "discovery")
    caches = [Cache(record, f"cache-{number}", holds=lambda key: False) for number in range(4)]
    for server in (origin, discovery, *caches):
        await server.start()
    discovery.put(origin.entry(), *[cache.entry() for cache in caches])
    router = Router(record, "n0", settings(), discovery.address)
    answers: list[Answer] = []
    try:
        await router.start()
        end = record.now() + SECONDS

        async def ask_on() -> None:
            client = Client(record, router.port)
            while record.now() < end:
                key = f"chair{random.randrange(400)}"
                if random.random() < 0.5:
                    answers.append(await client.ask(READ, key, WAIT))
                else:
                    answers.append(await client.ask(ONCE, key, WAIT, value=b"09:30"))
                await asyncio.sleep(0.1)
            client.close()

        await asyncio.gather(*[ask_on() for _ in range(CLIENTS)])
    finally:
        await router.clear()
        for server in (origin, discovery, *caches):
            await server.stop()
    made = {f"value of {answer.request_id} by {origin.name}".encode() for answer in answers}
    wrong = [answer for answer in answers if answer.kind == "served" and answer.body not in made]
    kinds = dict(Counter(answer.kind for answer in answers))
    spoilt = len(record.of("spoilt"))
    record.note("summary", answers=kinds, spoilt=spoilt, wrong=[answer.request_id for answer in wrong])
    print(f"answers {kinds}, spoilt {spoilt}, served with something else {len(wrong)}")
    if not any(answer.kind == "served" for answer in answers):
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(play(FOLDER, scene))
