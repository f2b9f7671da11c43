"""Requests whose response ends like the start of another one are repeated, but not all of them."""

import random

import pytest
import trio

from gaugehinge.net.resp import bulk
from gaugehinge.net.response_endings import ResponseEndings
from tests.helper import Cache, Web, fleet
from tests.test_late_replies import KINDS, ask
from tests.test_late_responses import age_idle_connections, http

FAILED = b"-ERR failed\r\n"


def value_for(ident: str) -> bytes:
    """A value unique from its first byte: one that begins like another of its length is always doubtful."""
    return b"%b's own value" % ident.encode()


class InterleavingOrigin(Web):
    """Repeats its first response within the last bytes of the second one on its connection.

    The bytes after those that complete the second response's value arrive later.
    """

    left, delay = 1, 0.0

    async def answer(self, stream, told) -> None:
        _, extra, body = told
        own = http(200, body, extra.encode())
        sent = self.__dict__.setdefault("sent", {}).setdefault(stream, [])
        sent.append(own)
        if len(sent) != 2:
            await stream.send_all(own)
            return
        copy = sent[0]
        await stream.send_all(own[: -self.left] + copy[: self.left])
        await trio.sleep(self.delay)
        await stream.send_all(copy[self.left :] + own[-self.left :])


@pytest.mark.parametrize("rest_is_behind_next", [False, True], ids=["before the next", "behind the next"])
@pytest.mark.parametrize("delay_ms", [0, 1, 25, 400])
@pytest.mark.parametrize("left", [1, 3, 6])
@pytest.mark.parametrize("kind", list(KINDS))
def test_a_copy_within_the_last_bytes_gives_no_wrong_value_on_sockets(
    tmp_path, monkeypatch, kind, left, delay_ms, rest_is_behind_next
):
    monkeypatch.setattr(InterleavingOrigin, "left", left)
    monkeypatch.setattr(InterleavingOrigin, "delay", delay_ms / 1000)

    async def main():
        async with fleet(tmp_path, [Cache("miss")]) as made:
            made.origin.__class__ = InterleavingOrigin
            made.origin.reply = lambda method, target, headers, body: (200, "", value_for(headers["x-txn"]))
            client = await made.client()
            assert await ask(client, kind, "i1") == bulk(value_for("i1"))
            age_idle_connections(made)
            answer = await ask(client, kind, "i2")
            assert answer in [bulk(value_for("i2"))] + [FAILED] * (kind == "once")
            if not rest_is_behind_next:
                await trio.sleep(made.origin.delay + 0.02)
            age_idle_connections(made)
            assert await ask(client, kind, "i3") == bulk(value_for("i3"))
            ids = [headers["x-txn"] for _, _, headers, _ in made.origin.seen]
            assert ids.count("i2") == (1 if kind == "once" else 2)

    trio.run(main)


@pytest.mark.parametrize("kind", list(KINDS))
def test_an_origin_whose_values_all_end_like_a_response_start_gets_few_repeated_requests(tmp_path, kind):
    """Three connections are in use at the first doubtful response; from then on each carries one request."""
    clients, rounds = 3, 12

    def reply(method, target, headers, body):
        return 200, "", value_for(headers["x-txn"]) + b"HTTP"

    async def main():
        async with fleet(tmp_path, [Cache("miss") for _ in range(3)]) as made:
            made.origin.reply = reply
            failures = []

            async def use(client, name, numbers):
                for number in numbers:
                    ident = f"{name}-{number}"
                    labels = KINDS[kind].format(ident)
                    words = ("KV.GET", name, ident, labels), ("KV.SET", name, ident, labels, "new")
                    answer = await client.ask(*words[kind != "read"])
                    age_idle_connections(made)
                    if answer == FAILED and kind == "once":
                        failures.append(ident)
                    else:
                        assert answer == bulk(value_for(ident) + b"HTTP")

            connected = {f"c{number}": await made.client() for number in range(clients)}
            # One by one: a server that has answered nothing yet accepts few.
            for name, client in connected.items():
                await use(client, name, [0])
            async with trio.open_nursery() as nursery:
                for name, client in connected.items():
                    nursery.start_soon(use, client, name, range(1, rounds))
            again = len(made.origin.seen) - clients * rounds
            assert again <= (0 if kind == "once" else clients)
            assert len(failures) <= (clients if kind == "once" else 0)

    trio.run(main)


@pytest.mark.parametrize("share", [1 / 256, 1 / 16, 1 / 4, 1.0])
def test_few_requests_are_made_again_at_any_share_of_such_endings(share):
    """With a share p of such endings and q = 1 - (1 - p)^16, p (1 - q^2) are repeated: at most 0.0371.

    The endings are drawn at random, so the bound allows four standard deviations.
    """
    draws, endings, doubts, requests = random.Random(7), ResponseEndings(), 0, 20_000
    for _ in range(requests):
        body = b"value H" if draws.random() < share else b"value"
        is_in_doubt = body.endswith(b"H") and not endings.are_ambiguous
        endings.on_response(body, is_in_doubt)
        doubts += is_in_doubt
    promised = 0.0371 * requests
    assert doubts <= promised + 4 * promised**0.5
