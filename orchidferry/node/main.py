"""Starts a node from the file that NODE_CONFIG names.

SIGHUP has it read that file again; SIGTERM ends it once all that it holds is answered.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from orchidferry.node.config import ConfigError, read_config
from orchidferry.node.garbage_collector import freeze_startup_objects
from orchidferry.node.node import Node

if TYPE_CHECKING:
    from orchidferry.balancing.pools import Rules
    from orchidferry.node.chain.settings import Setup
    from orchidferry.node.control.settings import Control
    from orchidferry.node.fleet.shell import Peers
    from orchidferry.node.h3.settings import Http3

# how often the event loop's lag is looked at, and what is worth a line
LAG_EVERY_S = 1.0
LAG_S = 0.1

log = logging.getLogger("orchidferry")


async def run(path: str) -> int:
    """Serve until SIGTERM; the exit status."""
    try:
        config = read_config(path)
        http3 = read_http3()
        control = read_control()
        chain = read_chain()
        pools = read_pools(tuple(cls.name for cls in config.settings.classes))
        fleet = read_fleet(config.name, asyncio.get_running_loop())
    except ConfigError as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format=f"%(asctime)s {config.name} %(levelname)s %(message)s"
    )
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    try:
        node = Node(config, loop, http3, control, chain, pools, [fleet] if fleet is not None else [])
    except ConfigError as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    loop.add_signal_handler(signal.SIGHUP, reload, node, path)
    where = config.listen
    try:
        host, port = await node.frontend.listen(loop, where)
        if node.h3_front is not None and http3 is not None and http3.front is not None:
            where = http3.front.listen
            udp = await node.h3_front.listen(loop)
            node.frontend.alt_svc = node.h3_front.alt_svc(udp[1])
        if node.door is not None and config.admin is not None:
            where = config.admin
            await node.door.listen(loop, where)
        if fleet is not None:
            where = fleet.where
            await fleet.listen()
    except OSError as problem:
        print(f"orchidferry: can't listen on {where[0]}:{where[1]}: {problem}", file=sys.stderr)
        return 2
    node.start()
    freeze_startup_objects()
    watch_lag(loop, loop.time())
    log.info("started, listening on %s:%d", host, port)
    if node.h3_front is not None:
        log.info("HTTP/3 on %s:%d", *udp)
    await stopping.wait()
    log.info("stopping")
    await node.stop()
    log.info("stopped")
    return 0


def read_http3() -> Http3 | None:
    """What the operator's own file switches on; None where there is none, and nothing of it is imported."""
    path = os.environ.get("ORCHIDFERRY_HTTP3")
    if not path:
        return None
    try:
        from orchidferry.node.h3 import settings
    except ImportError as problem:
        raise ConfigError(f"ORCHIDFERRY_HTTP3 is set, and {problem.name} is not installed") from None
    return settings.read_http3(path)


def read_control() -> Control | None:
    """The same for the control channel."""
    path = os.environ.get("ORCHIDFERRY_CONTROL")
    if not path:
        return None
    try:
        from orchidferry.node.control import settings
    except ImportError as problem:
        raise ConfigError(f"ORCHIDFERRY_CONTROL is set, and {problem.name} is not installed") from None
    return settings.read_control(path)


def read_chain() -> Setup | None:
    """The same for a part in a chain of tiers, which needs no library."""
    path = os.environ.get("ORCHIDFERRY_CHAIN")
    if not path:
        return None
    from orchidferry.node.chain import settings

    return settings.read_chain(path)


def read_pools(classes: tuple[str, ...]) -> Rules | None:
    """The same for pools of servers."""
    path = os.environ.get("ORCHIDFERRY_POOLS")
    if not path:
        return None
    from orchidferry.node import pool_settings

    return pool_settings.read_pools(path, classes)


def read_fleet(name: str, loop: asyncio.AbstractEventLoop) -> Peers | None:
    """The same for a part in a fleet of nodes that know of each other."""
    path = os.environ.get("ORCHIDFERRY_FLEET")
    if not path:
        return None
    try:
        from orchidferry.node.fleet import settings, shell
    except ImportError as problem:
        raise ConfigError(f"ORCHIDFERRY_FLEET is set, and {problem.name} is not installed") from None
    return shell.Peers(settings.read_fleet(path, name), loop)


def reload(node: Node, path: str) -> None:
    """Take the file as it is now; one that can't be used changes nothing."""
    try:
        config = read_config(path)
    except ConfigError as problem:
        log.error("the old configuration stays: %s", problem)
        return
    log.info("configuration read again, discovery at %s:%d", *config.discovery)
    node.reconfigure(config)


def watch_lag(loop: asyncio.AbstractEventLoop, due_s: float) -> None:
    """Log when the event loop ran late: too little CPU shows here first."""
    late_s = loop.time() - due_s
    if late_s > LAG_S:
        log.warning("the event loop ran %.0f ms late", late_s * 1000.0)
    next_s = loop.time() + LAG_EVERY_S
    loop.call_at(next_s, watch_lag, loop, next_s)


def main() -> int:
    """Start the node from the file that `NODE_CONFIG` names.

    :returns: the exit status: 0 after a stop, 2 for a configuration or an address that can't be used.
    """
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("orchidferry: NODE_CONFIG must name the configuration file", file=sys.stderr)
        return 2
    return uvloop.run(run(path))
