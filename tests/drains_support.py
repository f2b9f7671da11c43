"""Helpers shared by the tests of connection leases and rolling restarts."""

import trio

from gaugehinge.drains.connection_counts import DEFAULT_SERVER, ORIGIN

DEFAULT_LIMITS = {ORIGIN: 12, DEFAULT_SERVER: 8}
FLOORS = {ORIGIN: 1, DEFAULT_SERVER: 1}
CONDITION_TIMEOUT, TEST_TIMEOUT = 10, 40  # seconds


async def until(condition):
    """Wait until `condition()` holds; fail after CONDITION_TIMEOUT."""
    with trio.fail_after(CONDITION_TIMEOUT):
        while not condition():
            await trio.sleep(0.005)


def run(test, *arguments):
    """Run an async test; fail after TEST_TIMEOUT."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT):
            await test(*arguments)

    trio.run(main)
