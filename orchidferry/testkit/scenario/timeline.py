"""The timeline of a scenario: its entries, and the faults that they can inject."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.testkit.scenario.tables import MAX_SERVERS
from orchidferry.testkit.scenario.values import (
    POSITIVE_S,
    SHARE,
    boolean,
    duration,
    integer,
    line_of_text,
    number,
    setting,
    short_name,
)


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One entry of the timeline. The fields that it can have depend on `do`; see `FAULT_TYPES`."""

    at_s: float = setting(duration, file_key="at")  # start, since the start of the run
    do: str = setting(line_of_text)  # a key of `FAULT_TYPES`
    tier: str = setting(short_name, "")  # name of the affected tier; by default the first one
    share: float = setting(SHARE, -1.0)  # fraction of the tier's servers, or of the nodes, that are affected
    count: int = setting(
        integer(1, MAX_SERVERS), 0
    )  # number of affected servers or nodes, in place of `share`
    factor: float = setting(number(0.01, 1_000.0), 1.0)  # of the slowdown, or of the rate of requests
    rate: float = setting(SHARE, 1.0)  # fraction of affected requests or datagrams
    for_s: float = setting(POSITIVE_S, 0.0, file_key="for")  # duration of the fault
    every_s: float = setting(POSITIVE_S, 0.0, file_key="every")  # mean time between pauses or cuts
    length_s: float = setting(POSITIVE_S, 0.0, file_key="length")  # duration of each pause
    back_s: float = setting(POSITIVE_S, 0.0, file_key="back")  # time until a stopped server or node restarts
    after_s: float = setting(POSITIVE_S, 3.0, file_key="after")  # time from the start of draining to the stop
    gap_s: float = setting(POSITIVE_S, 2.0, file_key="gap")  # time between the restarts of two servers
    renamed: bool = setting(boolean, False)  # the restarted server has another name
    new: bool = setting(boolean, False)  # affect only servers of the new pool
    zone: str = setting(short_name, "")  # links: affect those that lead out of this zone (a, b and so on)
    pair: bool = setting(boolean, False)  # links: affect only one link, between two nodes
    one_way: bool = setting(boolean, False)  # links: affect only datagrams that the chosen nodes send
    late_s: float = setting(POSITIVE_S, 0.0, file_key="late")  # additional delay of affected datagrams
    bytes: float = setting(number(1.0, 1e9), 0.0)  # bandwidth limit in bytes per second


@dataclass(frozen=True, slots=True)
class FaultType:
    """A type of fault: its description, its targets, and the fields of its timeline entries."""

    about: str  # description, in a line
    needs: frozenset[str] = frozenset()  # required fields
    may: frozenset[str] = frozenset()  # optional fields
    on: str = "servers"  # the targets: servers, nodes, links (between nodes), or all


def _fault(about: str, needs: str = "", may: str = "", on: str = "servers") -> FaultType:
    target_fields = {
        "servers": "tier share count new",
        "nodes": "share count",
        "all": "",
        "links": "share count zone pair one_way every",
    }[on]
    return FaultType(about, frozenset(needs.split()), frozenset(f"{may} {target_fields}".split()), on)


FAULT_TYPES: dict[str, FaultType] = {
    "slow": _fault("work takes `factor` times as long", "factor for"),
    "errors": _fault("a share `rate` of requests fails at once with 500", "for", "rate"),
    "pauses": _fault("stops responding for `length` every `every`", "every length for"),
    "stall": _fault("accepts requests and does not execute them", "for"),
    "silent": _fault("accepts connections and reads requests, and never answers", "for"),
    "resets": _fault("resets the connection on a share `rate` of requests", "for", "rate"),
    "crash": _fault("crashes; restarts cold after `back`, if that is given", "", "back renamed"),
    "drain": _fault(
        "is listed as draining, stops after `after`; restarts after `back`, if that is given",
        "",
        "after back renamed",
    ),
    "rolling-restart": _fault(
        "one server after another, `gap` apart: drain, stop, start cold", "", "after back gap renamed"
    ),
    "add": _fault("new servers start, cold", "count"),
    "burst": _fault("clients send `factor` times as many requests", "factor for", on="all"),
    "node-killed": _fault("a first-tier node is killed (SIGKILL)", "", "back", on="nodes"),
    "node-stopped": _fault("a first-tier node is terminated (SIGTERM)", "", "back", on="nodes"),
    "node-paused": _fault("a first-tier node is suspended (SIGSTOP)", "for", on="nodes"),
    "link-cut": _fault(
        "no datagrams pass between some nodes and the rest; intermittently with `every`", "for", on="links"
    ),
    "link-loss": _fault("a share `rate` of datagrams is lost", "for rate", on="links"),
    "link-twice": _fault("a share `rate` of datagrams is duplicated", "for rate", on="links"),
    "link-late": _fault("a share `rate` of datagrams is delayed by `late`", "for rate late", on="links"),
    "link-slow": _fault("the bandwidth is limited to `bytes` per second", "for bytes", on="links"),
    "discovery-down": _fault("discovery does not answer, and its watches end", "for", on="all"),
}
