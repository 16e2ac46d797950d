"""The faults that may come in the exploration of the mesh: which are possible, and what each does.

A fault is named by its kind and what it happens to, such as `kill a`, `cut a b` or `lose 0`; a number is the
position of a message in flight.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations, permutations
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from orchidferry.testkit.explore.mesh_world import ControllersWorld

RESTART_S = 0.1  # for which a process that was killed is down
MAX_PARTIAL_WRITES = 3  # pending writes of which any part may reach the disk at a power loss


def possible_faults(world: ControllersWorld, receiver: str, items: list[str]) -> Iterator[str]:
    """Yield the faults that may come now, of all kinds.

    :param receiver: the process that takes something next; "" if nothing is under way
    :param items: the choices of what it takes
    """
    yield from _message_faults(items)
    yield from _process_faults(world, receiver)
    if receiver and receiver == world.last_receiver:
        return  # the same link faults were offered before what it took last
    yield from _link_faults(world, receiver)


def _message_faults(items: list[str]) -> Iterator[str]:
    for item in items:
        kind, about = item.split()
        if kind == "deliver":
            yield f"lose {about}"
        yield f"late {about}"


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
    """Return whether all voters but one are alive and have forgotten nothing."""
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


def apply_fault(world: ControllersWorld, kind: str, about: list[str]) -> None:
    """Have a fault happen.

    :param about: a message's position, or a process's name, with what else belongs to the kind
    """
    name = about[0]
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
            _lose_power(world, name, written_mask=int(about[1]))
        case "freeze":  # what it has just sent is acknowledged, and waits for it
            world.frozen_until[name] = until_s
            world.send_heartbeats(name)
        case "beat":  # its partitions end, and new links bring a heartbeat
            world.partitions = {pair: end for pair, end in world.partitions.items() if name not in pair}
            world.send_heartbeats(name)
        case "unfit":
            peers = world.controllers[name].peers
            peers.fit = not peers.fit
        case "cut":
            pairs = _pairs(world, about)
            _partition(world, [*pairs, *((to, sender) for sender, to in pairs)], until_s)
        case "oneway":
            _partition(world, _pairs(world, about), until_s)


def _kill(world: ControllersWorld, name: str, wipe: bool) -> None:
    """End a controller's process, which starts again soon; `wipe`: with an empty disk."""
    world.stop_process(name, RESTART_S)
    if wipe:
        world.controllers[name].wipe()
        world.sources_heard[name] = set()


def _lose_power(world: ControllersWorld, name: str, written_mask: int) -> None:
    """End a controller's process while some of its pending writes reach the disk.

    :param written_mask: a bit for each of them, the first one's the lowest
    """
    controller = world.controllers[name]
    for position, write in enumerate(controller.writes):
        if written_mask >> position & 1:
            controller.write_to_disk(write.puts)
    world.stop_process(name, RESTART_S)


def _pairs(world: ControllersWorld, about: list[str]) -> list[tuple[str, str]]:
    """Return the links, from and to, that a partition is about."""
    if len(about) > 1:
        return [(about[0], about[1])]
    return [(about[0], other) for other in (*world.controllers, *world.nodes) if other != about[0]]


def _partition(world: ControllersWorld, pairs: list[tuple[str, str]], until_s: float) -> None:
    """Cut links for a time; what is in flight on them is lost."""
    world.partitions |= dict.fromkeys(pairs, until_s)
    world.messages = [one for one in world.messages if (one.sender, one.to) not in pairs]
    world.next_messages = [one for one in world.next_messages if (one.sender, one.to) not in pairs]
