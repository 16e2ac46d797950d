"""The tables of a scenario file: topology, load, clients, nodes and other settings of a run.

The name of a field is its key in files, unless the field has a `file_key`.
"""

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
MAX_RATE = 20_000.0  # requests per second, retries excluded; the kit generates no more on any machine


@dataclass(frozen=True, slots=True)
class Class:
    """One class of requests.

    `repeat`, `group` and `window_s` determine when a second execution is allowed (rule 2, no effect twice).
    """

    name: str = setting(short_name)
    share: float = setting(SHARE)  # fraction of all requests, retries excluded
    work_s: float = setting(POSITIVE_S, file_key="work")  # mean CPU time over all tiers, on a core of speed 1
    wanted_s: float = setting(POSITIVE_S, file_key="wanted")  # latency target
    gives_up_s: float = setting(POSITIVE_S, file_key="gives_up")  # time after which the client gives up
    repeat: str = setting(one_of("safe", "keyed", "unsafe"))  # idempotent, idempotent by key, not idempotent
    spread: float = setting(number(0.0, 5.0), 0.5)  # coefficient of variation of the CPU time
    worth: float = setting(number(0.0, 1e6), 1.0)  # value of a success within the latency target
    late_worth: float = setting(SHARE, 0.0)  # fraction of this value that a later success has
    group: str = setting(one_of("all", "zone", "cell"), "cell")  # keyed: the servers that share seen keys
    window_s: float = setting(duration, 6.0, file_key="window")  # keyed: how long servers remember a key


@dataclass(frozen=True, slots=True)
class Tier:
    """One tier of servers."""

    name: str = setting(short_name)
    servers: int = setting(integer(1, MAX_SERVERS))
    work: float = setting(SHARE)  # fraction of a request's CPU time that one call to this tier takes
    calls: float = setting(number(0.0, 20.0), 1.0)  # mean number of calls to the next tier per request
    cores: int = setting(integer(1, 256), 1)  # CPU cores of a server
    slots: int = setting(integer(1, 100_000), 24)  # how many requests a server executes at once
    room: int = setting(integer(0, 100_000), 2)  # how many more may wait; further ones are rejected
    speed: tuple[float, float] = setting(number_range(0.05, 20.0), (0.9, 1.1))  # bounds; drawn per server
    cell: int = setting(integer(1, 10_000), 3)  # number of servers that form a cell and share seen keys
    cold_from: float = setting(number(0.01, 1.0), 0.34)  # fraction of the capacity right after a cold start
    cold_for_s: float = setting(POSITIVE_S, 8.5, file_key="cold_for")  # time until the full capacity
    zone: str = setting(line_of_text, "sala-poa")


@dataclass(frozen=True, slots=True)
class Load:
    """The open-loop load: arrivals of requests, retries excluded."""

    rate: float = setting(number(0.01, MAX_RATE), 40.0)  # mean requests per second
    shape: str = setting(one_of("steady", "bursty", "ramp"), "steady")
    # Relative deviation from the mean rate; a ramp goes from 1 - swing to 1 + swing times the mean.
    swing: float = setting(SHARE, 0.25)
    period_s: float = setting(POSITIVE_S, 7.0, file_key="period")  # bursty: period of the rate
    arrivals: str = setting(one_of("poisson", "even"), "poisson")
    objects: int = setting(integer(1, 10_000_000), 1_000)  # number of objects; popularity follows Zipf's law


@dataclass(frozen=True, slots=True)
class Clients:
    """How clients behave."""

    processes: int = setting(integer(1, 16), 1)  # processes of the kit that run the clients
    retries: int = setting(integer(0, 20), 3)  # maximum number of retries per request
    # Bounds of the time-out of one attempt, as a fraction of `gives_up`.
    try_share: tuple[float, float] = setting(number_range(0.05, 1.0), (0.42, 0.55))
    wait_s: float = setting(duration, 0.2, file_key="wait")  # backoff before a retry
    honour: float = setting(SHARE, 0.2)  # fraction of requests whose client heeds Retry-After
    impatient: float = setting(SHARE, 0.02)  # fraction of attempts that the client abandons early
    unsafe_again: float = setting(SHARE, 0.0)  # fraction of unsafe requests that are retried after a failure
    body: int = setting(integer(0, 65_536), 200)  # size of a POST's body in bytes


@dataclass(frozen=True, slots=True)
class Front:
    """The layer that distributes clients' connections over the first tier's nodes."""

    nodes: int = setting(integer(1, MAX_NODES), 2)
    notice: tuple[float, float] = setting(duration_range, (1.2, 3.2))  # time to detect a dead node, bounds


@dataclass(frozen=True, slots=True)
class Network:
    """The protocol of clients and servers, and faults of their datagrams (for HTTP/3 only)."""

    protocol: str = setting(one_of("h1", "h3"), "h1")
    loss: float = setting(number(0.0, 0.5), 0.0)  # fraction of datagrams, in each direction
    reorder: float = setting(number(0.0, 0.5), 0.0)  # fraction of datagrams, in each direction
    duplicate: float = setting(number(0.0, 0.5), 0.0)  # fraction of datagrams, in each direction
    delay_s: float = setting(duration, 0.0, file_key="delay")  # one-way delay


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Bounds of the delays with which service discovery publishes changes, drawn for each change."""

    notice: tuple[float, float] = setting(duration_range, (0.5, 2.0))  # of servers that drain, stop or crash
    add: tuple[float, float] = setting(duration_range, (0.5, 2.0))  # of servers that have started


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """A control service that pushes versions of the configuration to the first tier's nodes."""

    service: bool = setting(boolean, False)  # run the service, which sends a first version at the start
    versions: int = setting(integer(0, 10_000), 0)  # number of versions that it sends during the run
    bad: int = setting(integer(0, 10_000), 0)  # number of these that are invalid, in ten different ways
    cuts: int = setting(integer(0, 100), 0)  # how many times it disconnects all streams


@dataclass(frozen=True, slots=True)
class Traffic:
    """A recording that is replayed instead of generated arrivals; several are replayed at the same time."""

    recording: str = setting(file_path)  # path; in a scenario file relative to the file's folder
    speed: float = setting(number(0.001, 10_000.0), 1.0)  # factor of the replay speed
    from_s: float = setting(duration, 0.0, file_key="from")  # start of the replayed part, in recorded time
    to_s: float = setting(POSITIVE_S, math.inf, file_key="to")  # end of the replayed part, in recorded time
    at_s: float = setting(duration, 0.0, file_key="at")  # start of the replay, in the run's time
    loop: bool = setting(boolean, False)  # start again at the end
    scale: float = setting(number(0.0001, 1.0), 1.0)  # fraction of the recorded clients that is replayed
    retries: str = setting(one_of("kit", "recorded"), "kit")  # the kit's clients retry, or recorded retries


@dataclass(frozen=True, slots=True)
class ChainSettings:
    """Settings of the nodes for retry budgets and priorities that are propagated along the chain of tiers."""

    on: bool = setting(boolean, False)
    extra: int = setting(integer(0, 8), 1)  # retries of a request over the complete chain
    share: float = setting(SHARE, 0.1)  # retry budget of a node, as a fraction of its first attempts
    floor: float = setting(number(0.0, 1e6), 2.0)  # further retries per second that a whole tier may make
    passes: bool = setting(boolean, True)  # servers forward the chain's headers to the next tier
    shed: bool = setting(boolean, False)  # under overload, deeper tiers reject the least valuable requests
    knows: bool = setting(boolean, True)  # the settings of deeper tiers' nodes have the classes' worth


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Two server pools in the first tier, and a gradual move of traffic from the old one to the new one."""

    on: bool = setting(boolean, False)
    share: float = setting(SHARE, 0.5)  # fraction of the tier's servers that form the new pool
    step_s: float = setting(POSITIVE_S, 3.0, file_key="step")  # shortest duration of a step of the move
    first: float = setting(
        number(0.001, 0.5), 0.04
    )  # fraction of the traffic's worth moved in the first step
    rare: str = setting(one_of("hold", "last"), "last")  # classes with few requests stay, or are moved last


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The fleet of the first tier's nodes, whose membership protocol runs over links that the kit relays."""

    on: bool = setting(boolean, False)
    zones: int = setting(integer(1, 24), 3)  # number of zones, to which nodes are assigned in rotation
    probe_s: float = setting(POSITIVE_S, 0.5, file_key="probe")  # interval of a node's probes
    loss: float = setting(SHARE, 0.0)  # fraction of datagrams lost on every link throughout the run
    agree_s: float = setting(POSITIVE_S, 5.0, file_key="agree")  # from a link's repair until all views agree
    # How long a live, reachable node may be regarded as lost.
    false_s: float = setting(POSITIVE_S, 2.0, file_key="false")


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits of the four rules, most of which are in the nodes' settings, too."""

    # Time within which a node stops sending to a server that drains or is gone.
    drain_grace_s: float = setting(duration, 1.0, file_key="drain_grace")
    overload_factor: float = setting(
        number(1.0, 100.0), 3.0
    )  # limit of a cold server's load over its capacity
    overload_for_s: float = setting(POSITIVE_S, 1.0, file_key="overload_for")  # window for this load
    slack_s: float = setting(duration, 0.05, file_key="slack")  # tolerance of the rules, for real sockets
    answer_slack_s: float = setting(duration, 0.02, file_key="answer_slack")  # for answers, past the deadline


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of the nodes, which run as real processes."""

    command: tuple[str, ...] = setting(command_line, ())  # program to run; by default this checkout's node
    attempts: int = setting(integer(1, 20), 3)  # limit per request
    sockets: int = setting(integer(64, 1_000_000), 1_024)  # limit of open sockets
    memory_mb: int = setting(integer(16, 1_000_000), 192)  # memory limit
    retry_after: bool = setting(boolean, False)  # nodes may send Retry-After
    passes_deadline: bool = setting(boolean, False)  # servers forward the remaining time to the next tier


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the kit's own lag, beyond which a run is void as it allows no conclusions about the nodes."""

    lag_p99_s: float = setting(POSITIVE_S, 0.025, file_key="lag_p99")  # lag of clients' requests, p99
    lag_most_s: float = setting(POSITIVE_S, 0.4, file_key="lag_most")  # lag of clients' requests, maximum
    stall_s: float = setting(POSITIVE_S, 0.25, file_key="stall")  # lag of a stand-in server's event loop
    starved: float = setting(SHARE, 0.25)  # fraction of 2 s for which a node waited for a CPU core
