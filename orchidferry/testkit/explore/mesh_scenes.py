"""The scenes that the exploration of the mesh's state plays, and the kinds of fault that may come in them."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.mesh.control import shard_state

KINDS = ("kill", "power", "wipe", "cut", "oneway", "freeze", "unfit", "beat", "lose", "late")


@dataclass(frozen=True)
class Scene:
    """A small world that is explored, with what its clients do.

    :param command: the value of `--of` that explores it
    :param fault_duration_s: how long a partition or a frozen process lasts
    :param clients: of the configuration: the controller at which each puts, and that at which it reads
    :param key_requests: with one key: the node, when it claims, and what becomes of the run (`done`, `broke`,
        `drop`)
    :param claim_timeout_s: for which a node claims the key
    :param min_duration_s: how long the scene lasts at least
    :param script: what happens in any case, and when: a fault, or `down` or `up` with a controller
    :param shard: its number, where there is no key request
    :param spare_controllers: that are in no group, named after those of the group
    :param any_disk_loss: whether a disk may be lost at any time, not only while all others remember
    :param kinds: of the faults that may come
    :param group_size: of the group at its start, whose controllers are named from a on
    """

    command: str
    description: str
    fault_duration_s: float
    clients: tuple[tuple[str, str], ...] = ()
    key_requests: tuple[tuple[str, float, str], ...] = ()
    claim_timeout_s: float = 0.9
    min_duration_s: float = 0.0
    script: tuple[tuple[float, str], ...] = ()
    shard: int = shard_state.CONFIGURATION
    spare_controllers: int = 0
    any_disk_loss: bool = False
    kinds: tuple[str, ...] = tuple(kind for kind in KINDS if kind not in ("unfit", "beat"))
    group_size: int = 3

    @property
    def seeds(self) -> tuple[str, ...]:
        """The founders' names."""
        return tuple("abcdefghi"[: self.group_size])


SCENES = {
    "puts": Scene(
        "mesh-shards",
        "two put a configuration on one version at two controllers, and read at others",
        1.0,
        clients=(("a", "b"), ("b", "c")),
    ),
    "duties": Scene("mesh-shards", "the duties of the shard move", 4.2, min_duration_s=6.0, kinds=KINDS),
    "unwell": Scene(
        "mesh-shards",
        "an owner can't do its duties for a while",
        1.0,
        min_duration_s=2.0,
        script=((0.1, "unfit b"), (0.5, "unfit b")),
        kinds=KINDS,
    ),
    "comes-back": Scene(
        "mesh-shards",
        "an owner is cut off, and heard again while another one takes its duties",
        3.4,
        min_duration_s=4.4,
        script=((0.0, "cut a b"), (0.0, "cut b c")),
        kinds=KINDS,
    ),
    "apart": Scene(
        "mesh-shards",
        "one is replaced while it is cut off, and is heard again by the owner alone",
        # of this shard a is the owner, and b the next one
        6.2,
        min_duration_s=8.0,
        spare_controllers=1,
        shard=10,
        kinds=KINDS,
        script=(
            (0.0, "cut c"),
            (0.0, "cut a d"),
            (3.65, "beat c"),
            (3.65, "cut a b"),
            (3.65, "cut a d"),
            (3.65, "cut b c"),
            (3.65, "cut c d"),
        ),
    ),
    "replace": Scene(
        "mesh-shards",
        "one is away, a spare one takes its place, it comes back",
        1.0,
        clients=(("a", "d"),),
        min_duration_s=4.8,
        script=((0.0, "down c"), (3.6, "up c")),
        spare_controllers=1,
    ),
    "answered": Scene(
        "mesh-keys",
        "two try one key at once, runs are answered, a third one comes later",
        1.0,
        key_requests=(("m", 0.0, "done"), ("n", 0.0, "done"), ("m", 2.4, "done")),
    ),
    "broken-off": Scene(
        "mesh-keys",
        "a run breaks off, two try its key again",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 0.0, "broke"), ("n", 2.4, "broke")),
    ),
    "given-back": Scene(
        "mesh-keys",
        "a key is given back unrun, and tried again by two",
        1.0,
        key_requests=(("m", 0.0, "drop"), ("m", 0.9, "done"), ("n", 0.9, "done")),
    ),
    "moved": Scene(
        "mesh-keys",
        "one is replaced, a key is claimed, that one comes back, it is tried again",
        1.0,
        key_requests=(("m", 3.4, "broke"), ("n", 8.0, "broke")),
        spare_controllers=1,
        script=((0.0, "down c"), (4.0, "up c"), (4.4, "down d")),
    ),
    "missed": Scene(
        "mesh-keys",
        "a controller does not hear of a claim",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 1.0, "broke")),
        script=((0.0, "cut m c"),),
    ),
    "slow": Scene(
        "mesh-keys",
        "a controller does not hear of a claim, and the disk of another one is slow",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 1.0, "broke")),
        script=((0.0, "cut m c"), (0.0, "late a")),
    ),
    "learning": Scene(
        "mesh-keys",
        "one that granted a key forgets it, and can hear only one that missed it",
        2.0,
        key_requests=(("m", 0.0, "broke"), ("n", 1.6, "broke")),
        script=((0.0, "cut m c"), (0.1, "wipe b"), (0.1, "cut a b")),
    ),
    "epochs": Scene(
        "mesh-keys",
        "the group changes while a claim is out",
        1.4,
        key_requests=(("m", 0.0, "broke"), ("n", 1.2, "broke")),
        claim_timeout_s=2.2,
        script=((0.0, "cut m a"), (0.0, "cut m b"), (0.05, "cut m c"), (0.1, "wipe c"), (1.2, "cut n a")),
    ),
    "beyond": Scene(
        "mesh-keys",
        "as answered, where any disks may be lost: whoever forgot says nothing",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 2.4, "broke")),
        any_disk_loss=True,
    ),
}
