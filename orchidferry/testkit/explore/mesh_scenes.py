"""The scenes of the exploration of the mesh, and the kinds of fault that may happen in them.

Kinds of fault: `kill` (the process restarts soon), `power` (a kill while some pending writes reach the disk),
`wipe` (a kill with loss of the disk), `cut` and `oneway` (partitions in both directions or one), `freeze` (a
paused process), `unfit` (a controller becomes unfit as owner, or fit again), `beat` (a process's partitions
end, and it sends heartbeats), `lose` and `late` (a lost or delayed message; `late` also delays disk writes).
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.mesh.control import shard_state

KINDS = ("kill", "power", "wipe", "cut", "oneway", "freeze", "unfit", "beat", "lose", "late")


@dataclass(frozen=True)
class Scene:
    """A small world that is explored: its controllers, clients and scripted faults.

    :param command: the value of `--of` that explores this scene
    :param description: what happens, for lists of scenes
    :param fault_duration_s: how long a partition or the freeze of a process lasts, in seconds
    :param clients: of the configuration: the controller at which each one puts, and at which it reads
    :param key_requests: attempts with one operation key: the node, the time of its claim in seconds, and the
        outcome of the run (`done`, `broke`, `drop`)
    :param claim_timeout_s: how long a node tries to claim the key, in seconds
    :param min_duration_s: the minimum duration of the scene in seconds
    :param script: scripted events with their times in seconds: a fault, or `down` or `up` with a controller
    :param shard: the shard's number, for scenes without key requests
    :param spare_controllers: the number of controllers outside the group, named after those of the group
    :param any_disk_loss: whether a disk may be lost at any time, not only while all other disks are intact
    :param kinds: of the faults that may happen
    :param group_size: controllers in the group at the start, named from `a` on
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
        """Return the founders' names."""
        return tuple("abcdefghi"[: self.group_size])


SCENES = {
    "puts": Scene(
        "mesh-shards",
        "two clients put a configuration based on one version at two controllers, and read at others",
        1.0,
        clients=(("a", "b"), ("b", "c")),
    ),
    "duties": Scene("mesh-shards", "the ownership of the shard moves", 4.2, min_duration_s=6.0, kinds=KINDS),
    "unwell": Scene(
        "mesh-shards",
        "an owner is unfit for a while",
        1.0,
        min_duration_s=2.0,
        script=((0.1, "unfit b"), (0.5, "unfit b")),
        kinds=KINDS,
    ),
    "comes-back": Scene(
        "mesh-shards",
        "an owner is cut off, and heard again while another controller takes over",
        3.4,
        min_duration_s=4.4,
        script=((0.0, "cut a b"), (0.0, "cut b c")),
        kinds=KINDS,
    ),
    "apart": Scene(
        "mesh-shards",
        "a voter is replaced while it is cut off, and is heard again by the owner alone",
        # The owner of this shard is a, and b is next in line.
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
        "a voter is down, a spare controller replaces it, and it comes back",
        1.0,
        clients=(("a", "d"),),
        min_duration_s=4.8,
        script=((0.0, "down c"), (3.6, "up c")),
        spare_controllers=1,
    ),
    "answered": Scene(
        "mesh-keys",
        "two attempts claim a key at once, runs are answered, a third attempt comes later",
        1.0,
        key_requests=(("m", 0.0, "done"), ("n", 0.0, "done"), ("m", 2.4, "done")),
    ),
    "broken-off": Scene(
        "mesh-keys",
        "a run breaks off, and two attempts claim its key again",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 0.0, "broke"), ("n", 2.4, "broke")),
    ),
    "given-back": Scene(
        "mesh-keys",
        "a key is released without a run, and two attempts claim it again",
        1.0,
        key_requests=(("m", 0.0, "drop"), ("m", 0.9, "done"), ("n", 0.9, "done")),
    ),
    "released-twice": Scene(
        "mesh-keys",
        "a key is released without a run, another attempt claims it, and the release is sent again",
        1.0,
        key_requests=(("m", 0.0, "drop"), ("n", 0.5, "broke"), ("n", 1.8, "broke")),
        min_duration_s=1.8,
    ),
    "moved": Scene(
        "mesh-keys",
        "a voter is replaced, a key is claimed, the voter comes back, and the key is claimed again",
        1.0,
        key_requests=(("m", 3.4, "broke"), ("n", 8.0, "broke")),
        spare_controllers=1,
        script=((0.0, "down c"), (4.0, "up c"), (4.4, "down d")),
    ),
    "missed": Scene(
        "mesh-keys",
        "a controller misses a claim",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 1.0, "broke")),
        script=((0.0, "cut m c"),),
    ),
    "slow": Scene(
        "mesh-keys",
        "a controller misses a claim, and the disk of another controller is slow",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 1.0, "broke")),
        script=((0.0, "cut m c"), (0.0, "late a")),
    ),
    "learning": Scene(
        "mesh-keys",
        "a controller that granted a key loses its disk, and reaches only one that missed the claim",
        2.0,
        key_requests=(("m", 0.0, "broke"), ("n", 1.6, "broke")),
        script=((0.0, "cut m c"), (0.1, "wipe b"), (0.1, "cut a b")),
    ),
    "epochs": Scene(
        "mesh-keys",
        "the group changes while a claim is in flight",
        1.4,
        key_requests=(("m", 0.0, "broke"), ("n", 1.2, "broke")),
        claim_timeout_s=2.2,
        script=((0.0, "cut m a"), (0.0, "cut m b"), (0.05, "cut m c"), (0.1, "wipe c"), (1.2, "cut n a")),
    ),
    "beyond": Scene(
        "mesh-keys",
        "as `answered`, but any disks may be lost: controllers that lost their records abstain",
        1.0,
        key_requests=(("m", 0.0, "broke"), ("n", 2.4, "broke")),
        any_disk_loss=True,
    ),
}
