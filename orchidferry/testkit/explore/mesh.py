"""Every interleaving of a few controllers of one shard of the mesh's state and those who ask them: the
shipping `Shard` and `OperationKeyClient`, with faults among them.

Each message takes one step, as does each write to a disk. Of what comes to one process in one step (messages,
in order on each link, and its disk's word) every order is walked; what comes to different ones commutes. Time
moves when nothing is under way: to the next grid point, where beats go round and all tick, or to what a shard
has due sooner. What is judged is what askers were told and what controllers sent, not what they think.
"""

from __future__ import annotations

import copyreg
import functools
import hashlib
import marshal
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, is_dataclass, replace
from itertools import combinations, permutations
from operator import attrgetter
from types import NoneType
from typing import Any

import msgspec

from orchidferry.balancing import register
from orchidferry.balancing.register import Proposer, Value
from orchidferry.mesh.control import (
    actions,
    operation_key_client,
    operation_keys,
    peers,
    replica,
    shard_state,
    write_completions,
)
from orchidferry.mesh.control import shard as shard_module
from orchidferry.mesh.control.actions import RequestEnded, SendReply, StateChanged
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.operation_key_client import OperationKeyClient, ShardGroup
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.control.write_completions import ClaimSaved, KeyAnswerSaved, VoteSaved
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyGrant, KeyRelease, KeyReleaseAck, Message
from orchidferry.mesh.wire.shard_messages import KeyPage, tag_of
from orchidferry.testkit.explore import pure
from orchidferry.testkit.explore.controller import WINDOW_S, Controller
from orchidferry.testkit.explore.dead_messages import ballot_of_round, is_dead
from orchidferry.testkit.explore.fleet import Middle
from orchidferry.testkit.explore.mesh_breaks import BREAKS, Break, broken
from orchidferry.testkit.explore.mesh_scenes import KINDS, SCENES, Scene
from orchidferry.testkit.explore.pure import Found

__all__ = ["BREAKS", "KINDS", "SCENES", "Break", "Scene", "World", "begin", "broken", "search"]

GRID_S = 0.4  # beats, and what a shard does now and then
MIN_S = 0.02  # that time moves
KEY = "k"
# Of a shard and its parts: told by other fields, set by each event, or of use in a round alone.
NOT_IN_PRINT = (
    "acceptor",
    "context",
    "listener",
    "order_requests",
    "peers",
    "reader",
    "references",
    "register",
)


def _fast(kind: Any) -> None:
    """Have it pickled by its fields, which for slots takes Python a third of the time."""
    names = [x.name for x in fields(kind)]
    if len(names) < 2:
        return
    fields_of = attrgetter(*names)
    copyreg.pickle(kind, lambda one: (kind, fields_of(one)))


for _module in (
    register,
    shard_state,
    actions,
    peers,
    replica,
    shard_module,
    operation_keys,
    operation_key_client,
    write_completions,
):
    for _kind in vars(_module).values():
        if isinstance(_kind, type) and is_dataclass(_kind) and "__slots__" in vars(_kind):
            _fast(_kind)


class Dice(Middle):
    """Chance in the middle; what is drawn as a name is another one each time."""

    def __init__(self, count: int = 0) -> None:
        super().__init__(0)
        self.count = count

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        self.count += 1
        return self.count if stop is None else start + self.count

    def __reduce__(self) -> Any:
        return Dice, (self.count,)


@dataclass
class Mail:
    """A message under way. `back`: it is an answer, on the link that the other one dialled."""

    sender: str
    to: str
    what: str
    message: tuple[Any, ...]
    back: bool = False
    late: bool = False

    @property
    def told(self) -> str:
        kind = tag_of(self.message[-1]) if self.what == "heard" else self.what
        return f"{kind} from {self.sender} to {self.to}"


@dataclass
class Asker:
    """Puts a configuration on top of version 0, and reads."""

    name: str
    at: str
    then: str
    revision: int
    step: str = "put"  # put, again, read, over
    waits: str = ""  # for what it asked for
    until_s: float = 0.0
    newest: int = 0  # acknowledged to anybody before it read
    tries: int = 0
    read: bool = False

    def change(self) -> shard_state.PutConfiguration:
        mark = self.name.encode()
        return shard_state.PutConfiguration(mark, self.revision, mark, 0)


class Node:
    """A node's half of keys."""

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.world = world
        self.claims = OperationKeyClient(world.scene.seeds, self.send, WINDOW_S)

    def send(self, to: str, message: Message) -> None:
        """As the method of a controller that takes it."""
        world = self.world
        name = self.name
        match message:
            case KeyClaim():
                world.send(name, to, "claim", name, *msgspec.structs.astuple(message))
            case KeyAnswer():
                world.send(name, to, "done", *msgspec.structs.astuple(message))
            case KeyRelease():
                world.send(name, to, "drop", name, *msgspec.structs.astuple(message))


@dataclass
class Try:
    """One request with the key, at some node."""

    world: World = field(repr=False)
    holder: str
    node: str
    due_s: float
    how: str
    began: bool = False
    said: str = ""
    answer: Any = None

    def begin(self) -> None:
        self.began = True
        self.world.note(f"{self.holder} claims at {self.node}")
        self.world.nodes[self.node].claims.claim(
            KEY, self.holder, self.world.scene.for_s, self.told, self.world.now
        )

    def told(self, outcome: ClaimOutcome, answer: Any) -> None:
        world = self.world
        self.said = outcome
        self.answer = answer
        world.note(f"{self.holder} is told {outcome}{'' if answer is None else f' and the answer {answer}'}")
        if outcome is ClaimOutcome.GRANTED:
            world.granted(self)
            node = world.nodes[self.node].claims
            if self.how == "done":
                node.record_answer(KEY, self.holder, self.holder)
            elif self.how == "drop":
                world.ran.remove(self.holder)
                node.release(KEY, self.holder)
        elif answer is not None and answer != (world.ran[0] if world.ran else None):
            world.broken(f"answer: {self.holder} is told the answer {answer}, and {world.ran} ran")


class World:
    """Controllers, askers, and what is under way between them."""

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        self.scene = scene
        self.faults = 0
        self.kinds = kinds
        self.now = 1.0
        self.story: list[str] = []
        self.violations: list[str] = []
        self.mail: list[Mail] = []  # of this step
        self.next: list[Mail] = []  # sent in it
        self.ready: dict[str, int] = {}  # writes that were begun before this step
        self.slow: set[str] = set()  # disks that are late
        self.touched = ""  # who took something last in this step
        self.cuts: dict[tuple[str, str], float] = {}  # from, to, until
        self.frozen: dict[str, float] = {}
        self.down: dict[str, float] = {}
        self.grid = 0
        self.versions: dict[int, Value] = {}
        self.fences: dict[int, str] = {}
        self.taken: dict[int, str] = {}  # what was acknowledged on top of each revision
        self.newest = 0
        self.learns: dict[str, set[str]] = {}  # controllers that have forgotten, and who told them all since
        self.ran: list[str] = []  # tries that were granted the key and have not given it back
        self.askers = [Asker("pq"[n], at, then, 2 - n) for n, (at, then) in enumerate(scene.puts)]
        self.tries = [Try(self, f"t{n + 1}", *one) for n, one in enumerate(scene.tries)]
        self.nodes = {node: Node(node, self) for node in dict.fromkeys(one[0] for one in scene.tries)}
        seeds = scene.seeds
        names = tuple("abcdefghij"[: len(seeds) + scene.spare])
        self.number = shard_state.shard_of(KEY) if self.nodes else scene.shard
        self.controllers: dict[str, Controller] = {}
        for n, name in enumerate(names):
            founder = name in seeds
            self.controllers[name] = Controller(name, self, founder, self.number, Dice(n * 1_000), seeds)
        self.began_s = math.inf  # of the scene
        self.learns |= {name: set() for name in names if name not in seeds}
        while not (self.quiet and any(k.shard.owns(self.now) for k in self.controllers.values())):
            self.do(self.actions()[0])
        self.faults = faults
        self.began_s = self.now
        self.script = list(scene.script)
        self.story.clear()
        self._askers()
        self._turn()

    # What it is

    @property
    def quiet(self) -> bool:
        """Nothing is under way."""
        return not (self.mail or self.next or any(k.writes for k in self.controllers.values()))

    @property
    def over(self) -> bool:
        asked = all(a.step == "over" for a in self.askers) and all(t.said for t in self.tries)
        return asked and self.now >= self.began_s + self.scene.seconds - 1e-6

    def ended(self) -> bool:
        """All were served as if nothing had gone wrong."""
        if self.askers:
            return all(a.read for a in self.askers) and bool(self.taken)
        if self.tries:
            return len(self.ran) == 1 and all(t.said != ClaimOutcome.UNDECIDED for t in self.tries)
        return sum(k.shard.owns(self.now) is not None for k in self.controllers.values() if k.alive) == 1

    def finish(self) -> None:
        """Nothing comes after the askers' last step."""

    def note(self, told: str) -> None:
        self.story.append(f"{(self.now - self.began_s) * 1000.0:7.0f} ms  {told}")

    def broken(self, told: str) -> None:
        self.violations.append(told)

    # What may come

    def _items(self) -> tuple[str, list[str]]:
        """The first process that has something to take, and what may be the first of that."""
        heads: dict[tuple[str, str, bool], int] = {}
        for n, mail in enumerate(self.mail):
            if not mail.late and mail.to not in self.frozen:
                heads.setdefault((mail.to, mail.sender, mail.back), n)
        disks = [n for n, many in self.ready.items() if many and n not in self.frozen and n not in self.slow]
        half = min([to for to, _, _ in heads] + disks, default="")
        found = [f"deliver {n}" for (to, _, _), n in heads.items() if to == half]
        return half, found + ([f"disk {half}"] if half in disks else [])

    @property
    def _late(self) -> bool:
        return any(m.late for m in self.mail) or bool(self.slow)

    def actions(self) -> list[str]:
        """What may come next; the first comes without a fault."""
        half, found = self._items()
        late = self._late and not half
        plain = found or (["wait", "come"] if late else ["wait"])
        return plain + [one for one in self._faults(half, found) if one.split()[0] in self.kinds]

    def _faults(self, half: str, items: list[str]) -> Iterator[str]:
        if not self.faults:
            return
        for item in items:
            what, about = item.split()
            yield f"lose {about}" if what == "deliver" else f"late {about}"
            if what == "deliver":
                yield f"late {about}"
        for name, controller in self.controllers.items():
            if not controller.alive or half not in ("", name):
                continue
            yield f"kill {name}"
            many = min(3, len(controller.writes))
            yield from (f"power {name} {mask}" for mask in range(1, 2**many))
            others = [
                k
                for k in self.controllers.values()
                if k is not controller and k.shard.voter in self._newest.voters
            ]
            if self.scene.beyond or all(
                k.alive and k.name not in self.learns and k.shard.standing.caught_up for k in others
            ):
                yield f"wipe {name}"
            if name not in self.frozen:
                yield f"freeze {name}"
            if not half:
                yield f"unfit {name}"
        if half == self.touched and half:
            return
        if half:
            yield from (
                f"beat {name}" for name in self.controllers if any(name in pair for pair in self.cuts)
            )
        if not half or half in self.controllers:
            yield from (f"cut {name}" for name in self.controllers if half in ("", name))
        for one, other in combinations([*self.controllers, *self.nodes], 2):
            if half in ("", one, other) and one in self.controllers:
                yield f"cut {one} {other}"
        for one, other in permutations(self.controllers, 2):
            if half in ("", other):
                yield f"oneway {one} {other}"

    @property
    def _newest(self) -> Value:
        return self.versions[max(self.versions)] if self.versions else shard_state.genesis(self.scene.seeds)

    # What comes

    def do(self, label: str) -> None:
        what, *about = label.split()
        match what:
            case "deliver":
                self._deliver(self.mail.pop(int(about[0])))
            case "disk":
                self._disk(about[0])
            case "wait":
                self._wait()
            case "come":
                self._come()
            case _:
                self.faults -= 1
                self._fault(what, about)
        self._drop_dead()
        self._turn()
        self._check()

    def _drop_dead(self) -> None:
        """Take messages for delivered that change nothing any more."""
        self.mail = [mail for mail in self.mail if not self._is_dead(mail)]
        self.next = [mail for mail in self.next if not self._is_dead(mail)]

    def _is_dead(self, mail: Mail) -> bool:
        receiver = self.controllers.get(mail.to)
        return mail.what == "heard" and receiver is not None and is_dead(mail.message[1], receiver.shard)

    def _turn(self) -> None:
        """Where this step is over, the next one begins."""
        if not self._items()[0]:
            self.mail = self.mail + self.next
            self.next = []
            self.touched = ""
            self.ready = {n: len(k.writes) for n, k in self.controllers.items() if k.alive}

    def _come(self) -> None:
        for mail in self.mail:
            mail.late = False
        self.slow.clear()

    def _fault(self, what: str, about: list[str]) -> None:
        name = about[0]
        told = " ".join([what, *about])
        if name.isdigit():
            told = f"{what}: {self.mail[int(name)].told}"
        self.note(told)
        until = self.now + self.scene.hold_s
        match what:
            case "lose":
                self.mail.pop(int(name))
            case "late" if name.isdigit():
                self.mail[int(name)].late = True
            case "late":
                self.slow.add(name)
            case "kill" | "power" | "wipe":
                controller = self.controllers[name]
                for n, write in enumerate(controller.writes):
                    if what == "power" and int(about[1]) >> n & 1:
                        controller.put(write.puts)
                self._down(name, 0.1)
                if what == "wipe":
                    controller.wipe()
                    self.learns[name] = set()
            case "freeze":  # what it has just sent is acknowledged, and waits for it
                self.frozen[name] = until
                self._beat(name)
            case "beat":  # no cut holds it any more, and new links bring a beat
                self.cuts = {pair: end for pair, end in self.cuts.items() if name not in pair}
                self._beat(name)
            case "unfit":
                peers = self.controllers[name].peers
                peers.fit = not peers.fit
            case "cut" | "oneway":
                everybody = [*self.controllers, *self.nodes]
                pairs = [(name, about[1])] if len(about) > 1 else [(name, n) for n in everybody if n != name]
                if what == "cut":
                    pairs += [(b, a) for a, b in pairs]
                self.cuts |= dict.fromkeys(pairs, until)
                self.mail = [m for m in self.mail if (m.sender, m.to) not in pairs]
                self.next = [m for m in self.next if (m.sender, m.to) not in pairs]

    def _down(self, name: str, for_s: float) -> None:
        """A process ends; what it sent is on its way, what was sent to it is lost."""
        controller = self.controllers[name]
        controller.alive = False
        controller.writes = []
        self.down[name] = self.now + for_s
        self.frozen.pop(name, None)
        self.slow.discard(name)
        self.ready.pop(name, None)
        self.mail = [m for m in self.mail if m.to != name]
        self.next = [m for m in self.next if m.to != name]

    def _up(self, name: str) -> None:
        if self.down.pop(name, None) is not None:
            self.controllers[name].start()

    def _deliver(self, mail: Mail) -> None:
        self.touched = mail.to
        if mail.to in self.nodes:
            node = self.nodes[mail.to].claims
            if mail.what == "grant":
                node.handle_grant(mail.sender, KeyGrant(*mail.message))
            elif mail.what == "dropped":
                node.releases.acknowledge(mail.sender, *mail.message)
            else:
                number, under, names, owner, fence = mail.message
                node.update_group(number, ShardGroup(under, names, owner, fence), self.now)
            return
        controller = self.controllers[mail.to]
        if mail.what == "heard":
            page = mail.message[1]
            # What it is told before it has a place does not count.
            if isinstance(page, KeyPage) and page.last and page.as_voter and mail.to in self.learns:
                self.learns[mail.to].add(mail.sender)
        getattr(controller, mail.what)(*mail.message)
        if mail.what == "claim" and mail.message[2] != controller.shard.body.epoch:
            self._tell_group(controller, mail.sender)

    def _disk(self, name: str) -> None:
        self.touched = name
        self.ready[name] -= 1
        self.controllers[name].disk_turn()

    def _beat(self, name: str) -> None:
        controller = self.controllers[name]
        if controller.alive:
            controller.beat_to(n for n in self.controllers if n != name)

    def _wait(self) -> None:
        """Nothing is under way: time moves."""
        dues = [
            1.0 + (self.grid + 1) * GRID_S,
            *self.cuts.values(),
            *self.frozen.values(),
            *self.down.values(),
        ]
        for name, controller in self.controllers.items():
            if controller.alive and name not in self.frozen:
                dues.append(controller.shard.due_s)
        if self.began_s < math.inf:
            dues += [self.began_s + one.due_s for one in self.tries if not one.began]
            dues += [one.until_s for one in self.askers if one.step != "over"]
            dues += [self.began_s + at for at, _ in self.script]
        self.now = max(self.now + MIN_S, math.ceil(min(dues) * 1000.0) / 1000.0)
        now = self.now
        self.cuts = {pair: until for pair, until in self.cuts.items() if until > now}
        self.frozen = {name: until for name, until in self.frozen.items() if until > now}
        for name in [n for n, until in self.down.items() if until <= now]:
            self._up(name)
        for mail in [m for m in self.mail if m.what == "pulse" and m.to not in self.frozen]:
            self.mail.remove(mail)
            self.controllers[mail.to].pulse(*mail.message)
        on_grid = now >= 1.0 + (self.grid + 1) * GRID_S - 1e-6
        if on_grid:
            self.grid += 1
            for name in self.controllers:
                if name not in self.frozen:
                    self._beat(name)
        for name, controller in self.controllers.items():
            if controller.alive and name not in self.frozen and (on_grid or controller.shard.due_s <= now):
                controller.tick()
        for node in self.nodes.values():
            if on_grid:
                for controller in self.controllers.values():
                    if controller.alive and controller.name not in self.frozen:
                        self._tell_group(controller, node.name)
                node.claims.tick(now)
        self._askers()

    # Between them

    def _open(self, sender: str, to: str) -> bool:
        controller = self.controllers.get(to)
        return (sender, to) not in self.cuts and (controller is None or controller.alive)

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Put a message on its way; beats take no time."""
        if to not in self.controllers or not self._open(sender, to):
            return
        if kind == "beat" and to in self.frozen:
            return  # it meets the next one
        if kind == "beat" or (kind == "pulse" and to not in self.frozen):
            getattr(self.controllers[to], kind)(*message)
        else:
            self.next.append(Mail(sender, to, kind, message))

    def answer(self, name: str, answer: SendReply) -> None:
        """A controller answers whoever asked it."""
        to = answer.to
        message = answer.message
        if isinstance(message, KeyReleaseAck):
            if self._open(name, to):
                self.next.append(Mail(name, to, "dropped", (message.number,), True))
        elif isinstance(message, KeyGrant):
            if message.outcome == ClaimOutcome.GRANTED and name in self.learns and not self._learned(name):
                self.broken(
                    f"abstains: {name} grants a key, and has learned from {sorted(self.learns[name])}"
                )
            if self._open(name, to):
                self.next.append(Mail(name, to, "grant", msgspec.structs.astuple(message), True))
        elif self._open(name, to):
            self.next.append(Mail(name, to, "heard", (name, message.body), True))

    def _tell_group(self, controller: Controller, node: str) -> None:
        """As the controller does when something changes, and to whoever comes back to it."""
        own = controller.shard.body
        had = self.nodes[node].claims.groups[controller.number]
        if (own.epoch > had.epoch or own.fencing_token > had.fencing_token) and self._open(
            controller.name, node
        ):
            names = tuple(v.name for v in controller.shard.known.voters)
            message = (controller.number, own.epoch, names, own.owner, own.fencing_token)
            self.next.append(Mail(controller.name, node, "group", message, True))

    def decided(self, name: str, changed: StateChanged) -> None:
        """The states are one chain: one for each version, and whoever learns one learns the same."""
        self._chain(changed.new)
        if epoch(changed.new) > epoch(changed.old):
            self.note(f"{name} learns of epoch {epoch(changed.new)}")
            for controller in self.controllers.values():  # whoever is left out misses what is granted
                if controller.shard.voter not in changed.new.voters and changed.new == self._newest:
                    self.learns[controller.name] = set()
        for node in self.nodes:
            self._tell_group(self.controllers[name], node)

    def _chain(self, value: Value) -> None:
        if self.versions.setdefault(value.version, value) != value:
            self.broken(f"chain: two states of version {value.version} were decided")

    # Configurations

    def _askers(self) -> None:
        if self.began_s == math.inf:
            return
        while self.script and self.script[0][0] <= self.now - self.began_s + 1e-6:
            what, *about = self.script.pop(0)[1].split()
            if what == "down":
                self.note(f"{about[0]} goes away")
                self._down(about[0], math.inf)
            elif what == "up":
                self._up(about[0])
            else:
                self._fault(what, about)
        for one in self.tries:
            if not one.began and one.due_s <= self.now - self.began_s + 1e-6:
                one.begin()
        for asker in self.askers:
            if asker.step != "over" and self.now >= asker.until_s:
                if asker.waits:  # nothing was heard
                    self._next(asker)
                else:
                    self._ask(asker)

    def _ask(self, asker: Asker) -> None:
        name = asker.at if asker.step == "put" else asker.then
        controller = self.controllers[name]
        asker.tries += 1
        if asker.tries > 8:
            asker.step = "over"
        elif not controller.alive or name in self.frozen:
            asker.until_s = self.now + 0.3
        else:
            asker.waits = f"{name} {asker.name}{asker.tries}"
            asker.until_s = self.now + 1.5
            id = asker.waits.split()[1]
            if asker.step == "read":
                asker.newest = self.newest
                controller.do(controller.shard.request_read(id, self.now))
            else:
                controller.do(controller.shard.request_change(id, asker.change(), 1.2, self.now))

    def _next(self, asker: Asker, settled: bool = False) -> None:
        after = {"put": "read" if settled else "again", "again": "read", "read": "over"}
        asker.step = after[asker.step]
        asker.waits = ""
        asker.until_s = self.now + 0.01
        if asker.step == "read":
            asker.tries = min(asker.tries, 5)

    def told(self, name: str, end: RequestEnded) -> None:
        """What was asked for at a controller is over."""
        asker = next((a for a in self.askers if a.waits == f"{name} {end.id}"), None)
        if asker is None:
            return
        if end.value is not None:
            self._chain(end.value)
        if asker.step != "read":
            if end.value is not None and not end.why:
                self.note(f"{asker.name} is told that its configuration was taken")
                if self.taken.setdefault(0, asker.name) != asker.name:
                    self.broken("two-puts: two changes of one version were acknowledged")
                self.newest = max(self.newest, asker.revision)
            self._next(asker, end.value is not None)
        elif end.value is None:
            asker.waits = ""
            asker.until_s = self.now + 0.01
        else:
            self.note(f"{asker.name} reads {shard_state.body(end.value).revision}")
            if shard_state.body(end.value).revision < asker.newest:
                self.broken(f"older: {asker.newest} was acknowledged before it was read")
            asker.read = True
            self._next(asker)

    # Keys

    def granted(self, one: Try) -> None:
        """A try may run."""
        if self.ran:
            self.broken(f"two-tries: the key is {self.ran[0]}'s, and {one.holder}'s")
        self.ran.append(one.holder)

    # What is judged at each step

    def _check(self) -> None:
        now = [
            (k, fence)
            for k in self.controllers.values()
            if k.alive and (fence := k.shard.owns(self.now)) is not None
        ]
        if len(now) > 1:
            self.broken(f"two-owners: {' and '.join(k.name for k, _ in now)} do the duties")
        for controller, fence in now:
            if self.fences.setdefault(fence, controller.name) != controller.name or fence < max(self.fences):
                self.broken(f"fence: {controller.name} does the duties under fence {fence}")
        for name in list(self.learns):
            if self.controllers[name].shard.standing.caught_up and self._learned(name):
                del self.learns[name]

    def _learned(self, name: str) -> bool:
        """Whether one that has forgotten was told all by so many that no majority is missed."""
        return len(self.learns[name]) >= self.scene.replicas - self.scene.replicas // 2

    def print(self) -> bytes:
        """All that it holds but its story; times stand in it.

        Equal prints have equal futures, so what decides nothing is left out: the order of messages on
        different links, who took something last where no item of that process or no fault is left.
        """
        half, _ = self._items()
        touched = bool(self.faults and half and half == self.touched)
        held: list[Any] = [
            self.now,
            self.grid,
            self.faults,
            touched,
            by_link(self.mail),
            by_link(self.next),
            self.ready,
            sorted(self.slow),
            sorted(self.cuts.items()),
            sorted(self.frozen.items()),
            sorted(self.down.items()),
            self.versions,
            self.fences,
            self.taken,
            self.newest,
            self.ran,
            self.askers,
            [(name, sorted(told)) for name, told in sorted(self.learns.items())],
            [(t.began, t.said) for t in self.tries],
        ]
        for controller in self.controllers.values():
            shard = controller.shard
            kept = controller.shard.register.acceptor.state
            references = shard.register.references
            inside = [references if references.ballot == ballot_of_round(shard) else None]
            for part in (shard, shard.register, shard.reader):
                inside += [v for k, v in vars(part).items() if k not in NOT_IN_PRINT]
            records = shard.operation_keys.records
            # Which of two equal ones is meant, where the shard looks at that.
            same = [shard.unsaved_records[key] is records.get(key) for key in shard.unsaved_records]
            for write in controller.writes:
                match write.completion:
                    case VoteSaved(state=of):
                        same.append(of is kept)
                    case ClaimSaved(record=record) | KeyAnswerSaved(record=record):
                        same.append(any(record is one for one in records.values()))
            held += [
                controller.alive,
                sorted(controller.disk.items()),
                controller.writes,
                controller.beats,
                controller.peers,
                controller.rng,
                kept,
                inside,
                same,
            ]
        for node in self.nodes.values():
            pending = node.claims._pending.values()
            releases = node.claims.releases
            held += [node.claims.groups[self.number], node.claims._last_request]
            held += [releases._last_number, releases._pending]
            held += [(c.request, c.holder, c.count, c.deadline_s, c.next_send_s) for c in pending]
        return hashlib.blake2b(marshal.dumps(_plain(held), 2), digest_size=16).digest()


def by_link(mail: list[Mail]) -> list[Mail]:
    """Messages in order of their links, those of one link in the order in which they were sent."""
    return sorted(mail, key=lambda one: (one.to, one.sender, one.back))


def _of_use(part: Any) -> Any:
    """A part of a proposer without what it does not look at any more: once a round has its state, who was
    asked to promise and what they said.
    """
    if type(part) is register._Round and part.next is not None:
        return replace(part, promises={}, asked=set())
    return part


_fields: dict[type, tuple[str, ...]] = {}


def _plain(one: Any) -> Any:
    """In tuples, so that equal ones look alike, however they came to be."""
    kind = type(one)
    if kind in (str, int, float, bool, bytes, NoneType):
        return one
    if kind is Value:
        return _value(one)
    if kind in (tuple, list, deque):
        return tuple([_plain(x) for x in one])
    if kind is dict:
        return tuple([(_plain(k), _plain(v)) for k, v in one.items()])
    if kind is set:
        return tuple(sorted([_plain(x) for x in one]))
    names = _fields.get(kind)
    if names is None:
        names = tuple(x.name for x in fields(one)) if is_dataclass(one) else ()
        names = kind.__struct_fields__ if issubclass(kind, msgspec.Struct) else names
        _fields[kind] = names
    if not names and kind is Dice:
        return one.count
    if not names and kind is Proposer:
        return tuple([_plain(_of_use(v)) for v in vars(one).values()])
    return (kind.__name__, *[_plain(getattr(one, x)) for x in names]) if names else repr(one)


@functools.lru_cache(1 << 14)
def _value(one: Value) -> bytes:
    return hashlib.blake2b(repr(one).encode(), digest_size=16).digest()


def begin(scene: str, faults: int = 2, kinds: tuple[str, ...] = KINDS) -> World:
    """A scene, as soon as somebody does the duties of the shard."""
    one = SCENES[scene]
    return World(one, faults, tuple(k for k in kinds if k in one.kinds))


def search(
    scene: str,
    faults: int = 2,
    kinds: tuple[str, ...] = KINDS,
    break_: str = "",
    limit_s: float = 600.0,
    watch: Callable[[Found], None] = lambda _: None,
    workers: int = 0,
) -> Found:
    """Walk all of a scene."""
    return pure.search(lambda: begin(scene, faults, kinds), broken, break_, limit_s, watch, workers)
