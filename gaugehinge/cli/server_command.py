"""`gaugehinge server`: operators' orders over cache servers."""

from __future__ import annotations

import click

from .api_options import ApiOptions, api_client, api_options, pass_api, print_rows

COLUMNS = ("server", "order", "revision")


@click.group("server", epilog="Example: gaugehinge server drain c-7")
@api_options
def command() -> None:
    """Drain cache servers at all routers that follow the control plane, and leave them to discovery again.

    An order stands until it is taken back, also when the server ends and returns.
    """


@command.command("list")
@pass_api
def list_all(options: ApiOptions) -> None:
    """Orders that stand."""
    with api_client(options) as client:
        rows = client.call("GET", "/v1/servers").body["servers"]
    print_rows(rows, COLUMNS, options.as_json)


@command.command("drain")
@click.argument("server")
@pass_api
def drain(options: ApiOptions, server: str) -> None:
    """Nothing new to it."""
    _order(options, server, "drain")


@command.command("restore")
@click.argument("server")
@pass_api
def restore(options: ApiOptions, server: str) -> None:
    """As discovery says."""
    _order(options, server, "restore")


def _order(options: ApiOptions, server: str, order: str) -> None:
    with api_client(options) as client:
        made = client.call("POST", f"/v1/servers/{server}/{order}").body
    print_rows([made], COLUMNS, options.as_json)
