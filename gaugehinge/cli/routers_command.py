"""`gaugehinge routers`: the routers that follow the control plane, and secrets for its API."""

from __future__ import annotations

import copy

import click

from .api_options import ApiOptions, api_client, api_options, pass_api, print_rows

ROLES = ["reader", "tenant", "operator", "router"]
COLUMNS = ("name", "heard", "revision", "behind", "in_hand")


@click.group(
    "routers", epilog="Example: gaugehinge routers secret routers --role router > /etc/gaugehinge/secret"
)
@api_options
def command() -> None:
    """Routers that follow the control plane, and secrets for its API."""


@command.command("list")
@pass_api
def list_all(options: ApiOptions) -> None:
    """Each router: when it reported, how far behind it is, its operations in flight by tenant."""
    with api_client(options) as client:
        rows = client.call("GET", "/v1/routers").body["routers"]
    if not options.as_json:
        for row in rows:
            row["in_hand"] = ", ".join(f"{name} {count}" for name, count in sorted(row["in_hand"].items()))
    print_rows(rows, COLUMNS, options.as_json)


@command.command("secret")
@click.argument("name")
@click.option("--role", type=click.Choice(ROLES), required=True)
@click.option("--tenant", default="", help="The only one that a secret of role `tenant` sees.")
@pass_api
def secret(options: ApiOptions, name: str, role: str, tenant: str) -> None:
    """A secret for the API, shown this once."""
    with api_client(options) as client:
        made = client.call("POST", "/v1/operators", {"name": name, "role": role, "tenant": tenant}).body
    click.echo(made["secret"])


def _add_former_name(name: str, subcommand: click.Command) -> None:
    """Let a subcommand also run by the name that it had before, without showing that in the help."""
    former = copy.copy(subcommand)
    former.hidden = True
    command.add_command(former, name)


_add_former_name("routers", list_all)
