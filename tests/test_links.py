"""Links between parties, in each of their states, changed while connections stand."""

import socket
from collections.abc import Awaitable, Callable

import pytest
import trio

from gaugehinge.emulator.link import Fault, Links, State, TcpLink, UdpLink
from gaugehinge.emulator.ports import Ports

HOST = "127.0.0.1"
FAR, NEAR = "127.0.71.1", "127.0.72.1"  # the other side; the address that it sees the one side at
LONG = 20.0  # seconds for what has to happen, on a machine with whatever load
SHORT = 0.15  # for which nothing happens


def run(scene: Callable[..., Awaitable[None]], echo: bool = True) -> None:
    """A scene with a link to a server that answers each piece in capitals, and tells whom it sees."""

    async def main():
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                ports, seen, told = Ports(71), [], []
                to = (FAR, ports.free([FAR]))
                links = Links(nursery, 1, lambda *change: told.append(change))
                link = links.tcp("router-0", "server-0", (HOST, ports.free([HOST])), to, NEAR)

                async def serve(stream):
                    seen.append(stream.socket.getpeername()[0])
                    try:
                        async for data in stream:
                            await stream.send_all(data.upper())
                    except trio.BrokenResourceError:
                        seen.append("reset")
                    else:
                        seen.append("end")

                await nursery.start(lambda **more: trio.serve_tcp(serve, to[1], host=FAR, **more))
                link.reach(True)
                await scene(links, link, seen, told)
                links.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


async def near(link: TcpLink) -> trio.SocketStream:
    return await trio.open_tcp_stream(*link.at)


async def answer(stream: trio.SocketStream, wait: float = LONG) -> bytes | None:
    """What comes next; None: nothing in that time."""
    with trio.move_on_after(wait):
        return await stream.receive_some()
    return None


async def reset(stream: trio.SocketStream) -> None:
    with trio.fail_after(LONG), pytest.raises(trio.BrokenResourceError):
        while await stream.receive_some():
            pass


def test_it_passes_all_on_from_an_address_of_its_own():
    async def scene(links, link, seen, told):
        stream = await near(link)
        await stream.send_all(b"hello")
        assert await answer(stream) == b"HELLO"
        await stream.send_eof()
        assert await answer(stream) == b"" and seen == [NEAR, "end"]

    run(scene)


def test_refused_resets_what_stands_and_heals():
    async def scene(links, link, seen, told):
        stream = await near(link)
        await stream.send_all(b"a")
        assert await answer(stream) == b"A"
        links.change("router-0", "server-0", Fault(State.REFUSED))
        await reset(stream)
        with pytest.raises(OSError):
            await near(link)
        links.change("server-0", "router-0", Fault())
        again = await near(link)
        await again.send_all(b"b")
        assert await answer(again) == b"B"
        assert [(one, other, fault.state) for one, other, fault in told] == [
            ("router-0", "server-0", State.REFUSED),
            ("router-0", "server-0", State.UP),
        ]

    run(scene)


def test_a_party_that_does_not_listen_refuses_through_its_links_too():
    async def scene(links, link, seen, told):
        links.reach("server-0", False)
        with pytest.raises(OSError):
            await near(link)
        links.change("router-0", "server-0", Fault(State.SILENT))  # then nobody is told that it is gone
        stream = await near(link)
        assert await answer(stream, SHORT) is None
        links.reach("server-0", True)
        links.change("router-0", "*", Fault())
        await stream.send_all(b"c")
        assert await answer(stream) == b"C"

    run(scene)


@pytest.mark.parametrize("state", [State.SILENT, State.SILENT_THERE, State.SILENT_BACK])
def test_silence_holds_and_closes_nothing(state):
    async def scene(links, link, seen, told):
        old = await near(link)
        await old.send_all(b"a")
        assert await answer(old) == b"A"
        links.change("router-0", "server-0", Fault(state))
        new = await near(link)
        for stream in (old, new):
            await stream.send_all(b"x")
            assert await answer(stream, SHORT) is None
        links.change("router-0", "server-0", Fault())
        for stream in (old, new):
            assert await answer(stream) == b"X"

    run(scene)


def test_what_was_held_is_not_delivered_for_a_side_that_left():
    async def scene(links, link, seen, told):
        old = await near(link)
        await old.send_all(b"a")
        assert await answer(old) == b"A"
        links.change("router-0", "server-0", Fault(State.SILENT))
        await old.send_all(b"late")
        await trio.sleep(SHORT)
        await old.aclose()
        links.change("router-0", "server-0", Fault())
        with trio.fail_after(LONG):
            while len(seen) < 2:
                await trio.sleep(0.005)
        assert seen == [NEAR, "reset"] and link.count.dropped == 1

    run(scene)


def test_reset_comes_amid_a_message_counted_from_the_change():
    async def scene(links, link, seen, told):
        old = await near(link)
        await old.send_all(b"before")
        assert await answer(old) == b"BEFORE"
        links.change("router-0", "server-0", Fault(State.RESET, after=4))
        for stream in (old, await near(link)):
            await stream.send_all(b"abc")
            assert await answer(stream) == b"ABC"
            await stream.send_all(b"defgh")
            await reset(stream)

    run(scene)


def test_slow_and_late_take_their_time():
    async def scene(links, link, seen, told):
        stream = await near(link)
        for fault, least in ((Fault(State.SLOW, rate=500.0), 0.18), (Fault(State.LATE, delay=0.2), 0.4)):
            links.change("router-0", "server-0", fault)
            began, got = trio.current_time(), b""
            await stream.send_all(b"z" * 100)
            while len(got) < 100:
                got += await answer(stream)
            assert got == b"Z" * 100 and trio.current_time() - began >= least

    run(scene)


# -- datagrams


def datagrams(scene: Callable[..., Awaitable[None]]) -> None:
    async def main():
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                ports, raws, ats = Ports(72), [], []
                for _ in range(2):
                    raw = trio.socket.socket(type=socket.SOCK_DGRAM)
                    await raw.bind((HOST, 0))
                    raws.append(raw)
                    ats.append((HOST, ports.free([HOST], socket.SOCK_DGRAM)))
                links = Links(nursery, 1, lambda *change: None)
                link = links.udp("a", "b", *ats, *(raw.getsockname() for raw in raws))
                await scene(links, link, raws, ats)
                links.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


async def heard(raw, count: int, wait: float = LONG) -> list[bytes]:
    """So many, or fewer where none comes for so long."""
    got = []
    while len(got) < count:
        with trio.move_on_after(wait) as limit:
            got.append((await raw.recvfrom(100))[0])
        if limit.cancelled_caught:
            break
    return got


def test_datagrams_pass_both_ways_from_the_address_that_each_side_knows():
    async def scene(links, link: UdpLink, raws, ats):
        await raws[0].sendto(b"one", ats[0])
        data, sender = await raws[1].recvfrom(100)
        assert (data, sender) == (b"one", ats[1])  # where the other side sends its own
        await raws[1].sendto(b"two", ats[1])
        assert await raws[0].recvfrom(100) == (b"two", ats[0])
        links.change("b", "a", Fault(State.SILENT_THERE))
        await raws[1].sendto(b"lost", ats[1])
        await raws[0].sendto(b"kept", ats[0])
        assert await heard(raws[1], 1) == [b"kept"] and await heard(raws[0], 1, SHORT) == []

    datagrams(scene)


def test_lossy_loses_repeats_and_reorders_the_same_by_the_seed():
    found = []

    async def scene(links, link: UdpLink, raws, ats):
        links.change("a", "b", Fault(State.LOSSY, part=0.3))
        for number in range(200):
            await raws[0].sendto(b"%d" % number, ats[0])
            with trio.fail_after(LONG):
                while link.count.pieces <= number:
                    await trio.sleep(0)
        got = [int(data) for data in await heard(raws[1], 400, 1.0)]
        assert got != sorted(got)
        counts = [got.count(number) for number in range(200)]
        assert 30 <= counts.count(0) <= 90 and 15 <= counts.count(2) <= 70 and max(counts) == 2
        found.append(counts)

    datagrams(scene)
    datagrams(scene)
    assert found[0] == found[1]
