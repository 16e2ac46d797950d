"""Who may be out: places, bounds, and slots that are granted by a majority and come back on evidence alone.

The table is the body of a `register.Value`: pure data, changed by the functions here, each of which gives the
table after it, the very table where it is done already, or a line that says why not. Safety before progress:

- a slot counts from the moment in which it is granted until it is given back, whatever is or isn't heard of
  its holder: no time ends it;
- it is given back only where its place is seen serving again, by another process than the one that went out,
  by a majority of the voters (each says so itself, see `objection`), or by an operator, who is told what that
  risks;
- what is out by itself counts against the same bounds, by what each voter sees;
- each grant has a token that only rises, and whoever acts on one compares it (`Gate`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from orchidferry.balancing.register import Value

MAX_IDS = 256  # of changes done, that are known again if they are asked for again


class Kind(Enum):
    """What may be out."""

    NODE = "node"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class Place:
    """Something that serves, whichever process of it."""

    kind: Kind
    name: str
    tier: str = ""
    zone: str = ""
    pool: str = ""


@dataclass(frozen=True, slots=True)
class Bound:
    """So many of those that fit may be out at once. Empty fields fit all."""

    kind: Kind
    tier: str = ""
    zone: str = ""
    pool: str = ""
    most: int | None = None
    share: float | None = None  # of those that fit, rounded down, one at least

    def fits(self, place: Place) -> bool:
        return place.kind is self.kind and all(
            wanted in ("", has)
            for wanted, has in (
                (self.tier, place.tier),
                (self.zone, place.zone),
                (self.pool, place.pool),
            )
        )

    def limit(self, places: Iterable[Place]) -> int:
        """How many that comes to; the stricter of count and share."""
        limits = [self.most] if self.most is not None else []
        if self.share is not None:
            count = sum(self.fits(place) for place in places)
            limits.append(max(1, math.floor(self.share * count + 1e-9)))
        return min(limits, default=0)

    def __str__(self) -> str:
        where = " ".join(part for part in (self.tier, self.zone, self.pool) if part)
        return f"{self.kind.value}s{' of ' + where if where else ''}"


@dataclass(frozen=True, slots=True)
class Slot:
    """A place that may be out, or may have been for all that is known."""

    token: int
    place: Place
    holder: str  # who asked, and acts
    id: str  # of its asking
    was: str = ""  # the process that went out, as its peers know it: another one has to come back


@dataclass(frozen=True, slots=True)
class Table:
    """What is agreed. `places`: all that there are, declared."""

    places: tuple[Place, ...]
    bounds: tuple[Bound, ...]
    slots: tuple[Slot, ...] = ()
    token: int = 0  # the last that was given
    done: tuple[str, ...] = field(default=())  # ids of the last changes
    forced: tuple[str, ...] = field(default=())  # what operators gave back, and who

    def slot(self, place: Place) -> Slot | None:
        return next((slot for slot in self.slots if slot.place == place), None)


def over(table: Table, out: Iterable[Place], more: Place) -> str:
    """Which bound `more` would break beside those that are out, or "". Two zones are never out at once."""
    gone = {*out, *(slot.place for slot in table.slots)} - {more}
    for bound in table.bounds:
        if not bound.fits(more):
            continue
        there = sum(bound.fits(place) for place in gone)
        limit = bound.limit(table.places)
        if there + 1 > limit:
            return f"{there} of {limit} {bound} are out already"
    zones = {place.zone for place in gone if place.kind is more.kind and place.tier == more.tier}
    if more.zone and (others := zones - {more.zone, ""}):
        return f"{more.kind.value}s of zone {sorted(others)[0]} are out already, and this is zone {more.zone}"
    return ""


def grant(
    table: Table, place: Place, holder: str, id: str, was: str = "", out: Iterable[Place] = ()
) -> Table | str:
    """Give a slot, with the next token; the same table if that id has it already."""
    held = table.slot(place)
    if held is not None:
        if held.id == id:
            return table
        return f"{place.name} is out already, by {held.holder}"
    if id in table.done:
        return "that slot was given back since"
    if place not in table.places:
        return f"{place.name} is no declared place"
    if why := over(table, out, place):
        return why
    slot = Slot(table.token + 1, place, holder, id, was)
    return replace(table, slots=(*table.slots, slot), token=slot.token)


def give_back(table: Table, token: int) -> Table | str:
    """End a slot; whether there is evidence enough, the voters say."""
    slot = next((slot for slot in table.slots if slot.token == token), None)
    if slot is None:
        return table if 0 < token <= table.token else f"no token {token} was ever given"
    left = tuple(one for one in table.slots if one.token != token)
    return replace(table, slots=left, done=(*table.done, slot.id)[-MAX_IDS:])


def force(table: Table, token: int, who: str, id: str) -> Table | str:
    """An operator's word in place of evidence: kept, and shown."""
    if id in table.done:
        return table
    after = give_back(table, token)
    if isinstance(after, str) or after is table:
        return after if isinstance(after, str) else f"token {token} is given back already"
    note = f"{who} gave back token {token}"
    return replace(after, forced=(*after.forced, note)[-MAX_IDS:], done=(*after.done, id)[-MAX_IDS:])


# Intents, that voters are asked about


@dataclass(frozen=True, slots=True)
class WantsOut:
    """A place is to go out."""

    place: Place


@dataclass(frozen=True, slots=True)
class SaysBack:
    """A slot's place is said to serve again."""

    token: int
    place: Place
    was: str


Seen = Callable[[Place], str]  # the process that is seen serving there, as its peers know it; "" for none


def objection(table: Table, intent: WantsOut | SaysBack, seen: Seen) -> str:
    """What one voter thinks of an intent, by what it sees itself."""
    match intent:
        case WantsOut():
            out = [place for place in table.places if place != intent.place and not seen(place)]
            why = over(table, out, intent.place)
            return f"by what it sees, {why}" if why else ""
        case SaysBack():
            now = seen(intent.place)
            if not now:
                return f"{intent.place.name} is not seen serving"
            if now == intent.was:
                return f"{intent.place.name} is still the process that was to go out"
            return ""


def changed(value: Value, table: Table | str) -> Value | str:
    """The state with another table, for `proposer.Proposer.ask`."""
    if isinstance(table, str) or table is value.body:
        return table if isinstance(table, str) else value
    return replace(value, version=value.version + 1, body=table)


class Gate:
    """Where a token is acted on: an older one than was seen is refused there, whoever brings it."""

    def __init__(self) -> None:
        self._highest: dict[tuple[Kind, str], int] = {}

    def may(self, place: Place, token: int) -> str:
        """Why not, or ""."""
        key = place.kind, place.name
        if token < self._highest.get(key, 0):
            return f"token {token} is older than {self._highest[key]}, which was seen here"
        self._highest[key] = token
        return ""
