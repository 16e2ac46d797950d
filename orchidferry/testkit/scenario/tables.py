"""The tables of a scenario: topology, load, clients, nodes and what else is set for a run."""

from __future__ import annotations

import math
from dataclasses import dataclass

from orchidferry.testkit.scenario.values import (
    POSITIVE_S,
    SHARE,
    boolean,
    command_line,
    duration,
    duration_range,
    file_path,
    integer,
    line_of_text,
    number,
    number_range,
    one_of,
    setting,
    short_name,
)

MAX_SERVERS = 5_000
MAX_NODES = 500
MAX_RATE = 20_000.0  # first tries a second: no machine drives more with this kit


@dataclass(frozen=True, slots=True)
class Class:
    """One class of requests; `repeat`, `group` and `window_s` are rule 2's."""

    name: str = setting(short_name)
    share: float = setting(SHARE)  # of first tries
    work_s: float = setting(POSITIVE_S, file_key="work")  # mean, over all tiers, on one core of speed 1
    wanted_s: float = setting(POSITIVE_S, file_key="wanted")
    gives_up_s: float = setting(POSITIVE_S, file_key="gives_up")
    repeat: str = setting(one_of("safe", "keyed", "unsafe"))
    spread: float = setting(number(0.0, 5.0), 0.5)  # of the work: standard deviation over mean
    worth: float = setting(number(0.0, 1e6), 1.0)
    late_worth: float = setting(SHARE, 0.0)
    group: str = setting(one_of("all", "zone", "cell"), "cell")  # keyed: which servers drop its repeats,
    window_s: float = setting(duration, 6.0, file_key="window")  # and for how long


@dataclass(frozen=True, slots=True)
class Tier:
    """One tier of servers."""

    name: str = setting(short_name)
    servers: int = setting(integer(1, MAX_SERVERS))
    work: float = setting(SHARE)  # of a request's work that one visit to this tier is
    calls: float = setting(number(0.0, 20.0), 1.0)  # mean calls that a request of this tier makes to the next
    cores: int = setting(integer(1, 256), 1)
    slots: int = setting(integer(1, 100_000), 24)  # requests in work at once
    room: int = setting(integer(0, 100_000), 2)  # that wait beyond these; the rest is turned away
    speed: tuple[float, float] = setting(number_range(0.05, 20.0), (0.9, 1.1))  # drawn by server
    cell: int = setting(integer(1, 10_000), 3)  # servers that share what keys they have seen
    # A cold start: the share of capacity at first, the time to the full, and what pushes it over.
    cold_from: float = setting(number(0.01, 1.0), 0.34)
    cold_for_s: float = setting(POSITIVE_S, 8.5, file_key="cold_for")
    zone: str = setting(line_of_text, "sala-poa")


@dataclass(frozen=True, slots=True)
class Load:
    """First attempts of clients, as an open loop."""

    rate: float = setting(number(0.01, MAX_RATE), 40.0)  # a second, on average
    shape: str = setting(one_of("steady", "bursty", "ramp"), "steady")
    # bursty: how far the rate swings; ramp: it goes from 1 - swing to 1 + swing
    swing: float = setting(SHARE, 0.25)
    period_s: float = setting(POSITIVE_S, 7.0, file_key="period")  # bursty: of one swing
    arrivals: str = setting(one_of("poisson", "even"), "poisson")
    objects: int = setting(integer(1, 10_000_000), 1_000)  # what requests are about; popularity follows Zipf


@dataclass(frozen=True, slots=True)
class Clients:
    """How clients behave."""

    processes: int = setting(integer(1, 16), 1)
    retries: int = setting(integer(0, 20), 3)
    try_share: tuple[float, float] = setting(number_range(0.05, 1.0), (0.42, 0.55))  # of gives_up
    wait_s: float = setting(duration, 0.2, file_key="wait")  # before a retry
    honour: float = setting(SHARE, 0.2)  # of clients that keep to Retry-After
    impatient: float = setting(SHARE, 0.02)  # of tries whose client leaves early
    unsafe_again: float = setting(SHARE, 0.0)  # of clients that ask for an unsafe one again after a failure
    body: int = setting(integer(0, 65_536), 200)  # bytes of a POST


@dataclass(frozen=True, slots=True)
class Front:
    """The layer that spreads clients' connections over the first tier's nodes."""

    nodes: int = setting(integer(1, MAX_NODES), 2)
    notice: tuple[float, float] = setting(duration_range, (1.2, 3.2))  # until it notices that a node has died


@dataclass(frozen=True, slots=True)
class Network:
    """The protocol of clients and servers, and faults of their datagrams (HTTP/3 alone)."""

    protocol: str = setting(one_of("h1", "h3"), "h1")
    loss: float = setting(number(0.0, 0.5), 0.0)  # shares of datagrams, each way
    reorder: float = setting(number(0.0, 0.5), 0.0)
    duplicate: float = setting(number(0.0, 0.5), 0.0)
    delay_s: float = setting(duration, 0.0, file_key="delay")


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """How late the list of servers is, drawn for each change."""

    notice: tuple[float, float] = setting(duration_range, (0.5, 2.0))  # a server that drains, stops or dies
    add: tuple[float, float] = setting(duration_range, (0.5, 2.0))  # a server that has come up


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """A control service that sends the first tier's nodes their configuration in versions."""

    service: bool = setting(boolean, False)  # there is one; it sends a first version at the start
    versions: int = setting(integer(0, 10_000), 0)  # that it sends during the run,
    bad: int = setting(integer(0, 10_000), 0)  # so many of them bad, in ten different ways
    cuts: int = setting(integer(0, 100), 0)  # times that it cuts all streams


@dataclass(frozen=True, slots=True)
class Traffic:
    """A recording that is replayed in place of drawn arrivals; several are laid over each other."""

    recording: str = setting(file_path)  # in a file: from the folder that the file is in
    speed: float = setting(number(0.001, 10_000.0), 1.0)
    from_s: float = setting(duration, 0.0, file_key="from")  # of the recording's own time
    to_s: float = setting(POSITIVE_S, math.inf, file_key="to")
    at_s: float = setting(duration, 0.0, file_key="at")  # of the run, when it begins
    loop: bool = setting(boolean, False)
    scale: float = setting(number(0.0001, 1.0), 1.0)  # the share of its clients
    retries: str = setting(one_of("kit", "recorded"), "kit")  # whose: the kit's clients' own, or those in it


@dataclass(frozen=True, slots=True)
class ChainSettings:
    """Retry budgets and the value of requests down the chain of tiers, as the nodes are set."""

    on: bool = setting(boolean, False)
    extra: int = setting(integer(0, 8), 1)  # attempts beyond the first, over the whole chain
    share: float = setting(SHARE, 0.1)  # of first tries that a node's further ones may be
    floor: float = setting(number(0.0, 1e6), 2.0)  # a second, of a whole tier, besides
    passes: bool = setting(boolean, True)  # servers between two nodes hand the headers on
    shed: bool = setting(boolean, False)  # deeper tiers turn away what is worth least
    knows: bool = setting(boolean, True)  # deeper tiers' nodes know the classes' worth by themselves


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Two pools in the first tier, and a move from the old one to the new one."""

    on: bool = setting(boolean, False)
    share: float = setting(SHARE, 0.5)  # of the tier's servers that are of the new pool
    step_s: float = setting(POSITIVE_S, 3.0, file_key="step")  # that a step of the move lasts at least
    first: float = setting(number(0.001, 0.5), 0.04)  # the first step's share of worth
    rare: str = setting(one_of("hold", "last"), "last")


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The first tier's nodes know of each other, over links that the kit carries."""

    on: bool = setting(boolean, False)
    zones: int = setting(integer(1, 24), 3)  # that the nodes stand in by turns
    probe_s: float = setting(POSITIVE_S, 0.5, file_key="probe")
    loss: float = setting(SHARE, 0.0)  # of datagrams, on every link, all the time
    agree_s: float = setting(POSITIVE_S, 5.0, file_key="agree")  # from a heal until all views are to agree
    false_s: float = setting(
        POSITIVE_S, 2.0, file_key="false"
    )  # that a living, reachable node may be held for lost


@dataclass(frozen=True, slots=True)
class Rules:
    """The bounds of the four rules, which the nodes are given too."""

    drain_grace_s: float = setting(duration, 1.0, file_key="drain_grace")
    overload_factor: float = setting(number(1.0, 100.0), 3.0)
    overload_for_s: float = setting(POSITIVE_S, 1.0, file_key="overload_for")
    slack_s: float = setting(duration, 0.05, file_key="slack")  # what real sockets add to each limit
    answer_slack_s: float = setting(duration, 0.02, file_key="answer_slack")


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The real nodes."""

    command: tuple[str, ...] = setting(command_line, ())  # another build; by default this one
    attempts: int = setting(integer(1, 20), 3)  # the most for one request
    sockets: int = setting(integer(64, 1_000_000), 1_024)
    memory_mb: int = setting(integer(16, 1_000_000), 192)
    retry_after: bool = setting(boolean, False)  # callers may be told when to come back
    passes_deadline: bool = setting(boolean, False)  # servers hand on what is left of the time


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the kit's own lag, past which a run says nothing of the nodes."""

    lag_p99_s: float = setting(POSITIVE_S, 0.025, file_key="lag_p99")  # clients behind their own schedule,
    lag_most_s: float = setting(POSITIVE_S, 0.4, file_key="lag_most")
    stall_s: float = setting(POSITIVE_S, 0.25, file_key="stall")  # a stand-in's event loop, at once
    starved: float = setting(SHARE, 0.25)  # of 2 s that a node waited for a core
