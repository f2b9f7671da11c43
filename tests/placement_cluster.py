"""Test cluster: a control plane with placement, and routers that follow it, in one process."""

from contextlib import asynccontextmanager

import httpx
import trio

from gaugehinge.admin.config import PlacementConfig
from gaugehinge.forms.units import Rate, Seconds
from gaugehinge.installation.form import PlacementEntry
from gaugehinge.placement.control_plane import PlacementControlPlane
from gaugehinge.rehearsal.hostedplay import hosting

LONG_ISOLATION_LIMIT = Seconds(2.6)  # `alone`, for tests in which it has to be clearly longer than the lease
SETTINGS = PlacementConfig(
    True,
    {"eu": ("a",), "us": ("b",), "ap": ("c",)},
    Rate(1000.0),
    Seconds(1.4),
    Seconds(0.05),
    Seconds(0.2),
    Seconds(0.0),
    8,
    600,
)


class PlacementCluster:
    """The nodes of a cluster, and one tenant with a router secret and an API client."""

    def __init__(self, nodes, secret, api) -> None:
        self.nodes, self.secret, self.api = nodes, secret, api
        self.count = 0

    @property
    def control_plane(self) -> PlacementControlPlane:
        """The placement extension under test."""
        return self.nodes.administration.extensions[0]

    async def put(self, shard, regions, status=200, match=None, key="", **more):
        headers = {**({"If-Match": match} if match else {}), **({"Idempotency-Key": key} if key else {})}
        body = {"regions": regions, **more}
        response = await self.api.put(f"/v1/tenants/acme/shards/{shard}", json=body, headers=headers)
        assert response.status_code == status, response.text
        return response

    async def get(self, shard) -> dict:
        while (response := await self.api.get(f"/v1/tenants/acme/shards/{shard}")).status_code == 429:
            await trio.sleep(0.05)
        return response.json()

    async def wait_for_stage(self, shard, stage, timeout=20.0) -> dict:
        with trio.fail_after(timeout):
            while (shown := await self.get(shard)).get("stage", "gone") != stage:
                await trio.sleep(0.02)
        return shown

    async def send(self, router, *keys, write=False, once=False, **labels) -> list[bytes]:
        """Send one operation per key, in order, and return the responses.

        Rejected operations are retried unless `once`: on a busy machine a lease of less than a second may
        expire between two calls to the control plane.
        """
        client = await self.nodes.client(router, self.secret)
        answers = []
        for key in keys:
            words = {"c": "move" if labels.get("k") else "read", "d": "1500", **labels}
            encoded_labels = ",".join(f"{name}={value}" for name, value in words.items())
            for _ in range(1 if once else 40):
                self.count += 1
                operation_id = f"i{router}-{self.count}"
                words = (
                    ("KV.SET", key, operation_id, encoded_labels, "v")
                    if write
                    else ("KV.GET", key, operation_id, encoded_labels)
                )
                answer = await client.ask(*words)
                if once or answer is None or not answer.startswith(b"-BUSY"):
                    break
                await trio.sleep(0.2)
            answers.append(answer)
        await client.stream.aclose()
        return answers

    def zones(self, *keys) -> set[str]:
        """The zones whose servers received any of the keys."""
        wanted = {b"1/" + key.encode() for key in keys}
        return {"abc"[int(seen.server[2:]) % 3] for seen in self.nodes.shelves.seen if seen.key in wanted}

    def clear_requests(self) -> None:
        self.nodes.shelves.seen.clear()


@asynccontextmanager
async def placement_cluster(routers=2, lease=0.9, settings=SETTINGS, allowance=900.0, **more):
    async with hosting(
        routers=routers,
        servers=6,
        zones=("a", "b", "c"),
        lease=lease,
        parts=(lambda administration: PlacementControlPlane(administration, settings),),
        placement=PlacementEntry(True),
        **more,
    ) as nodes:
        secret = await nodes.tenant("acme", allowance=allowance)
        made = await nodes.administration.operators.create("acme-desk", "tenant", "acme", "play")
        headers = {"Authorization": f"Bearer {made.secret}"}
        async with httpx.AsyncClient(base_url=nodes.api, headers=headers) as api:
            cluster = PlacementCluster(nodes, secret, api)
            with trio.fail_after(20):
                while not cluster.control_plane.inventory.current or not all(
                    f.parts[0].lease.is_valid(trio.current_time()) and f.registry.by_credential
                    for f in nodes.followers
                ):
                    await trio.sleep(0.02)
            yield cluster


def run(scenario, timeout=60) -> None:
    async def main():
        with trio.fail_after(timeout):
            await scenario()

    trio.run(main)


def assert_served(answers) -> None:
    assert all(answer is not None and answer.startswith(b"$") for answer in answers), answers


KEYS = [f"eu/{i}" for i in range(30)]
