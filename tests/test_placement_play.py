"""Small multi-process plays in which tenants move shards; `rehearsal.plays` runs hundreds of them."""

import trio

from gaugehinge.rehearsal.placementplay import SMALL, play

SEEDS = range(1, 6)


def test_no_key_of_a_confined_shard_is_served_outside_its_zones_in_five_plays(tmp_path):
    outcomes = {}

    async def one(seed):
        outcomes[seed] = await play(seed, tmp_path / str(seed), SMALL)

    async def main():
        with trio.fail_after(150):
            async with trio.open_nursery() as nursery:
                for seed in SEEDS:
                    nursery.start_soon(one, seed)

    trio.run(main)
    for seed, outcome in outcomes.items():
        assert not outcome.breaks, "\n".join([f"seed {seed}", *(each.told() for each in outcome.breaks)])
    checked_keys = [outcome.looked_at["confined"] for outcome in outcomes.values()]
    assert sum(checked_keys) > 0, "no key of a confined shard reached a server: the check was vacuous"
    assert sum(outcome.figures["moves"] for outcome in outcomes.values()) >= len(SEEDS)
