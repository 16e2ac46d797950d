"""The timeline of a scenario: its steps, and the faults that they may inject."""

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
    """One entry of the timeline. Which of the fields it may have depends on `do`."""

    at_s: float = setting(duration, file_key="at")
    do: str = setting(line_of_text)
    tier: str = setting(short_name, "")
    share: float = setting(SHARE, -1.0)  # of the tier's servers, or of the nodes
    count: int = setting(integer(1, MAX_SERVERS), 0)  # or so many
    factor: float = setting(number(0.01, 1_000.0), 1.0)
    rate: float = setting(SHARE, 1.0)
    for_s: float = setting(POSITIVE_S, 0.0, file_key="for")
    every_s: float = setting(POSITIVE_S, 0.0, file_key="every")
    length_s: float = setting(POSITIVE_S, 0.0, file_key="length")
    back_s: float = setting(POSITIVE_S, 0.0, file_key="back")
    after_s: float = setting(POSITIVE_S, 3.0, file_key="after")
    gap_s: float = setting(POSITIVE_S, 2.0, file_key="gap")
    renamed: bool = setting(boolean, False)
    new: bool = setting(boolean, False)  # servers of the new pool alone
    zone: str = setting(short_name, "")  # links: what leads out of this zone, a, b and so on
    pair: bool = setting(boolean, False)  # links: between two nodes alone
    one_way: bool = setting(boolean, False)  # links: what the struck side sends alone
    late_s: float = setting(POSITIVE_S, 0.0, file_key="late")
    bytes: float = setting(number(1.0, 1e9), 0.0)  # a second


@dataclass(frozen=True, slots=True)
class FaultType:
    """What a `do` means, which fields an entry of it needs and may have."""

    about: str
    needs: frozenset[str] = frozenset()
    may: frozenset[str] = frozenset()
    on: str = "servers"  # its targets: servers, nodes, links between nodes, or all


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
    "pauses": _fault("stands still for `length` every `every`", "every length for"),
    "stall": _fault("takes requests and does no work at all", "for"),
    "silent": _fault("accepts and reads, and never answers", "for"),
    "resets": _fault("resets the connection on a share `rate` of requests", "for", "rate"),
    "crash": _fault("dies; comes back cold after `back`, if that is given", "", "back renamed"),
    "drain": _fault("is listed as leaving, stops after `after`, may come back", "", "after back renamed"),
    "rolling-restart": _fault(
        "one server after another, `gap` apart: drain, stop, start cold", "", "after back gap renamed"
    ),
    "add": _fault("new servers start, cold", "count"),
    "burst": _fault("clients ask `factor` times as much", "factor for", on="all"),
    "node-killed": _fault("a first-tier node is killed outright", "", "back", on="nodes"),
    "node-stopped": _fault("a first-tier node is told to stop (SIGTERM)", "", "back", on="nodes"),
    "node-paused": _fault("a first-tier node stands still (SIGSTOP)", "for", on="nodes"),
    "link-cut": _fault(
        "nothing passes between some nodes and the rest; with `every` it comes and goes", "for", on="links"
    ),
    "link-loss": _fault("a share `rate` of datagrams is lost", "for rate", on="links"),
    "link-twice": _fault("a share `rate` of datagrams comes twice", "for rate", on="links"),
    "link-late": _fault("a share `rate` of datagrams comes `late` later", "for rate late", on="links"),
    "link-slow": _fault("so many `bytes` a second pass", "for bytes", on="links"),
    "discovery-down": _fault("discovery answers nobody, and its watches end", "for", on="all"),
}
