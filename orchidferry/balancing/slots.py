"""Disruption budgets: which members may be out of service at once, by slots that a majority grants.

The table is the body of a `register.Value`: immutable data, changed by the functions here, each of which
returns the table after the change, the very same table if there is nothing to change, or, as a string, why
the change is refused. Safety before progress:

- a slot counts from the moment in which it is granted until it is released, whatever is heard of its holder:
  it does not expire;
- it is released only if its member is observed serving again, by another process than the one that went out,
  by a majority of the voters (each says so itself, see `objection`), or by an operator, who is warned of the
  risk;
- a member that is out without a slot counts against the same budgets, by what each voter observes;
- each grant has a fencing token, and whoever acts on a grant compares it (`FencingGate`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import Enum

from orchidferry.balancing.register import Value

ROUNDING = 1e-9  # of a share
MAX_IDS = 256  # of finished changes, which are recognised if they are asked for again


class Kind(Enum):
    """What kind of member may be out."""

    NODE = "node"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class Member:
    """A member that serves, whichever process runs it."""

    kind: Kind
    name: str
    tier: str = ""
    zone: str = ""
    pool: str = ""


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """How many of the members that match may be out at once. Empty fields match all.

    :param max_out: the count; None for no limit by count.
    :param max_share: of the members that match, rounded down, one at least; None for no limit by share.
    """

    kind: Kind
    tier: str = ""
    zone: str = ""
    pool: str = ""
    max_out: int | None = None
    max_share: float | None = None

    def matches(self, member: Member) -> bool:
        """Whether a member counts against this budget."""
        return member.kind is self.kind and all(
            expected in ("", actual)
            for expected, actual in (
                (self.tier, member.tier),
                (self.zone, member.zone),
                (self.pool, member.pool),
            )
        )

    def limit(self, members: Iterable[Member]) -> int:
        """Return how many members may be out; the stricter of count and share.

        :param members: all members.
        """
        limits = [self.max_out] if self.max_out is not None else []
        if self.max_share is not None:
            count = sum(self.matches(member) for member in members)
            limits.append(max(1, math.floor(self.max_share * count + ROUNDING)))
        return min(limits, default=0)

    def __str__(self) -> str:
        where = " ".join(part for part in (self.tier, self.zone, self.pool) if part)
        return f"{self.kind.value}s{' of ' + where if where else ''}"


@dataclass(frozen=True, slots=True)
class Slot:
    """A member that may be out, or may have been for all that is known.

    :param token: the fencing token of the grant.
    :param holder: who asked for the slot, and acts on it.
    :param id: of the request.
    :param process: the process that went out, as its peers know it: another one has to come back.
    """

    token: int
    member: Member
    holder: str
    id: str
    process: str = ""


@dataclass(frozen=True, slots=True)
class SlotTable:
    """What the voters have agreed on.

    :param members: all members, as they are declared.
    :param token: the last fencing token that was granted.
    :param done: ids of the last changes.
    :param forced: the last slots that operators released, and who did.
    """

    members: tuple[Member, ...]
    budgets: tuple[DisruptionBudget, ...]
    slots: tuple[Slot, ...] = ()
    token: int = 0
    done: tuple[str, ...] = ()
    forced: tuple[str, ...] = ()

    def slot(self, member: Member) -> Slot | None:
        """Return the slot of a member; None if it has none."""
        return next((slot for slot in self.slots if slot.member == member), None)


def exceeded_budget(table: SlotTable, out: Iterable[Member], candidate: Member) -> str:
    """Find the budget that a candidate would exceed. Members of two zones are never out at once.

    :param out: the members that are out without a slot.
    :returns: the reason for which the candidate may not go out; "" if it may.
    """
    gone = {*out, *(slot.member for slot in table.slots)} - {candidate}
    for budget in table.budgets:
        if not budget.matches(candidate):
            continue
        count = sum(budget.matches(member) for member in gone)
        limit = budget.limit(table.members)
        if count + 1 > limit:
            return f"{count} of {limit} {budget} are out already"
    zones = {
        member.zone for member in gone if member.kind is candidate.kind and member.tier == candidate.tier
    }
    if candidate.zone and (others := zones - {candidate.zone, ""}):
        kind = candidate.kind.value
        return f"{kind}s of zone {sorted(others)[0]} are out already, and this is zone {candidate.zone}"
    return ""


def grant(
    table: SlotTable, member: Member, holder: str, id: str, process: str = "", out: Iterable[Member] = ()
) -> SlotTable | str:
    """Grant a slot, with the next fencing token; nothing changes if the request with that id has it already.

    :param holder: who asks, and acts.
    :param id: of the request.
    :param process: the process that goes out.
    :param out: the members that are out without a slot.
    """
    granted = table.slot(member)
    if granted is not None:
        if granted.id == id:
            return table
        return f"{member.name} is out already, by {granted.holder}"
    if id in table.done:
        return "that slot was given back since"
    if member not in table.members:
        return f"{member.name} is no declared place"
    if why := exceeded_budget(table, out, member):
        return why
    slot = Slot(table.token + 1, member, holder, id, process)
    return replace(table, slots=(*table.slots, slot), token=slot.token)


def release(table: SlotTable, token: int) -> SlotTable | str:
    """Release a slot. Whether there is enough evidence for it, the voters say (see `objection`)."""
    slot = next((slot for slot in table.slots if slot.token == token), None)
    if slot is None:
        return table if 0 < token <= table.token else f"no token {token} was ever given"
    remaining = tuple(other for other in table.slots if other.token != token)
    return replace(table, slots=remaining, done=(*table.done, slot.id)[-MAX_IDS:])


def force_release(table: SlotTable, token: int, operator: str, id: str) -> SlotTable | str:
    """Release a slot on an operator's word, without evidence; the table lists it.

    :param id: of the request.
    """
    if id in table.done:
        return table
    after = release(table, token)
    if isinstance(after, str):
        return after
    if after is table:
        return f"token {token} is given back already"
    line = f"{operator} gave back token {token}"
    return replace(after, forced=(*after.forced, line)[-MAX_IDS:], done=(*after.done, id)[-MAX_IDS:])


@dataclass(frozen=True, slots=True)
class OutageIntent:
    """Asks the voters whether a member may go out."""

    member: Member


@dataclass(frozen=True, slots=True)
class ReturnIntent:
    """Asks the voters whether the member of a slot serves again.

    :param token: of the slot.
    :param process: the process that went out.
    """

    token: int
    member: Member
    process: str


ObservedProcess = Callable[[Member], str]  # the process that serves as a member, as observed; "" for none


def objection(table: SlotTable, intent: OutageIntent | ReturnIntent, observed: ObservedProcess) -> str:
    """Say why one voter objects to an intent, by what it observes itself; "" if it does not."""
    match intent:
        case OutageIntent():
            out = [member for member in table.members if member != intent.member and not observed(member)]
            why = exceeded_budget(table, out, intent.member)
            return f"by what it sees, {why}" if why else ""
        case ReturnIntent():
            process = observed(intent.member)
            if not process:
                return f"{intent.member.name} is not seen serving"
            if process == intent.process:
                return f"{intent.member.name} is still the process that was to go out"
            return ""


def with_table(value: Value, table: SlotTable | str) -> Value | str:
    """Return the state with another table, for a change of `proposer.Proposer.ask`."""
    if isinstance(table, str) or table is value.body:
        return table if isinstance(table, str) else value
    return replace(value, version=value.version + 1, body=table)


class FencingGate:
    """Checks fencing tokens where a grant is acted on: one older than was seen before is refused."""

    def __init__(self) -> None:
        self._highest: dict[tuple[Kind, str], int] = {}

    def check(self, member: Member, token: int) -> str:
        """Check a token.

        :returns: why it is refused; "" if it is not.
        """
        key = (member.kind, member.name)
        if token < self._highest.get(key, 0):
            return f"token {token} is older than {self._highest[key]}, which was seen here"
        self._highest[key] = token
        return ""
