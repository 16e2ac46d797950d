"""The configuration of a node that a control service sends: its parts, and why it may be refused."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from orchidferry.balancing import interface as api
from orchidferry.errors import OrchidferryError


class Part(Enum):
    """What has a version of its own, as a resource type of xDS has."""

    MEMBERS = "members"  # pools of servers (EDS)
    SETTINGS = "settings"  # the node's own, and the pool that it sends to


class Source(Enum):
    """Where the applied configuration came from."""

    NONE = "nothing yet"
    FILE = "the node's own file"
    SAVED = "the last good one on disk"
    CONTROL = "the control service"


@dataclass(frozen=True, slots=True)
class Member:
    """A server of a pool, and its address."""

    entry: api.ServerEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Pools:
    """All pools by name."""

    members: Mapping[str, tuple[Member, ...]]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The node's own settings, and the pool that it sends to."""

    pool: str
    settings: api.Settings


Content = Pools | NodeSettings


@dataclass(frozen=True, slots=True)
class Configuration:
    """All parts, with the version of each ('' where it came from the node's file)."""

    pools: Pools
    node: NodeSettings
    versions: Mapping[Part, str] = field(default_factory=lambda: dict.fromkeys(Part, ""))

    def members(self) -> tuple[Member, ...]:
        """The servers that the node sends to."""
        return self.pools.members.get(self.node.pool, ())


class VersionError(OrchidferryError):
    """A configuration that must not be applied; the text names the field."""


class VersionMismatchError(VersionError):
    """Parts that don't match: each may be valid with another version of the other."""
