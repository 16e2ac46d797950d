"""Checks of a configuration before it is applied, and the server list that results from it."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import replace

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import (
    Configuration,
    Member,
    NodeSettings,
    Pools,
    VersionError,
    VersionMismatchError,
)

MAX_NAMES = 1_024  # class names since the start of a node, which keeps the strictest rules of each
MAX_CLASSES = 256
MAX_TENANTS = 10_000
MAX_MEMBERS = 40_000
MAX_POOLS = 64
SHARES_SLACK = 1e-6  # tolerance for a sum of shares, which are written as decimals
# Settings that can't change while a node runs: its position among its siblings, and inputs of its state
FIXED_SETTINGS = (
    "nodes",
    "number",
    "tier",
    "tiers",
    "zone",
    "follow_list",
    "tick_ms",
    "resend_span_ms",
    "full_may_have_run",
    "passes_deadline",
)
# Rules that the service may make stricter than the node's file, but not looser: whether higher is stricter
HIGHER_IS_STRICTER = {
    "drain_grace_ms": False,
    "start_capacity": False,
    "ramp_time_ms": True,
    "overload_factor": False,
    "overload_for_ms": False,
    "max_attempts": False,
    "answer_slack_ms": False,
    "extra_floor": False,
}
STRICTNESS = {api.Repeat.SAFE: 0, api.Repeat.KEYED: 1, api.Repeat.UNSAFE: 2}
# How narrow the group of servers is that deduplicates repeated requests among its members
NARROWNESS = {
    api.Group.ALL: 0,
    api.Group.ZONE: 1,
    api.Group.CELL: 2,
}


def check_members(pools: Pools) -> None:
    """Check the pools on their own.

    :raises VersionError: there are too many pools or members, or a member is invalid
    """
    if len(pools.members) > MAX_POOLS:
        raise VersionError(f"{len(pools.members)} pools, {MAX_POOLS} at most")
    if sum(map(len, pools.members.values())) > MAX_MEMBERS:
        raise VersionError(f"{sum(map(len, pools.members.values()))} members, {MAX_MEMBERS} at most")
    for name, members in pools.members.items():
        seen: set[int] = set()
        for index, member in enumerate(members):
            if member.entry.server in seen:
                raise VersionError(f"pool {name!r}: member {index} is there twice")
            seen.add(member.entry.server)
            if not 0.0 <= member.entry.share < math.inf:
                raise VersionError(
                    f"pool {name!r}: member {index}: share {member.entry.share} is out of range"
                )


def check_settings(node: NodeSettings, strictest: Mapping[str, api.RequestClass], file: api.Settings) -> None:
    """Check the new settings of a node against those of its file.

    :param node: the new settings
    :param strictest: the strictest form of each class that was ever applied, by name
    :param file: the settings of the node's file
    :raises VersionError: a setting is fixed but differs, is out of range, or is looser than in the file
    """
    new = node.settings
    if len(new.classes) > MAX_CLASSES:
        raise VersionError(f"classes: {len(new.classes)}, {MAX_CLASSES} at most")
    if len(new.tenants) > MAX_TENANTS:
        raise VersionError(f"tenants: {len(new.tenants)}, {MAX_TENANTS} at most")
    total = sum(tenant.share for tenant in new.tenants)
    if total > 1.0 + SHARES_SLACK:
        raise VersionError(f"tenants: shares add up to {total:g}, over 1")
    _check_fixed_and_rules(new, file)
    if len(strictest.keys() | {cls.name for cls in new.classes}) > MAX_NAMES:
        raise VersionError(f"classes: more than {MAX_NAMES} names since the start need a restart")
    for cls in new.classes:
        if (known := strictest.get(cls.name)) is not None:
            _check_class(cls, known)


def _check_fixed_and_rules(new: api.Settings, file: api.Settings) -> None:
    for name in FIXED_SETTINGS:
        if getattr(new, name) != getattr(file, name):
            raise VersionError(f"{name}: {getattr(file, name)!r} to {getattr(new, name)!r} needs a restart")
    for name, higher_is_stricter in HIGHER_IS_STRICTER.items():
        file_value = getattr(file, name)
        new_value = getattr(new, name)
        if new_value < file_value if higher_is_stricter else new_value > file_value:
            raise VersionError(f"{name}: {new_value:g} is looser than the {file_value:g} of the node's file")
    if file.repeat_ratio is not None and (new.repeat_ratio is None or new.repeat_ratio > file.repeat_ratio):
        raise VersionError(
            f"repeat_ratio: {new.repeat_ratio} is looser than the {file.repeat_ratio:g} of the node's file"
        )


def _check_class(cls: api.RequestClass, known: api.RequestClass) -> None:
    """Check that a class is not looser than its strictest form so far."""
    if STRICTNESS[cls.repeat] < STRICTNESS[known.repeat]:
        raise VersionError(
            f"classes[{cls.name}].repeat: {cls.repeat.value} is looser than {known.repeat.value}"
        )
    if cls.repeat is known.repeat is api.Repeat.KEYED:
        if NARROWNESS[cls.group] < NARROWNESS[known.group]:
            raise VersionError(
                f"classes[{cls.name}].group: {cls.group.value} is wider than {known.group.value}"
            )
        if cls.window_ms > known.window_ms:
            raise VersionError(
                f"classes[{cls.name}].window_ms: {cls.window_ms:g} is longer than {known.window_ms:g}"
            )


def check_parts_match(configuration: Configuration) -> None:
    """Check that the parts match each other.

    :raises VersionMismatchError: the node's pool does not exist or has no server in service
    """
    pool = configuration.node.pool
    if pool not in configuration.pools.members:
        raise VersionMismatchError(
            f"pool: {pool!r} is none of {', '.join(sorted(configuration.pools.members)) or 'no pools'}"
        )
    if not any(m.entry.health is api.Health.IN_SERVICE for m in configuration.members()):
        raise VersionMismatchError(f"pool {pool!r}: names no live server")


def drained(before: Configuration, after: Configuration) -> tuple[int, ...]:
    """The servers that were in service before and are now draining, gone or no longer listed."""
    live = {m.entry.server for m in after.members() if m.entry.health is api.Health.IN_SERVICE}
    return tuple(
        m.entry.server
        for m in before.members()
        if m.entry.health is api.Health.IN_SERVICE and m.entry.server not in live
    )


def merged(control: Sequence[Member], discovery: Mapping[int, api.Health]) -> list[api.ServerEntry]:
    """The server list of a node that has a discovery service as well as a control service.

    The control service determines the members and their shares. Discovery is the first to know that a
    server's process is ending: a server that it lists as draining or gone gets no new requests, even if the
    control service lists it as in service, but not the other way round. A server that only discovery lists is
    not a member.

    :param control: the members according to the control service
    :param discovery: the health of each server according to discovery
    """
    entries = []
    for member in control:
        discovered = discovery.get(member.entry.server, api.Health.IN_SERVICE)
        if discovered is not api.Health.IN_SERVICE and member.entry.health is api.Health.IN_SERVICE:
            entries.append(replace(member.entry, health=discovered))
        else:
            entries.append(member.entry)
    return entries
