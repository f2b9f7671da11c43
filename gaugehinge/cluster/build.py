"""The installation file's `cluster` to a front and attempts of a running service."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..installation.form import ClusterEntry, Installation
from ..net.configuration import address
from ..net.service import BACKLOG, CLIENT_PART, Service
from ..net.sockets import listener
from ..routing.types import EndpointState
from .attempts import ClusterDialect
from .fleet import SlotFleet
from .front import ClusterClients, ClusterTerms, log_start
from .keeper import Keeper
from .slots import Node, SlotMap, even
from .table import Entry


def tier_map(told: ClusterEntry) -> SlotMap:
    """The routers of the tier as the nodes of a map: all slots in equal ranges, each with one router."""
    nodes = []
    for i, text in enumerate(told.routers):
        host, port = address(text, f"cluster.routers[{i}]")
        nodes.append((Node(host, port, f"{i:040x}"),))
    return even(nodes, 1)


def terms_of(told: Installation) -> ClusterTerms:
    """What the front is told."""
    rows = {entry.name: (i, float(entry.abandon_time)) for i, entry in enumerate(told.traffic)}
    commands = {}
    for entry in told.cluster.command:
        row, abandon = rows[entry.traffic]
        name = entry.name.upper().encode()
        commands[name] = Entry(
            name, row, entry.write, abandon, entry.keys, entry.joined, entry.least, entry.most
        )
    names = [tenant.name for tenant in told.tenants]
    tenant = names.index(told.cluster.tenant) if told.cluster.tenant else -1
    return ClusterTerms(commands, tier_map(told.cluster), told.tier.me, tenant)


def extension(told: Installation) -> Callable[[Service, trio.Nursery], None]:
    """What adds the dialect to a service that has all else."""

    def extend(service: Service, nursery: trio.Nursery) -> None:
        if told.cluster.servers:
            add_fleet(service, nursery, told.cluster.replicas)
        if told.cluster.listen:
            add_front(service, nursery, told)

    return extend


def add_fleet(service: Service, nursery: trio.Nursery, replicas: bool) -> SlotFleet:
    """Attempts to cluster-mode servers, and the map that says where they go."""
    dispatcher = service.dispatcher
    caches = dispatcher.router.endpoints

    def presence(ident: int) -> EndpointState | None:
        cache = caches.get(ident)
        return cache.state if cache is not None else None

    keeper = Keeper(service.configuration.settings.deployment.seed, service.clock())
    fleet = SlotFleet(keeper, service.pool, service.timers, presence, replicas)
    dispatcher.resp = ClusterDialect(own_slots_only=not replicas)
    dispatcher.locate = fleet.locate
    dispatcher.redirected = fleet.redirected
    nursery.start_soon(fleet.run)
    return fleet


def add_front(service: Service, nursery: trio.Nursery, told: Installation) -> ClusterClients:
    """A listener for clients of the dialect."""
    configuration, terms = service.configuration, terms_of(told)
    where = address(told.cluster.listen, "cluster.listen")
    listening = listener(where, BACKLOG)
    clients = ClusterClients(
        configuration.settings,
        service.lifecycle,
        service.dispatcher,
        int(configuration.sockets * CLIENT_PART) // 2,
        configuration.memory // 2,
        nursery,
        terms,
        service.clients.admission_control,
    )
    service.fronts.append((clients, listening))
    log_start(terms, where)
    return clients
