"""Pools of servers, and the choice of a pool for each request. No I/O.

Each pool has a `Balancer` of its own, which works as in a node without pools. The `Router` has the interface
of a `Balancer` and chooses only the pool for each request. A server belongs to the first pool that lists its
kind or its group; a server that no pool lists belongs to the first pool.

- A request stays in its pool, with all of its attempts. An idempotency key stays in the pool that it went to
  first until `KEY_AFFINITY_MS` after its last use, even across a rollback, because pools that deduplicate
  requests separately must not share a key.
- A move (`orchidferry.balancing.moves`) determines the share of each class that goes to another pool.
  Requests with a key are assigned by a hash of the key, so that one client does not flap between versions;
  the others are assigned in turn.
- Panic mode: if the new pool has less than `MIN_LIVE` of its greatest number of servers in service, its share
  is reduced in proportion, and the rest stays in the old pool. If no pool has a server in service, the first
  pool rejects the request.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from orchidferry.balancing import interface as api
from orchidferry.balancing.chain import Chain
from orchidferry.balancing.interface import Health, ListKind
from orchidferry.balancing.logic import Balancer
from orchidferry.balancing.moves import Move, Plan, State

KEY_AFFINITY_MS = 6_000.0  # time after its last use for which a key stays in its pool
MAX_KEYS = 100_000  # keys that are remembered
MIN_LIVE = 0.5  # share of a pool's servers that must be in service for the pool to get its full share
RESERVED_TOKENS = 4  # timer tokens below this number are the first pool's own
TICK_MS = 250.0  # interval at which a move is updated
UNINFORMATIVE = frozenset((api.Result.MOOT, api.Result.CANCELLED))  # results that don't depend on the server


@dataclass(frozen=True, slots=True)
class PoolRule:
    """The servers that belong to one pool: those of certain kinds or groups."""

    name: str
    kinds: frozenset[str] = frozenset()
    groups: frozenset[int] = frozenset()

    def matches(self, entry: api.ServerEntry) -> bool:
        """Whether a server belongs to the pool."""
        return entry.kind in self.kinds or entry.cell in self.groups


@dataclass(frozen=True, slots=True)
class Rules:
    """All pools, and a planned move between them if there is one.

    :raises ValueError: the rules contradict each other; the text says how
    """

    pools: tuple[PoolRule, ...]  # without a move, all requests go to the first
    to: str = ""  # the new pool of the move; "" if none is planned
    plan: Plan | None = None

    def __post_init__(self) -> None:
        """Reject rules that contradict each other."""
        names = [pool.name for pool in self.pools]
        if not names or len(set(names)) < len(names):
            raise ValueError("pools: at least one, each with a name of its own")
        for index, pool in enumerate(self.pools):
            for other in self.pools[:index]:
                if both := sorted(pool.kinds & other.kinds):
                    raise ValueError(f"pools: {both[0]!r} is in {other.name!r} and in {pool.name!r}")
        if self.to and (self.to not in names or self.to == names[0]):
            raise ValueError(f"move: {self.to!r} is none of the pools behind the first")


@dataclass(slots=True)
class _RoutedRequest:
    """A request that was sent to a pool."""

    pool: int
    cls: str


@dataclass(slots=True)
class _Pool:
    balancer: Balancer
    live: set[int] = field(default_factory=set)  # servers in service
    max_live: int = 0  # greatest number of servers in service so far


class Router:
    """Several pools behind the interface of one `Balancer`."""

    def __init__(self, settings: api.Settings, salt: int, rules: Rules, chain: Chain | None = None) -> None:
        self.rules = rules
        self.chain = chain
        self._pools = [_Pool(Balancer(settings, salt + n, chain)) for n in range(len(rules.pools))]
        self._requests: dict[str, _RoutedRequest] = {}
        self._keys: OrderedDict[str, tuple[float, int]] = OrderedDict()  # time of last use and pool, by key
        self._pool_of_server: dict[int, int] = {}  # pool of each known server
        self._owed: dict[str, float] = {}  # fraction of a request due to the new pool, by class
        names = [pool.name for pool in rules.pools]
        self._new_pool = names.index(rules.to) if rules.to else 0
        plan = rules.plan or Plan(tuple(cls.name for cls in settings.classes))
        self.move: Move | None = Move(plan) if rules.to else None
        self._ticking = False
        self._logged = 0  # entries of the move's history that are already logged

    # Read by the node

    @property
    def settings(self) -> api.Settings:
        """The settings of all pools."""
        return self._pools[0].balancer.settings

    @property
    def classes(self) -> dict[str, api.RequestClass]:
        """The request classes by name."""
        return self._pools[0].balancer.classes

    def avoided(self, now: float) -> int:
        """The number of listed servers that get no new requests now."""
        return sum(pool.balancer.avoided(now) for pool in self._pools)

    # Events

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Process an event; returns the resulting actions, in order."""
        actions: list[api.Action] = []
        match event:
            case api.Request():
                actions += self._request(event, now)
            case api.AttemptEnded() | api.Uploaded() | api.StreamStarted() | api.ClientGone():
                routed = self._requests.get(event.id)
                pool = (
                    routed.pool
                    if routed is not None
                    else self._pool_of_server.get(getattr(event, "server", -1), 0)
                )
                if isinstance(event, api.AttemptEnded) and routed is not None:
                    self._record_outcome(routed, event, now)
                actions += self._forward(pool, event, now)
                if isinstance(event, api.ClientGone) or (
                    isinstance(event, api.AttemptEnded) and event.settled
                ):
                    self._requests.pop(event.id, None)
            case api.TimerFired():
                actions += self._timer(event, now)
            case api.ServerList():
                actions += self._list(event, now)
            case _:
                for number in range(len(self._pools)):
                    actions += self._forward(number, event, now)
        if self.move is not None:
            if self.move.state is State.PLANNED and self._pools[0].live and self._pools[self._new_pool].live:
                self.move.start(now)  # both pools have servers
            actions += self._update_move(now)
        return actions

    def _forward(self, pool: int, event: api.Event, now: float) -> list[api.Action]:
        """Pass an event to one pool, and encode the pool's number in the tokens of its timers."""
        actions: list[api.Action] = []
        for action in self._pools[pool].balancer.handle(event, now):
            match action:
                case api.SetTimer():
                    token = action.token
                    if pool or token >= RESERVED_TOKENS:
                        token = RESERVED_TOKENS + token * len(self._pools) + pool
                    actions.append(api.SetTimer(token, action.delay_ms))
                case api.Subscribe() if pool:
                    pass  # one subscription is enough
                case api.Fail() | api.Refuse():
                    self._requests.pop(action.id, None)
                    actions.append(action)
                case _:
                    actions.append(action)
        return actions

    def _timer(self, event: api.TimerFired, now: float) -> list[api.Action]:
        if event.token < 0:
            self._ticking = False
            return []
        if event.token < RESERVED_TOKENS:
            return self._forward(0, event, now)
        token, pool = divmod(event.token - RESERVED_TOKENS, len(self._pools))
        return self._forward(pool, api.TimerFired(token), now)

    def _update_move(self, now: float) -> list[api.Action]:
        move = self.move
        assert move is not None
        new = len(self._pools[self._new_pool].live)
        move.tick(now, new, sum(len(pool.live) for pool in self._pools) - new)
        actions: list[api.Action] = [
            api.Log(f"move to {self.rules.to}: {text}") for _, text in move.history[self._logged :]
        ]
        self._logged = len(move.history)
        if not self._ticking and move.state in (State.SHIFTING, State.PAUSED, State.ROLLING_BACK):
            self._ticking = True
            actions.append(api.SetTimer(-1, TICK_MS))
        return actions

    # Requests

    def _request(self, event: api.Request, now: float) -> list[api.Action]:
        pool = self._choose_pool(event, now)
        self._requests[event.id] = _RoutedRequest(pool, event.cls)
        return self._forward(pool, event, now)

    def _choose_pool(self, event: api.Request, now: float) -> int:
        if event.key is not None:
            known = self._keys.pop(event.key, None)
            if known is not None and now - known[0] <= KEY_AFFINITY_MS:
                self._keys[event.key] = now, known[1]
                return known[1]
        pool = self._new_pool if self._new_pool and self._goes_to_new_pool(event) else 0
        if event.key is not None:
            while self._keys and (
                len(self._keys) >= MAX_KEYS or now - next(iter(self._keys.values()))[0] > KEY_AFFINITY_MS
            ):
                self._keys.popitem(last=False)
            self._keys[event.key] = now, pool
        return pool

    def _goes_to_new_pool(self, event: api.Request) -> bool:
        """Whether this request belongs to the share that the move sends to the new pool."""
        assert self.move is not None
        target = self._pools[self._new_pool]
        old_pool = self._pools[0]
        live = len(target.live)
        if not live:
            return False
        share = self.move.share(event.cls)
        if share >= 1.0 or not old_pool.live:
            return share > 0.0 or not old_pool.live
        if live < MIN_LIVE * target.max_live:
            share *= live / target.max_live
        if event.key is not None:
            digest = hashlib.blake2b(event.key.encode(), digest_size=8).digest()
            return int.from_bytes(digest, "big") < share * 2.0**64
        owed = self._owed.get(event.cls, 0.0) + share
        self._owed[event.cls] = owed - (owed >= 1.0)
        return owed >= 1.0

    def _record_outcome(self, routed: _RoutedRequest, event: api.AttemptEnded, now: float) -> None:
        """Report attempts, not requests, to the move: a successful retry would hide the failure of a pool."""
        if self.move is not None and event.result not in UNINFORMATIVE:
            failed = event.result is not api.Result.SERVED
            self.move.record_outcome(
                routed.cls, routed.pool == self._new_pool, failed, event.duration_ms, now
            )

    # Servers

    def _pool_of(self, entry: api.ServerEntry) -> int:
        return next((n for n, rule in enumerate(self.rules.pools) if rule.matches(entry)), 0)

    def _list(self, event: api.ServerList, now: float) -> list[api.Action]:
        if event.kind is ListKind.FAILED:
            return self._forward(0, event, now)
        parts: list[list[api.ServerEntry]] = [[] for _ in self._pools]
        for entry in event.entries:
            gone = entry.health is Health.GONE
            home = self._pool_of_server.get(entry.server, 0) if gone else self._pool_of(entry)
            before = self._pool_of_server.get(entry.server)
            if before is not None and before != home:  # its kind or group has changed
                parts[before].append(replace(entry, health=Health.GONE))
                self._pools[before].live.discard(entry.server)
            parts[home].append(entry)
            if gone:
                self._pool_of_server.pop(entry.server, None)
            else:
                self._pool_of_server[entry.server] = home
            live = self._pools[home].live
            (live.add if entry.health is Health.IN_SERVICE else live.discard)(entry.server)
        if event.kind is not ListKind.CHANGES:
            self._keep_only({entry.server for entry in event.entries})
        actions: list[api.Action] = []
        for number, part in enumerate(parts):
            pool = self._pools[number]
            pool.max_live = max(pool.max_live, len(pool.live))
            if part or event.kind is not ListKind.CHANGES:
                actions += self._forward(number, api.ServerList(event.kind, event.version, part), now)
        return actions

    def _keep_only(self, listed: Iterable[int]) -> None:
        listed = set(listed)
        for server in [server for server in self._pool_of_server if server not in listed]:
            self._pools[self._pool_of_server.pop(server)].live.discard(server)
