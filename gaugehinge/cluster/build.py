"""Builds the cluster front and the slot routing of a service from the `cluster` section of its file."""

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
from .command_table import CommandSpec
from .front import ClusterClientServer, ClusterFrontConfig, log_start
from .slot_map_tracker import SlotMapTracker
from .slot_routing import SlotRouting
from .slots import Node, SlotMap, even_slot_map


def tier_map(cluster: ClusterEntry) -> SlotMap:
    """A slot map with the routers of the tier as its nodes: equal ranges, each served by one router."""
    nodes = []
    for i, router_address in enumerate(cluster.routers):
        host, port = address(router_address, f"cluster.routers[{i}]")
        nodes.append((Node(host, port, f"{i:040x}"),))
    return even_slot_map(nodes, 1)


def front_config_of(installation: Installation) -> ClusterFrontConfig:
    """The front's configuration, from the installation file."""
    traffic_rows = {
        entry.name: (i, float(entry.abandon_time)) for i, entry in enumerate(installation.traffic)
    }
    commands = {}
    for entry in installation.cluster.command:
        traffic_row, abandon_time = traffic_rows[entry.traffic]
        name = entry.name.upper().encode()
        commands[name] = CommandSpec(
            name, traffic_row, entry.write, abandon_time, entry.keys, entry.joined, entry.least, entry.most
        )
    names = [tenant.name for tenant in installation.tenants]
    tenant = names.index(installation.cluster.tenant) if installation.cluster.tenant else -1
    return ClusterFrontConfig(commands, tier_map(installation.cluster), installation.tier.me, tenant)


def build_cluster(service: Service, nursery: trio.Nursery, installation: Installation) -> SlotRouting | None:
    """Add the parts of cluster support that are configured: the client front, and slot routing to servers.

    Returns the slot routing; None if the servers are not in cluster mode.
    """
    slot_routing = None
    if installation.cluster.servers:
        slot_routing = add_slot_routing(service, nursery, installation.cluster.replicas)
    if installation.cluster.listen:
        add_front(service, nursery, installation)
    return slot_routing


def cluster_extensions(slot_routing: SlotRouting | None) -> Extensions:
    """The extensions of a router that has cluster support and no other subsystem."""
    if slot_routing is None:
        return Extensions()
    return Extensions(
        routing_constraints=(slot_routing,),
        redirect_observers=(slot_routing,),
        server_codec=slot_routing.codec,
    )


def slot_routing_of(service: Service) -> SlotRouting | None:
    """The slot routing of a running service; None if its servers are not in cluster mode."""
    constraints = service.extensions.routing_constraints
    return next((constraint for constraint in constraints if isinstance(constraint, SlotRouting)), None)


def cluster_extension_builder(installation: Installation) -> ExtensionBuilder:
    """The function that builds the extensions of a service without other subsystems."""
    return lambda service, nursery: cluster_extensions(build_cluster(service, nursery, installation))


def add_slot_routing(service: Service, nursery: trio.Nursery, read_from_replicas: bool) -> SlotRouting:
    """Add the routing of attempts to cluster-mode servers; starts the task that keeps its slot map."""
    endpoints = service.dispatcher.router.endpoints

    def endpoint_state(ident: int) -> EndpointState | None:
        endpoint = endpoints.get(ident)
        return endpoint.state if endpoint is not None else None

    slot_map_tracker = SlotMapTracker(service.configuration.settings.deployment.seed, service.clock())
    slot_routing = SlotRouting(
        slot_map_tracker, service.pool, service.timers, endpoint_state, read_from_replicas
    )
    nursery.start_soon(slot_routing.run)
    return slot_routing


def add_front(service: Service, nursery: trio.Nursery, installation: Installation) -> ClusterClientServer:
    """Add a front that listens for clients of the cluster protocol."""
    configuration, config = service.configuration, front_config_of(installation)
    listen_address = address(installation.cluster.listen, "cluster.listen")
    sock = listener(listen_address, BACKLOG)
    client_server = ClusterClientServer(
        configuration.settings,
        service.lifecycle,
        service.dispatcher,
        int(configuration.sockets * CLIENT_SHARE) // 2,
        configuration.memory // 2,
        nursery,
        config,
        service.clients.admission_control,
    )
    service.fronts.append(Front(client_server, sock))
    log_start(config, listen_address)
    return client_server
