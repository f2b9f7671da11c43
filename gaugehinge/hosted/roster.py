"""Tenants as a router follows them, from the keeper's feed. No I/O, no clock of its own.

Each incarnation has a place in the routers' tables, the same at all of them. A place changes hands only after
every router said that it holds nothing of its bearer; what a table knew of it is emptied then.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isfinite

from ..routing.types import Tenant
from ..tenancy.credentials import Credential
from ..tenancy.feed import MAX_TENANTS, Feed, TenantRow
from ..tenancy.lifecycle import TenantStage


class BadFeed(ValueError):
    """The keeper told what makes no sense; as a call that failed."""


@dataclass(slots=True, eq=False)
class Bearer:
    """One incarnation. It leaves with the word that it is gone."""

    name: str
    incarnation: int
    place: int
    stage: TenantStage
    share: float
    allowance: float
    credentials: dict[str, Credential]
    keys: bytes  # before each key, as servers and origin see it
    marks: bytes  # before each mark and id
    row: TenantRow
    gone: bool = False

    def traffic_type(self, told: str) -> str | None:
        """The installation's name of one of its traffic types; None where it has none of that name."""
        return self.row.traffic_types.get(told) if self.row.traffic_types else told

    def why_not(self, credential: str, now: float) -> str:
        """Why an operation of a connection that came in by a credential is not taken; empty where it is."""
        kept = self.credentials.get(credential)
        if self.gone or kept is None or (kept.expires_at is not None and now >= kept.expires_at):
            return "authentication required"
        if self.stage is not TenantStage.ACTIVE:
            return f"tenant {self.stage.value}"
        return ""


@dataclass(slots=True, frozen=True)
class Change:
    """What the module is told."""

    tenants: tuple[Tenant, ...]
    anew: set[int]
    drained: frozenset[str] | None  # orders of operators, where they changed


@dataclass(slots=True, eq=False)
class Roster:
    """All bearers, by incarnation, place and credential."""

    revision: int = 0
    store: str = ""
    mark: str = ""  # of the revision, as it was told
    drained: frozenset[str] = frozenset()
    by_incarnation: dict[int, Bearer] = field(default_factory=dict)
    by_place: dict[int, Bearer] = field(default_factory=dict)
    by_credential: dict[str, Bearer] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)  # emptied by the driver

    @property
    def known(self) -> bool:
        """Whether anything was ever heard."""
        return bool(self.store)

    def hear(self, feed: Feed) -> Change | None:
        """Follow a feed; what the module is to be told, None where that is nothing. Raises BadFeed, and then
        nothing has changed."""
        bearers = [self._read(row) for row in feed.tenants]
        numbers = {bearer.incarnation for bearer in bearers}
        if len(numbers) != len(bearers) or not feed.store_id or feed.revision < 0:
            raise BadFeed("one incarnation told twice, or no store named")
        if not feed.complete and (feed.store_id != self.store or feed.revision < self.revision):
            raise BadFeed("changes of another store, or of the past")
        standing = {} if feed.complete else dict(self.by_incarnation)
        for number in feed.removed_incarnations:
            standing.pop(number, None)
        places = {bearer.place: bearer for bearer in standing.values() if bearer.incarnation not in numbers}
        for bearer in bearers:
            if bearer.place in places:
                raise BadFeed(f"place {bearer.place} told for two")
            places[bearer.place] = standing[bearer.incarnation] = bearer
        anew = {
            place
            for place, bearer in places.items()
            if (before := self.by_place.get(place)) is None
            or (before.incarnation, before.name) != (bearer.incarnation, bearer.name)
        }
        drained = frozenset(feed.drained_servers)
        orders = drained if drained != self.drained or not self.known else None
        same = not bearers and not feed.removed_incarnations and not feed.complete
        self._take(feed, standing, places)
        if same and orders is None:
            return None
        self.drained = drained
        return Change(self.tenants(), anew, orders)

    @staticmethod
    def _read(row: TenantRow) -> Bearer:
        if not 0 <= row.slot < MAX_TENANTS or row.incarnation < 1 or not row.name:
            raise BadFeed(f"tenant {row.name!r}: place or incarnation out of bounds")
        if not (isfinite(row.quota) and isfinite(row.rate_limit)) or min(row.quota, row.rate_limit) < 0.0:
            raise BadFeed(f"tenant {row.name!r}: a figure that is no share")
        try:
            stage = TenantStage(row.stage)
        except ValueError:
            raise BadFeed(f"tenant {row.name!r}: no such stage {row.stage!r}") from None
        number = row.incarnation
        return Bearer(
            row.name,
            number,
            row.slot,
            stage,
            row.quota,
            row.rate_limit,
            {each.credential_id: each for each in row.credentials},
            b"%x/" % number,
            b"%x." % number,
            row,
        )

    def _take(self, feed: Feed, standing: dict[int, Bearer], places: dict[int, Bearer]) -> None:
        for number, before in self.by_incarnation.items():
            after = standing.get(number)
            # Another store gives a number again. To bring the former bearer up to date would leave its name:
            # its tenant's own secret is then one of another tenant, and nobody is let in until a new start.
            if after is None or after.name != before.name:
                before.gone = True  # connections that came in as it hold it still
                self.log.append(f"tenant {before.name} #{number} gone at revision {feed.revision}")
            elif after is not before:
                if after.stage is not before.stage:
                    told = f"{before.stage.value} to {after.stage.value} at revision {feed.revision}"
                    self.log.append(f"tenant {after.name} #{number} {told}")
                # Connections hold the bearer that they came in as: it is brought up to date, not replaced.
                before.stage, before.place, before.row = after.stage, after.place, after.row
                before.share, before.allowance = after.share, after.allowance
                before.credentials = after.credentials
                standing[number] = places[after.place] = before
        self.by_incarnation, self.by_place = standing, places
        self.by_credential = {ident: bearer for bearer in standing.values() for ident in bearer.credentials}
        self.store, self.revision, self.mark = feed.store_id, feed.revision, feed.revision_digest

    def tenants(self) -> tuple[Tenant, ...]:
        """The table by place, as the module takes it; those that take nothing have no share."""
        size = max(self.by_place, default=0) + 1
        table = [Tenant(0.0, 0.0)] * size
        for place, bearer in self.by_place.items():
            if bearer.stage is TenantStage.ACTIVE:
                table[place] = Tenant(bearer.share, bearer.allowance)
        return tuple(table)

    def snapshot(self) -> Feed:
        """All of it, as a feed that `hear` takes."""
        rows = [bearer.row for bearer in self.by_incarnation.values()]
        return Feed(
            self.store, self.revision, True, rows, [], sorted(self.drained), revision_digest=self.mark
        )
