"""The control plane as a process: the API on a listener of its own, snapshots, tombstones and extensions."""

from __future__ import annotations

import signal
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, cast

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from loguru import logger

from ..store.async_store import AsyncStore
from ..store.errors import DiskFullError
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher
from .app import Api
from .config import ControlPlaneConfig
from .control_plane import ControlPlane
from .extension import Extension
from .http import MAX_BODY_SIZE
from .tombstones import run_tombstone_sweeper

if TYPE_CHECKING:
    from hypercorn.typing import Framework

SHUTDOWN_GRACE = 5.0  # seconds for calls in progress, once the process was asked to stop
MAX_HEAD_SIZE = 16 * 1024  # bytes of a request's head, and of a frame of HTTP/2
ATTEMPTS_SEED = 1

ExtensionFactory = Callable[[ControlPlane], Extension]


async def run_control_plane(
    config: ControlPlaneConfig,
    hasher: SecretHasher | None = None,
    extensions: Sequence[ExtensionFactory] = (),
) -> None:
    """Serve the API until the process gets SIGTERM or SIGINT.

    Args:
        config: The configuration file.
        hasher: Checks and makes secrets; None: one with the figures meant for production.
        extensions: Make the extensions that the configuration switched on.

    Raises:
        StoreUnusableError: The store's file is not whole; nothing was served.
    """
    store_writer = AsyncStore(config.store)
    try:
        control_plane = await _prepare(config, store_writer, hasher or SecretHasher(), extensions)
        await _serve(config, control_plane)
        await _take_last_snapshot(store_writer)
    finally:
        store_writer.close()


async def _prepare(
    config: ControlPlaneConfig,
    store_writer: AsyncStore,
    hasher: SecretHasher,
    extensions: Sequence[ExtensionFactory],
) -> ControlPlane:
    """The control plane on its store; prints the secret of the first operator if it has just been made."""
    control_plane = ControlPlane(store_writer, hasher, AttemptLimiter(ATTEMPTS_SEED, store_writer.clock()))
    control_plane.tenants.incarnation_floor = max(config.numbers_above, int(store_writer.clock()))
    secret = await control_plane.operators.create_first()
    await control_plane.prepare()
    if config.leases.on:
        control_plane.leases.enable(float(config.leases.time))
    control_plane.extensions += [extension(control_plane) for extension in extensions]
    if secret is not None:
        print(f"operator root, shown this once: {secret}", flush=True)
    return control_plane


async def _serve(config: ControlPlaneConfig, control_plane: ControlPlane) -> None:
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for number in signals:
                    logger.info("control plane stops on signal {}", number)
                    stop.set()

            nursery.start_soon(stop_on_signal)
            nursery.start_soon(control_plane.store_writer.run_maintenance)
            nursery.start_soon(run_tombstone_sweeper, control_plane)
            for extension in control_plane.extensions:
                nursery.start_soon(extension.run)
            revision = control_plane.store_writer.revision
            logger.info("control plane of {} at {}: revision {}", config.store, config.listen, revision)
            app = cast("Framework", Api(control_plane).app())
            await serve(app, _listener(config), shutdown_trigger=stop.wait)
            nursery.cancel_scope.cancel()


def _listener(config: ControlPlaneConfig) -> Config:
    listener = Config()
    listener.bind = [config.listen]
    listener.keep_alive_timeout = float(config.keep_alive)
    listener.h11_max_incomplete_size = MAX_HEAD_SIZE
    listener.h2_max_inbound_frame_size = MAX_HEAD_SIZE
    listener.wsgi_max_body_size = MAX_BODY_SIZE
    listener.graceful_timeout = SHUTDOWN_GRACE
    listener.accesslog = listener.errorlog = None
    return listener


async def _take_last_snapshot(store_writer: AsyncStore) -> None:
    try:
        await store_writer.take_snapshot()
    except (
        OSError,
        DiskFullError,
    ) as error:  # the process still stops in order: the store is complete
        logger.error("no snapshot: {}", error)
