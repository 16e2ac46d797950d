"""The messages between the mesh's own processes, one type each; those inside a shard are in `shard_messages`.

A type's tag is its kind on the wire, where a message is a list: its kind, then its fields in their order. A
change of a tag or of fields that an earlier build would misread raises `framing.PROTOCOL`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.control.update_stream import StreamChange
from orchidferry.mesh.wire.shard_messages import ShardBody

Position = tuple[str, int, int]  # in a stream of news: its controller, the life of that, a number


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What all messages have in common."""


class Greeting(Message, frozen=True, tag="protocol"):
    """The first message of a link, from whoever dialled."""

    protocol: int  # the number of the protocol that the dialler speaks


# Between a node and a controller


class NodeHello(Message, frozen=True, tag="node_hello"):
    """A node names itself on a new link to a controller."""

    name: str  # of the node


class LeaseRenewal(Message, frozen=True, tag="lease_renewal"):
    """A node renews its lease."""

    number: int  # of the record
    name: str  # of the node
    boot: int  # drawn at the start of the node's process
    record: NodeRecord | None  # None where the controller has it already


class Lease(Message, frozen=True, tag="lease"):
    """The answer to a renewal."""

    number: int  # of the record that was renewed
    known: bool  # whether the controller has that record
    warm: bool  # whether all live nodes have had the time to come back to this controller
    life: int  # of the controller's stream of news
    news: int  # the newest number of that stream
    contact_age_ms: int | None  # since the controller was in contact with a majority; None for never


class NewsSubscription(Message, frozen=True, tag="news_subscription"):
    """A node wants a controller's news from a place in its stream on."""

    life: int  # of the stream that the node knows
    number: int  # the newest that it has of it


class NewsUnsubscription(Message, frozen=True, tag="news_unsubscription"):
    """A node has its news from elsewhere now."""


class NewsRequest(Message, frozen=True, tag="news_request"):
    """A node asks once for what it has missed."""

    life: int  # of the stream that the node knows
    number: int  # the newest that it has of it


class News(Message, frozen=True, tag="news"):
    """What changed in a controller's stream, from the controller or from a relay."""

    change: StreamChange  # the difference, or all there is


class Group(Message, frozen=True, tag="group"):
    """Which controllers hold a shard, and which of them owns its duties."""

    shard: int  # its number
    epoch: int  # of the group
    names: list[str]  # of its voters
    owner: str  # "" for none
    fence: int  # under which that one owns it


class RevisionRead(Message, frozen=True, tag="revision_read"):
    """A node that starts asks for the newest revision, confirmed by a majority."""

    request: int  # to be named in the answer


class Revision(Message, frozen=True, tag="revision"):
    """The answer to `RevisionRead`."""

    request: int  # that is answered
    revision: int  # of the newest configuration; 0: there is none, -1: there is no telling


class ConfigurationFetch(Message, frozen=True, tag="configuration_fetch"):
    """A node asks for a configuration of which it has heard, as a controller or a relay knows it."""

    request: int  # to be named in the answer
    revision: int  # the newest that the node has heard of


class ConfigurationText(Message, frozen=True, tag="configuration_text"):
    """The answer to `ConfigurationFetch`."""

    request: int  # that is answered
    revision: int  # -1: there is no telling
    text: bytes  # packed as `configuration_text` does


# Operation keys and shares of retries


class KeyClaim(Message, frozen=True, tag="key_claim"):
    """A node claims an operation key for one try."""

    request: int  # to be named in the answer
    epoch: int  # of the group that is asked
    key: str  # the operation key
    holder: str  # the try


class KeyGrant(Message, frozen=True, tag="key_grant"):
    """One controller's answer to a claim."""

    request: int  # that is answered
    epoch: int  # under which the claim was made
    outcome: str  # `yours`, `held` by another try, or `wait`: it can't say
    answer: Any  # of the run that holds it, where it is known


class KeyAnswer(Message, frozen=True, tag="key_answer"):
    """The first run of a key was answered."""

    key: str  # the operation key
    holder: str  # the try that ran
    answer: Any  # as it is to be given again


class KeyRelease(Message, frozen=True, tag="key_release"):
    """A try gives its key back: it has not run and never will. It is sent until it is acknowledged."""

    number: int  # of the node's process, to be named in the answer
    key: str  # the operation key
    holder: str  # the try


class KeyReleaseAck(Message, frozen=True, tag="key_release_ack"):
    """A key that was given back is off the controller's disk."""

    number: int  # of the release


class RetryShareRequest(Message, frozen=True, tag="retry_share_request"):
    """A node asks the owner of a service for a share of its retries."""

    service: str  # its name
    node: str  # who asks
    life: int  # of the node's process
    number: int  # of the request
    used: float  # retries that were made in the last window
    wanted: float  # retries that would have been made
    held: float  # the share that the node holds now
    fence: int  # the highest that the node has heard of


class RetryShare(Message, frozen=True, tag="retry_share"):
    """A share of a service's retries."""

    service: str  # its name
    fence: int  # under which the controller owns the service
    number: int  # of the request
    amount: float  # retries in any window
    lease_s: float  # the share's, from when it was asked for


# Between controllers


class ControllerHello(Message, frozen=True, tag="controller_hello"):
    """A controller names itself on a new link to another one."""

    name: str  # of the controller


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """A controller lives."""

    name: str  # of the controller
    number: int  # of the heartbeat
    fit: bool  # whether it can do duties
    versions: list[int]  # the newest that it knows of each shard
    leaving: bool  # whether it was told to end
    learning: list[int]  # shards that it has yet to learn


class HeartbeatAck(Message, frozen=True, tag="heartbeat_ack"):
    """A heartbeat was heard."""

    name: str  # of the controller that heard it
    number: int  # of the heartbeat
    fences: list[int]  # the highest that it has voted for in each shard


class ShardMessage(Message, frozen=True, tag="shard"):
    """What one controller's half of a shard says to another's."""

    shard: int  # its number
    body: ShardBody  # what is said


# Between a node and its relay


class RelaySubscription(Message, frozen=True, tag="relay_subscription"):
    """A node asks another one to pass on all news to it."""

    name: str  # of the node that asks
    boot: int  # drawn at the start of its process
    zone: str  # where it is
    positions: list[Position]  # how far it is in each stream


class RelayAccepted(Message, frozen=True, tag="relay_accepted"):
    """The relay takes the node in."""


class RelayFull(Message, frozen=True, tag="relay_full"):
    """The relay does not take the node in."""


class RelayPositions(Message, frozen=True, tag="relay_positions"):
    """A node says to its relay how far it is."""

    positions: list[Position]  # in each stream


class RelayAlive(Message, frozen=True, tag="relay_alive"):
    """The relay has heard the positions, and lives."""


MESSAGES: tuple[type[Message], ...] = (
    Greeting,
    NodeHello,
    LeaseRenewal,
    Lease,
    NewsSubscription,
    NewsUnsubscription,
    NewsRequest,
    News,
    Group,
    RevisionRead,
    Revision,
    ConfigurationFetch,
    ConfigurationText,
    KeyClaim,
    KeyGrant,
    KeyAnswer,
    KeyRelease,
    KeyReleaseAck,
    RetryShareRequest,
    RetryShare,
    ControllerHello,
    Heartbeat,
    HeartbeatAck,
    ShardMessage,
    RelaySubscription,
    RelayAccepted,
    RelayFull,
    RelayPositions,
    RelayAlive,
)


def kind_of(message: Message | type[Message]) -> str:
    """Its kind, as it stands on the wire."""
    return str(message.__struct_config__.tag)


KINDS: dict[str, type[Message]] = {kind_of(message): message for message in MESSAGES}
