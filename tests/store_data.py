"""Stores with known contents, for the tests of the store."""

from pathlib import Path

from gaugehinge.store.records import Mutation, encode
from gaugehinge.store.store import Store


def filled_store(path: Path, count: int = 20) -> Store:
    """Return a store with `count` changes of seven items, each in a separate transaction."""
    store = Store(path)
    for number in range(count):
        mutation = Mutation("tenant", f"t{number % 7}", encode({"n": number}))
        store.apply([mutation], "root", 1000.0 + number)
    return store
