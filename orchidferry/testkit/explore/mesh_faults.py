"""The faults that may happen in the exploration of the mesh: which are possible, and how each is applied.

A fault's label is its kind and its target, such as `kill a`, `cut a b` or `lose 0`; a number is the position
of a message in flight.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations, permutations
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from orchidferry.testkit.explore.mesh_world import ControllersWorld

RESTART_S = 0.1  # how long a killed process is down
MAX_PARTIAL_WRITES = 3  # pending writes of which any subset may reach the disk at a power loss


def possible_faults(world: ControllersWorld, receiver: str, items: list[str]) -> Iterator[str]:
    """Yield the faults of all kinds that may happen now.

    :param receiver: the process that is the next to handle something; "" if nothing is in flight
    :param items: the choices of what it handles
    """
    yield from _message_faults(items)
    yield from _process_faults(world, receiver)
    if receiver and receiver == world.last_receiver:
        return  # the same link faults were already offered before the last item that the receiver handled
    yield from _link_faults(world, receiver)


def _message_faults(items: list[str]) -> Iterator[str]:
    for item in items:
        kind, target = item.split()
        if kind == "deliver":
            yield f"lose {target}"
        yield f"late {target}"


def _process_faults(world: ControllersWorld, receiver: str) -> Iterator[str]:
    for name, controller in world.controllers.items():
        if not controller.alive or receiver not in ("", name):
            continue
        yield f"kill {name}"
        pending = min(MAX_PARTIAL_WRITES, len(controller.writes))
        yield from (f"power {name} {mask}" for mask in range(1, 2**pending))
        if world.scene.any_disk_loss or _others_remember(world, name):
            yield f"wipe {name}"
        if name not in world.frozen_until:
            yield f"freeze {name}"
        if not receiver:
            yield f"unfit {name}"


def _others_remember(world: ControllersWorld, name: str) -> bool:
    """Return whether all other voters are alive and have lost no records.

    :param name: the voter to leave out
    """
    voters = world.newest_state.voters
    return all(
        controller.alive
        and controller.name not in world.sources_heard
        and controller.shard.standing.caught_up
        for controller in world.controllers.values()
        if controller.name != name and controller.shard.voter in voters
    )


def _link_faults(world: ControllersWorld, receiver: str) -> Iterator[str]:
    if receiver:
        for name in world.controllers:
            if any(name in pair for pair in world.partitions):
                yield f"beat {name}"
    if not receiver or receiver in world.controllers:
        yield from (f"cut {name}" for name in world.controllers if receiver in ("", name))
    for one, other in combinations([*world.controllers, *world.nodes], 2):
        if receiver in ("", one, other) and one in world.controllers:
            yield f"cut {one} {other}"
    for one, other in permutations(world.controllers, 2):
        if receiver in ("", other):
            yield f"oneway {one} {other}"


def apply_fault(world: ControllersWorld, kind: str, target: list[str]) -> None:
    """Apply a fault.

    :param target: the rest of the fault's label: a message's position, or a process and further arguments
    """
    name = target[0]
    until_s = world.now + world.scene.fault_duration_s
    match kind:
        case "lose":
            world.messages.pop(int(name))
        case "late" if name.isdigit():
            world.messages[int(name)].late = True
        case "late":
            world.slow_disks.add(name)
        case "kill" | "wipe":
            _kill(world, name, wipe=kind == "wipe")
        case "power":
            _lose_power(world, name, written_mask=int(target[1]))
        case "freeze":  # it has just sent heartbeats, and their acknowledgements wait until it thaws
            world.frozen_until[name] = until_s
            world.send_heartbeats(name)
        case "beat":  # the process's partitions end, and it sends heartbeats over new links
            world.partitions = {pair: end for pair, end in world.partitions.items() if name not in pair}
            world.send_heartbeats(name)
        case "unfit":
            peers = world.controllers[name].peers
            peers.fit = not peers.fit
        case "cut":
            pairs = _pairs(world, target)
            _partition(world, [*pairs, *((to, sender) for sender, to in pairs)], until_s)
        case "oneway":
            _partition(world, _pairs(world, target), until_s)


def _kill(world: ControllersWorld, name: str, wipe: bool) -> None:
    """Kill a controller's process, which restarts after `RESTART_S`.

    :param wipe: whether it restarts with an empty disk
    """
    world.stop_process(name, RESTART_S)
    if wipe:
        world.controllers[name].wipe()
        world.sources_heard[name] = set()


def _lose_power(world: ControllersWorld, name: str, written_mask: int) -> None:
    """Kill a controller's process while some of its pending writes reach the disk.

    :param written_mask: the writes that reach the disk, one bit each, the oldest write at the lowest bit
    """
    controller = world.controllers[name]
    for position, write in enumerate(controller.writes):
        if written_mask >> position & 1:
            controller.write_to_disk(write.puts)
    world.stop_process(name, RESTART_S)


def _pairs(world: ControllersWorld, target: list[str]) -> list[tuple[str, str]]:
    """Return the links, as sender and receiver, that a partition cuts."""
    if len(target) > 1:
        return [(target[0], target[1])]
    return [(target[0], other) for other in (*world.controllers, *world.nodes) if other != target[0]]


def _partition(world: ControllersWorld, pairs: list[tuple[str, str]], until_s: float) -> None:
    """Cut links until a time; messages in flight on them are lost."""
    world.partitions |= dict.fromkeys(pairs, until_s)
    world.messages = [one for one in world.messages if (one.sender, one.to) not in pairs]
    world.next_messages = [one for one in world.next_messages if (one.sender, one.to) not in pairs]
