"""The actions that may happen next in a world, and how each is played.

Undisturbed operation costs nothing; a disturbance uses up one of the events that a run may have.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from orchidferry.testkit.explore.loop import Dial, FakeTransport
from orchidferry.testkit.explore.world_node import DEADLINE_MS, no_retries, node_config, server_entry
from orchidferry.testkit.explore.world_peers import ServerRequest
from orchidferry.testkit.explore.world_state import WorldState

WAIT_S = 0.35  # the longest step of virtual time, so that peers can also act between two distant timers
HALF_BYTES = 40  # size of the first part of a request that is sent in two parts; the split is within its head


def _play_begin(world: WorldState, argument: str) -> None:
    """The client sends only the first part of its request."""
    client = world.clients[int(argument[1:])]
    _play_ask(world, argument, half=True)
    world.log(f"only the first part of {client.id}'s request has arrived")


def _play_rest(world: WorldState, argument: str) -> None:
    client = world.clients[int(argument[1:])]
    assert client.transport is not None
    client.sent_s = world.loop.now
    rest = client.unsent
    client.unsent = b""
    world.log(f"the rest of {client.id}'s request arrives")
    client.transport.feed(rest)


def _play_no_retry(world: WorldState, argument: str) -> None:
    """The delay controller rejects all retries from now on, in place of admitting them."""
    world.retries_denied = True
    world.log("the delay controller admits no more retries")
    world.node._balancer.controller.retry_probability = no_retries  # type: ignore[method-assign]


def _play_hup(world: WorldState, argument: str) -> None:
    """SIGHUP with an unchanged configuration: the node asks discovery for the full list again."""
    world.reconfigured = True
    world.discovery_transport = None
    world.log("SIGHUP")
    world.node.reconfigure(node_config(world.size))


def _play_ask(world: WorldState, argument: str, half: bool = False) -> None:
    client = world.clients[int(argument[1:])]
    listener = next(listener for listener in world.loop.listeners if listener.open)
    client.transport = world.loop.accept(listener)
    client.sent_s = world.loop.now
    key = f"Idempotency-Key: k{client.number}\r\n" if client.kind == "save" else ""
    method = "GET" if client.kind == "read" else "POST"
    world.log(f"{client.id} sends a {client.kind} request")
    text = (
        f"{method} /{client.kind} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {client.id}\r\n"
        f"X-Budget: {DEADLINE_MS / 1000.0}\r\n{key}Content-Length: 0\r\n\r\n"
    ).encode()
    client.unsent = text[HALF_BYTES:] if half else b""
    client.transport.feed(text[:HALF_BYTES] if half else text)


def _play_leave(world: WorldState, argument: str) -> None:
    client = world.clients[int(argument[1:])]
    assert client.transport is not None
    client.disconnected = True
    world.log(f"{client.id} disconnects")
    client.transport.feed_eof()


def _dial(world: WorldState, argument: str) -> Dial:
    return world.loop.dials[int(argument)]


def _play_up(world: WorldState, argument: str) -> None:
    dial = _dial(world, argument)
    world.log(f"a connection to {dial.address[0]} is established")
    world.loop.complete_dial(dial)


def _play_refuse(world: WorldState, argument: str) -> None:
    dial = _dial(world, argument)
    world.log(f"a connection to {dial.address[0]} is refused")
    world.loop.refuse_dial(dial)


def _end_request(world: WorldState, argument: str, ended: str) -> ServerRequest:
    request = world.server_requests[int(argument)]
    request.ended = ended
    world.log(f"s{request.server}: {request.client} {ended}")
    return request


def _play_serve(world: WorldState, argument: str) -> None:
    _end_request(world, argument, "served").transport.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")


def _play_fail(world: WorldState, argument: str) -> None:
    _end_request(world, argument, "failed").transport.feed(b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n")


def _play_turn_away(world: WorldState, argument: str) -> None:
    _end_request(world, argument, "refused").transport.feed(
        b"HTTP/1.1 503 -\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
    )


def _play_reset(world: WorldState, argument: str) -> None:
    _end_request(world, argument, "reset").transport.feed_reset()


def _play_close(world: WorldState, argument: str) -> None:
    """The server answers and closes its connection at once."""
    request = _end_request(world, argument, "served")
    request.transport.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")
    request.transport.feed_eof()


def _play_cross(world: WorldState, argument: str) -> None:
    """The server's answer arrives in the iteration in which the next timer fires, just after it."""
    request = _end_request(world, argument, "served")
    due = world.next_due()
    if due is not None:
        before = [entry for entry in world.loop.timers if entry[0] < due]
        if before:
            world.loop.advance_to(max(entry[0] for entry in before))
        world.loop.now = max(world.loop.now, due)
        for when, _, handle in sorted(world.loop.timers, key=lambda entry: entry[:2]):
            if when <= due and not handle.cancelled():
                world.loop.ready.append(handle)
        world.loop.timers = [entry for entry in world.loop.timers if entry[0] > due]
    if request.transport.closing:
        return
    request.transport.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")


def _play_drop(world: WorldState, argument: str) -> None:
    transport = _idle_connection(world, argument)
    world.log(f"{transport.address} closes an idle connection")
    transport.feed_eof()


def _idle_connection(world: WorldState, argument: str) -> FakeTransport:
    return next(transport for number, transport in world.idle_connections() if number == int(argument))


def _play_drop_crossing(world: WorldState, argument: str) -> None:
    """A server closes an idle connection, and the node reads that only after the next action."""
    transport = _idle_connection(world, argument)
    transport.unread = True
    world.log(f"{transport.address} closes an idle connection; the node has not read that yet")
    world.delayed_input.append((transport, b""))


def _play_stray(world: WorldState, argument: str) -> None:
    """A server sends a response without a request; the node reads it only after the next action."""
    transport = _idle_connection(world, argument)
    transport.unread = True
    world.log(f"{transport.address} sends a response without a request")
    world.delayed_input.append((transport, b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nno"))


def _discovery_update(world: WorldState, server: int, status: str, since_ms: int = 0) -> None:
    assert world.discovery_transport is not None
    world.index += 1
    transport = world.discovery_transport
    world.discovery_transport = None
    world.listed[server] = world.loop.now, status
    entries = [server_entry(server) | {"status": status, "since_ms": since_ms}]
    if world.full_list_requested:
        entries = [
            server_entry(n) | {"status": status, "since_ms": int(1_000.0 * world.cold_since_s.get(n, 0.0))}
            for n, (_, status) in world.listed.items()
            if status != "left"
        ]
    body = json.dumps(
        {"index": world.index, "snapshot": world.full_list_requested, "endpoints": entries}
    ).encode()
    transport.feed(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    world.log(f"discovery reports s{server} as {status}")


def _play_drain(world: WorldState, argument: str) -> None:
    _discovery_update(world, int(argument[1:]), "leaving")


def _play_gone(world: WorldState, argument: str) -> None:
    _discovery_update(world, int(argument[1:]), "left")


def _play_back(world: WorldState, argument: str) -> None:
    server = int(argument[1:])
    world.cold_since_s[server] = world.loop.now
    _discovery_update(world, server, "active", int(world.loop.now * 1000.0))


def _play_stop(world: WorldState, argument: str) -> None:
    world.log("SIGTERM")
    world.stopping = world.loop.start_task(world.node.stop())


def _play_wait(world: WorldState, argument: str) -> None:
    due = world.next_due()
    assert due is not None
    due = min(due, world.loop.now + WAIT_S)
    world.log(f"time advances to {due - 1_000.0:.3f} s")
    world.loop.advance_to(due)


ACTIONS: dict[str, Callable[[WorldState, str], None]] = {
    "begin": _play_begin,
    "rest": _play_rest,
    "no-retry": _play_no_retry,
    "hup": _play_hup,
    "ask": _play_ask,
    "leave": _play_leave,
    "up": _play_up,
    "refuse": _play_refuse,
    "serve": _play_serve,
    "fail": _play_fail,
    "turn-away": _play_turn_away,
    "reset": _play_reset,
    "close": _play_close,
    "cross": _play_cross,
    "drop": _play_drop,
    "drop-crossing": _play_drop_crossing,
    "stray": _play_stray,
    "drain": _play_drain,
    "gone": _play_gone,
    "back": _play_back,
    "stop": _play_stop,
    "wait": _play_wait,
}
"""All actions by the first word of their labels; each gets the rest of the label."""
