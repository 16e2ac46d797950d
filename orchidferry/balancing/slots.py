"""Disruption budgets: limits on the members that may be out of service at once, enforced by slots. No I/O.

A majority of voters grants the slots. The table of slots is the body of a `register.Value`. It is immutable;
each function here that changes it returns the new table, the identical table if there is nothing to change,
or the reason for a refusal as a string. Safety takes precedence over progress:

- a slot counts from its grant until its release, whatever becomes of its holder: it does not expire;
- a slot is released only if a majority of the voters observe that its member is serving again from another
  process than the one that went out (each voter decides by its own observation, see `objection`), or by an
  operator, who is warned of the risk;
- a member that is out without a slot counts against the same budgets, according to each voter's observation;
- each grant has a fencing token, which is checked wherever the grant is acted on (`FencingGate`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import Enum

from orchidferry.balancing.register import Value

ROUNDING = 1e-9  # tolerance for a share
MAX_IDS = 256  # ids of recent changes that are kept, to recognise repeated requests


class Kind(Enum):
    """The kind of a member."""

    NODE = "node"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the service, independent of the process that currently runs it."""

    kind: Kind
    name: str
    tier: str = ""
    zone: str = ""
    pool: str = ""


@dataclass(frozen=True, slots=True)
class DisruptionBudget:
    """A limit on the matching members that may be out at once. Empty fields match all members.

    :param kind: the kind of member that the budget limits.
    :param tier: the tier that a member must have to match.
    :param zone: the zone that a member must have to match.
    :param pool: the pool that a member must have to match.
    :param max_out: the greatest number of members out; None for no limit by number.
    :param max_share: the greatest share of the matching members, rounded down but at least one member; None
        for no limit by share.
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
        """Return the number of members that may be out: the stricter of the limits by number and by share.

        :param members: all members.
        """
        limits = [self.max_out] if self.max_out is not None else []
        if self.max_share is not None:
            count = sum(self.matches(member) for member in members)
            limits.append(max(1, math.floor(self.max_share * count + ROUNDING)))
        return min(limits, default=0)

    def __str__(self) -> str:
        scope = " ".join(part for part in (self.tier, self.zone, self.pool) if part)
        return f"{self.kind.value}s{' of ' + scope if scope else ''}"


@dataclass(frozen=True, slots=True)
class Slot:
    """Permission for a member to be out; while the slot exists, the member has to be assumed out.

    :param token: the fencing token of the grant.
    :param member: the member that may be out.
    :param holder: the name of the actor that requested the slot and acts on it.
    :param id: the id of the request.
    :param process: the process that goes out, as its peers identify it; a different one has to come back.
    """

    token: int
    member: Member
    holder: str
    id: str
    process: str = ""


@dataclass(frozen=True, slots=True)
class SlotTable:
    """The members, budgets and slots that the voters have agreed on.

    :param members: all declared members.
    :param budgets: all budgets.
    :param slots: the slots that are granted and not released.
    :param token: the last fencing token that was granted.
    :param done: the ids of recent changes.
    :param forced: lines that name the recent slots released by operators, and the operators.
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
    """Find a budget that a candidate would exceed. Members of two zones may never be out at once.

    :param out: the members that are out without a slot.
    :param candidate: the member that is to go out.
    :returns: the reason why the candidate may not go out; "" if it may.
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
    """Grant a slot with the next fencing token; the table is unchanged if this request has the slot already.

    :param member: the member that is to go out.
    :param holder: the name of the actor that requests the slot and acts on it.
    :param id: the id of the request.
    :param process: the process that goes out.
    :param out: the members that are out without a slot.
    """
    granted = table.slot(member)
    if granted is not None:
        if granted.id == id:
            return table
        return f"{member.name} is out already, by {granted.holder}"
    if id in table.done:
        return "that slot has been released since"
    if member not in table.members:
        return f"{member.name} is not a declared member"
    if refusal := exceeded_budget(table, out, member):
        return refusal
    slot = Slot(table.token + 1, member, holder, id, process)
    return replace(table, slots=(*table.slots, slot), token=slot.token)


def release(table: SlotTable, token: int) -> SlotTable | str:
    """Release a slot. The voters judge whether there is enough evidence for it (see `objection`)."""
    slot = next((slot for slot in table.slots if slot.token == token), None)
    if slot is None:
        return table if 0 < token <= table.token else f"no token {token} was ever granted"
    remaining = tuple(other for other in table.slots if other.token != token)
    return replace(table, slots=remaining, done=(*table.done, slot.id)[-MAX_IDS:])


def force_release(table: SlotTable, token: int, operator: str, id: str) -> SlotTable | str:
    """Release a slot on an operator's request, without evidence; the table records it.

    :param operator: the name of the operator.
    :param id: the id of the request.
    """
    if id in table.done:
        return table
    after = release(table, token)
    if isinstance(after, str):
        return after
    if after is table:
        return f"token {token} is released already"
    line = f"{operator} released token {token}"
    return replace(after, forced=(*after.forced, line)[-MAX_IDS:], done=(*after.done, id)[-MAX_IDS:])


@dataclass(frozen=True, slots=True)
class OutageIntent:
    """Asks the voters whether a member may go out."""

    member: Member


@dataclass(frozen=True, slots=True)
class ReturnIntent:
    """Asks the voters whether the member of a slot serves again.

    :param token: the fencing token of the slot.
    :param member: the member of the slot.
    :param process: the process that went out.
    """

    token: int
    member: Member
    process: str


ObservedProcess = Callable[[Member], str]  # the process observed to serve as a member; "" if there is none


def objection(table: SlotTable, intent: OutageIntent | ReturnIntent, observed: ObservedProcess) -> str:
    """The reason why a voter objects to an intent, given its own observations; "" if it does not object."""
    match intent:
        case OutageIntent():
            out = [member for member in table.members if member != intent.member and not observed(member)]
            refusal = exceeded_budget(table, out, intent.member)
            return f"as observed here, {refusal}" if refusal else ""
        case ReturnIntent():
            process = observed(intent.member)
            if not process:
                return f"{intent.member.name} is not observed serving"
            if process == intent.process:
                return f"{intent.member.name} is still served by the process that was to go out"
            return ""


def with_table(value: Value, table: SlotTable | str) -> Value | str:
    """Return the value with another table, as the result of a change passed to `proposer.Proposer.ask`."""
    if isinstance(table, str) or table is value.body:
        return table if isinstance(table, str) else value
    return replace(value, version=value.version + 1, body=table)


class FencingGate:
    """Refuses fencing tokens older than the newest one seen for a member."""

    def __init__(self) -> None:
        self._highest: dict[tuple[Kind, str], int] = {}

    def check(self, member: Member, token: int) -> str:
        """Check a token.

        :returns: the reason for a refusal; "" if the token is accepted.
        """
        key = (member.kind, member.name)
        if token < self._highest.get(key, 0):
            return f"token {token} is older than {self._highest[key]}, which was seen here before"
        self._highest[key] = token
        return ""
