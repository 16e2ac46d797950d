"""Runs a node with the configuration file that `NODE_CONFIG` names.

SIGHUP reloads that file; SIGTERM stops the node once all pending requests are answered.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from functools import partial

import uvloop

from orchidferry.errors import OrchidferryError
from orchidferry.node.address import Address
from orchidferry.node.config import Config, ConfigError, read_config
from orchidferry.node.extensions import Extensions, read_extensions
from orchidferry.node.garbage_collector import freeze_startup_objects
from orchidferry.node.node import Node
from orchidferry.node.reload_signal import ReloadSignal

EXIT_OK = 0
EXIT_CONFIG = 2  # the configuration or an address can't be used

LAG_CHECK_S = 1.0  # how often the event loop's lag is measured
MAX_LAG_S = 0.1  # a larger lag is logged

log = logging.getLogger("orchidferry")


class ListenError(OrchidferryError):
    """A listener can't be opened; the text names its address."""

    def __init__(self, address: Address, problem: OSError) -> None:
        super().__init__(f"can't listen on {address[0]}:{address[1]}: {problem}")


async def run(path: str, reload_signal: ReloadSignal) -> int:
    """Serve until SIGTERM.

    :param path: path of the configuration file.
    :param reload_signal: the handler of SIGHUP.
    :returns: the exit status.
    """
    loop = asyncio.get_running_loop()
    try:
        config = read_config(path)
        extensions = read_extensions(config, loop)
        _start_log(config.name)
        stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        node = Node(config, loop, extensions)
        reload_signal.connect(loop, partial(reload, node, path))
        listening = await _listen(node, config, extensions)
    except (ConfigError, ListenError) as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return EXIT_CONFIG
    node.start()
    freeze_startup_objects()
    watch_lag(loop, loop.time())
    for line in listening:
        log.info("%s", line)
    await stopping.wait()
    log.info("stopping")
    await node.stop()
    log.info("stopped")
    return EXIT_OK


def _start_log(name: str) -> None:
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format=f"%(asctime)s {name} %(levelname)s %(message)s"
    )


async def _listen(node: Node, config: Config, extensions: Extensions) -> list[str]:
    """Open all listeners.

    :returns: log lines that name the listening addresses.
    :raises ListenError: if a listener can't be opened.
    """
    loop = asyncio.get_running_loop()
    http3 = extensions.http3
    fleet = extensions.fleet
    address = config.listen
    try:
        host, port = await node.frontend.listen(loop, address)
        lines = [f"started, listening on {host}:{port}"]
        if node.h3_front is not None and http3 is not None and http3.front is not None:
            address = http3.front.listen
            udp_host, udp_port = await node.h3_front.listen(loop)
            node.frontend.alt_svc = node.h3_front.alt_svc(udp_port)
            lines.append(f"HTTP/3 on {udp_host}:{udp_port}")
        if node.admin_server is not None and config.admin is not None:
            address = config.admin
            await node.admin_server.listen(loop, address)
        if fleet is not None:
            address = fleet.where
            await fleet.listen()
    except OSError as problem:
        raise ListenError(address, problem) from None
    return lines


def reload(node: Node, path: str) -> None:
    """Reload the configuration file; a file that can't be used changes nothing."""
    try:
        config = read_config(path)
    except ConfigError as problem:
        log.error("configuration not reloaded, the old configuration stays: %s", problem)
        return
    log.info("configuration reloaded, discovery at %s:%d", *config.discovery)
    node.reconfigure(config)


def watch_lag(loop: asyncio.AbstractEventLoop, due_s: float) -> None:
    """Log if the event loop ran late, which is the first sign of a CPU shortage, and check again later.

    :param due_s: when this call was due, by the loop's clock.
    """
    late_s = loop.time() - due_s
    if late_s > MAX_LAG_S:
        log.warning("the event loop was %.0f ms late", late_s * 1000.0)
    next_s = loop.time() + LAG_CHECK_S
    loop.call_at(next_s, watch_lag, loop, next_s)


def main(reload_signal: ReloadSignal | None = None) -> int:
    """Run the node.

    :param reload_signal: the handler of SIGHUP that was installed at startup; None: install one now.
    :returns: the exit status: 0 after a stop, 2 for a configuration or an address that can't be used.
    """
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("orchidferry: NODE_CONFIG must name the configuration file", file=sys.stderr)
        return EXIT_CONFIG
    return uvloop.run(run(path, reload_signal or ReloadSignal()))
