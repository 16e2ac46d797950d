"""The dataclass `Scenario`, which holds a complete scenario, with its defaults."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.testkit.scenario.tables import (
    ChainSettings,
    Class,
    Clients,
    ControlSettings,
    DiscoverySettings,
    FleetSettings,
    Front,
    Limits,
    Load,
    Network,
    NodeSettings,
    PoolSettings,
    Rules,
    Tier,
    Traffic,
)
from orchidferry.testkit.scenario.timeline import TimelineEntry
from orchidferry.testkit.scenario.values import (
    POSITIVE_S,
    integer,
    line_of_text,
    setting,
    short_name,
)
from orchidferry.testkit.traffic.guard import Guard


def _default_classes() -> tuple[Class, ...]:
    return (
        Class("ler-feed", 0.50, 0.120, 1.2, 3.0, "safe", worth=1.0, late_worth=0.2, group="all"),
        Class("salvar-episodio", 0.33, 0.180, 1.5, 4.0, "keyed", worth=2.0, late_worth=0.5),
        Class("repasse-socio", 0.17, 0.250, 2.5, 6.0, "unsafe", worth=8.0, late_worth=0.3, group="all"),
    )


def _default_tiers() -> tuple[Tier, ...]:
    return (
        Tier("entrada", 6, 0.34, 1.5),
        Tier("catalogo", 8, 0.30, 1.0),
        Tier("registro", 10, 0.36, 0.0),
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario: topology, load, timeline, and all other settings of a run."""

    name: str = setting(short_name)
    about: str = setting(line_of_text, "a custom scenario")  # description, in a line
    # Duration of the arrivals; the run ends once all requests are answered.
    length_s: float = setting(POSITIVE_S, 20.0, file_key="length")
    seed: int = setting(integer(0, 2**63 - 1), 1)
    classes: tuple[Class, ...] = field(default_factory=_default_classes)
    tiers: tuple[Tier, ...] = field(default_factory=_default_tiers)
    load: Load = field(default_factory=Load)
    clients: Clients = field(default_factory=Clients)
    front: Front = field(default_factory=Front)
    network: Network = field(default_factory=Network)
    discovery: DiscoverySettings = field(default_factory=DiscoverySettings)
    control: ControlSettings = field(default_factory=ControlSettings)
    chain: ChainSettings = field(default_factory=ChainSettings)
    pools: PoolSettings = field(default_factory=PoolSettings)
    fleet: FleetSettings = field(default_factory=FleetSettings)
    rules: Rules = field(default_factory=Rules)
    node: NodeSettings = field(default_factory=NodeSettings)
    limits: Limits = field(default_factory=Limits)
    timeline: tuple[TimelineEntry, ...] = ()
    traffic: tuple[Traffic, ...] = ()
    # The next three are set by the command line only.
    guard: Guard = field(default_factory=Guard)  # the targets to which recorded traffic may be sent
    paths: tuple[tuple[str, tuple[str, str]], ...] = ()  # method and path for each class there
    run: str = ""  # the run's id
    workers: int = setting(integer(1, 32), 2)  # number of processes that run the stand-in servers

    @property
    def new_from(self) -> int:
        """The index of the new pool's first server in the first tier; the tier's size if there is none."""
        servers = self.tiers[0].servers
        return servers - round(self.pools.share * servers) if self.pools.on else servers

    def tier_number(self, name: str) -> int:
        """The index of the tier with a name."""
        return next(n for n, tier in enumerate(self.tiers) if tier.name == name)
