"""`gaugehinge store`: backup, restore and verification of a store file."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import click

from .main import BadInput, Exit


@contextmanager
def _errors_as_bad_input(path: str) -> Iterator[None]:
    """Report an unusable store, or an I/O error on `path`, as one line with exit code 2."""
    from ..store.errors import StoreUnusableError

    try:
        yield
    except StoreUnusableError as error:
        raise BadInput(str(error)) from error
    except OSError as error:
        raise BadInput(f"{error.filename or path}: {error.strerror}") from error


@click.group("store", epilog="Example: gaugehinge store verify /var/lib/gaugehinge/store.db")
def command() -> None:
    """Look after the durable store."""


@command.command("verify")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def verify(file: str) -> None:
    """Look at every page, row and digest of a store or snapshot."""
    from ..store.store import Store

    with _errors_as_bad_input(file):
        store = Store(file, read_only=True)
        store.verify()
        contents = store.read_all()
    items = len(contents.items)
    click.echo(
        f"{file}: good: revision {contents.revision}, {items} things, log from {store.oldest_revision}"
    )


@command.command("backup")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("target", type=click.Path(dir_okay=False))
def backup(file: str, target: str) -> None:
    """Copy a store to TARGET while it is in use."""
    from ..store.store import Store

    with _errors_as_bad_input(file):
        store = Store(file, read_only=True)
    with _errors_as_bad_input(target):
        revision = store.backup(target)
    click.echo(f"{target}: revision {revision}")


@command.command("restore")
@click.argument("snapshot", type=click.Path(exists=True, dir_okay=False))
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--yes", is_flag=True, help="Do not ask, though a file stands there.")
def restore(snapshot: str, file: str, yes: bool) -> None:
    """Put a snapshot in a store's place, while nothing uses it; what stood there is kept as FILE.replaced."""
    from pathlib import Path

    from ..store.snapshots import restore as restore_snapshot

    if Path(file).exists() and not yes and not click.confirm(f"replace {file}?"):
        raise click.exceptions.Exit(Exit.BROKEN)
    with _errors_as_bad_input(snapshot):
        revision = restore_snapshot(snapshot, file)
    click.echo(f"{file}: revision {revision}")
