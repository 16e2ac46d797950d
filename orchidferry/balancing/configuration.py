"""The parts of a node's configuration that a control service sends, and the errors that refuse it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from orchidferry.balancing import interface as api
from orchidferry.errors import OrchidferryError


class Part(Enum):
    """A part of the configuration with a separate version, like a resource type of xDS."""

    MEMBERS = "members"  # the pools of servers (EDS)
    SETTINGS = "settings"  # the node's own settings, and the name of the pool that it sends to


class Source(Enum):
    """The origin of the applied configuration."""

    NONE = "nothing yet"
    FILE = "the node's own file"
    SAVED = "the last good one on disk"
    CONTROL = "the control service"


@dataclass(frozen=True, slots=True)
class Member:
    """A server of a pool, with its host and port."""

    entry: api.ServerEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Pools:
    """The members of each pool, by the name of the pool."""

    members: Mapping[str, tuple[Member, ...]]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The node's own settings, and the name of the pool that it sends to."""

    pool: str
    settings: api.Settings


Content = Pools | NodeSettings


@dataclass(frozen=True, slots=True)
class Configuration:
    """All parts, with the version of each; "" for a part that comes from the node's file."""

    pools: Pools
    node: NodeSettings
    versions: Mapping[Part, str] = field(default_factory=lambda: dict.fromkeys(Part, ""))

    def members(self) -> tuple[Member, ...]:
        """The members of the pool that the node sends to."""
        return self.pools.members.get(self.node.pool, ())


class VersionError(OrchidferryError):
    """A configuration that must not be applied; the text names the field at fault."""


class VersionMismatchError(VersionError):
    """Parts that don't match, although each may be valid with another version of the other."""
