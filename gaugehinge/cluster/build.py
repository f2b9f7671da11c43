"""The installation file's `cluster` to a front and attempts of a running service."""

from __future__ import annotations

import trio

from ..installation.form import ClusterEntry, Installation
from ..net.configuration import address
from ..net.extensions import ExtensionBuilder, Extensions
from ..net.front import BACKLOG, Front
from ..net.resource_limits import CLIENT_SHARE
from ..net.service import Service
from ..net.sockets import listener
from ..routing.types import EndpointState
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


def build_cluster(service: Service, nursery: trio.Nursery, installation: Installation) -> SlotFleet | None:
    """Add the cluster dialect: a listener where one is named, and the fleet where servers speak it."""
    fleet = None
    if installation.cluster.servers:
        fleet = add_fleet(service, nursery, installation.cluster.replicas)
    if installation.cluster.listen:
        add_front(service, nursery, installation)
    return fleet


def cluster_extensions(fleet: SlotFleet | None) -> Extensions:
    """The extensions of a router that has the cluster dialect and no other subsystem."""
    if fleet is None:
        return Extensions()
    return Extensions(routing_constraints=(fleet,), redirect_observers=(fleet,), server_codec=fleet.codec)


def slot_fleet(service: Service) -> SlotFleet | None:
    """The fleet of a service that runs; None where its servers do not speak the dialect."""
    constraints = service.extensions.routing_constraints
    return next((each for each in constraints if isinstance(each, SlotFleet)), None)


def cluster_extension_builder(installation: Installation) -> ExtensionBuilder:
    """What a service without other subsystems builds its extensions by."""
    return lambda service, nursery: cluster_extensions(build_cluster(service, nursery, installation))


def add_fleet(service: Service, nursery: trio.Nursery, replicas: bool) -> SlotFleet:
    """The map that says where attempts to cluster-mode servers go, kept by a task."""
    caches = service.dispatcher.router.endpoints

    def presence(ident: int) -> EndpointState | None:
        cache = caches.get(ident)
        return cache.state if cache is not None else None

    keeper = Keeper(service.configuration.settings.deployment.seed, service.clock())
    fleet = SlotFleet(keeper, service.pool, service.timers, presence, replicas)
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
        int(configuration.sockets * CLIENT_SHARE) // 2,
        configuration.memory // 2,
        nursery,
        terms,
        service.clients.admission_control,
    )
    service.fronts.append(Front(clients, listening))
    log_start(terms, where)
    return clients
