"""Optional features of a node, each enabled by an environment variable that names its settings file.

The modules of a feature, and the libraries that they need, are imported only if it is enabled.
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from orchidferry.node.config import Config, ConfigError

if TYPE_CHECKING:
    from orchidferry.balancing.pools import Rules
    from orchidferry.node.chain.settings import ChainSettings
    from orchidferry.node.control.settings import Control
    from orchidferry.node.fleet.shell import FleetMember
    from orchidferry.node.h3.settings import Http3
    from orchidferry.node.interfaces import Subsystem


@dataclass(frozen=True, slots=True)
class Extensions:
    """The settings of the enabled features; None for each disabled one."""

    http3: Http3 | None = None  # HTTP/3 with clients or servers
    control: Control | None = None  # configuration from a control service
    chain: ChainSettings | None = None  # the node's place in a chain of tiers
    pools: Rules | None = None  # pools of servers, and moves between them
    fleet: FleetMember | None = None  # membership among the nodes

    @property
    def subsystems(self) -> tuple[Subsystem, ...]:
        """The enabled features that run as subsystems of the node."""
        return (self.fleet,) if self.fleet is not None else ()


def read_extensions(config: Config, loop: asyncio.AbstractEventLoop) -> Extensions:
    """Read the settings files that environment variables name.

    :raises ConfigError: if a file can't be used or a library is not installed.
    """
    return Extensions(
        _read_http3(),
        _read_control(),
        _read_chain(),
        _read_pools(tuple(cls.name for cls in config.settings.classes)),
        _read_fleet(config.name, loop),
    )


def _missing(variable: str, problem: ImportError) -> ConfigError:
    return ConfigError(f"{variable} is set, but {problem.name} is not installed")


def _read_http3() -> Http3 | None:
    path = os.environ.get("ORCHIDFERRY_HTTP3")
    if not path:
        return None
    try:
        from orchidferry.node.h3 import settings
    except ImportError as problem:
        raise _missing("ORCHIDFERRY_HTTP3", problem) from None
    return settings.read_http3(path)


def _read_control() -> Control | None:
    path = os.environ.get("ORCHIDFERRY_CONTROL")
    if not path:
        return None
    try:
        from orchidferry.node.control import settings
    except ImportError as problem:
        raise _missing("ORCHIDFERRY_CONTROL", problem) from None
    return settings.read_control(path)


def _read_chain() -> ChainSettings | None:
    path = os.environ.get("ORCHIDFERRY_CHAIN")
    if not path:
        return None
    from orchidferry.node.chain import settings

    return settings.read_chain(path)


def _read_pools(classes: tuple[str, ...]) -> Rules | None:
    path = os.environ.get("ORCHIDFERRY_POOLS")
    if not path:
        return None
    from orchidferry.node import pool_settings

    return pool_settings.read_pools(path, classes)


def _read_fleet(name: str, loop: asyncio.AbstractEventLoop) -> FleetMember | None:
    path = os.environ.get("ORCHIDFERRY_FLEET")
    if not path:
        return None
    try:
        from orchidferry.node.fleet import settings, shell
    except ImportError as problem:
        raise _missing("ORCHIDFERRY_FLEET", problem) from None
    return shell.FleetMember(settings.read_fleet(path, name), loop)
