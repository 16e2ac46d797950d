"""The messages between the mesh's own processes, one type each; those inside a shard are in `shard_messages`.

A type's tag is its kind on the wire, where a message is a list: its kind, then its fields in their order. A
change of a tag or of fields that an earlier build would misread raises `framing.PROTOCOL`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.control.update_stream import StreamChange
from orchidferry.mesh.wire.shard_messages import ShardBody, tag_of

StreamPosition = tuple[str, int, int]  # in a stream of updates: controller, its incarnation, update number


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The base of all messages between processes."""


class Greeting(Message, frozen=True, tag="protocol"):
    """The first message of a link, from the side that dialled."""

    protocol: int  # number of the protocol that the dialling side speaks


# Between a node and a controller


class NodeHello(Message, frozen=True, tag="node_hello"):
    """A node names itself on a new link to a controller."""

    name: str  # of the node


class LeaseRenewal(Message, frozen=True, tag="lease_renewal"):
    """A node renews its lease."""

    number: int  # of the record
    name: str  # of the node
    boot: int  # random number of the node's process, chosen at its start
    record: NodeRecord | None  # None if the controller has it already


class Lease(Message, frozen=True, tag="lease"):
    """The answer to a renewal."""

    number: int  # of the record that was renewed
    has_record: bool  # whether the controller has that record
    warmed_up: bool  # whether all live nodes have had the time to reconnect to this controller
    incarnation: int  # of the controller's stream of updates
    newest_number: int  # number of the newest update of that stream
    contact_age_ms: int | None  # since the controller was in contact with a majority; None for never


class UpdateSubscription(Message, frozen=True, tag="news_subscription"):
    """A node subscribes to a controller's updates from a position of its stream on."""

    incarnation: int  # of the stream that the node knows
    number: int  # of the newest update that it has of that stream


class UpdateUnsubscription(Message, frozen=True, tag="news_unsubscription"):
    """A node gets its updates from another process now."""


class UpdateRequest(Message, frozen=True, tag="news_request"):
    """A node asks once for the updates that it has missed."""

    incarnation: int  # of the stream that the node knows
    number: int  # of the newest update that it has of that stream


class Update(Message, frozen=True, tag="news"):
    """What changed in a controller's stream, from the controller or from a relay."""

    change: StreamChange  # the difference, or the complete state


class GroupAnnouncement(Message, frozen=True, tag="group"):
    """The controllers that replicate a shard, and the one that owns its singleton roles."""

    shard: int  # its number
    epoch: int  # of the group
    voters: list[str]  # names of its voting controllers
    owner: str  # "" for none
    fencing_token: int  # of the ownership


class RevisionRead(Message, frozen=True, tag="revision_read"):
    """A starting node asks for the newest revision, confirmed by a majority."""

    request: int  # number to be named in the answer


class Revision(Message, frozen=True, tag="revision"):
    """The answer to `RevisionRead`."""

    request: int  # number of the request that is answered
    revision: int  # of the newest configuration; 0 if there is none, -1 if it is unknown


class ConfigurationFetch(Message, frozen=True, tag="configuration_fetch"):
    """A node asks for a configuration that a controller or a relay has announced."""

    request: int  # number to be named in the answer
    revision: int  # the newest that was announced to the node


class ConfigurationText(Message, frozen=True, tag="configuration_text"):
    """The answer to `ConfigurationFetch`."""

    request: int  # number of the request that is answered
    revision: int  # -1 if it is unknown
    text: bytes  # as `configuration_text` packs it


# Operation keys and quotas of retries


class KeyClaim(Message, frozen=True, tag="key_claim"):
    """A node claims an operation key for one attempt."""

    request: int  # number to be named in the answer
    epoch: int  # of the group that is asked
    key: str  # the operation key
    attempt_id: str  # of the attempt that claims it


class KeyGrant(Message, frozen=True, tag="key_grant"):
    """One controller's answer to a claim."""

    request: int  # number of the request that is answered
    epoch: int  # under which the claim was made
    outcome: str  # `yours`, `held` by another attempt, or `wait`: the controller can't decide yet
    answer: Any  # of the attempt that holds the key, if it is known


class KeyAnswer(Message, frozen=True, tag="key_answer"):
    """The first attempt with a key was answered.

    It is sent once to each controller of the key's shard and not acknowledged: a controller to which the node
    has no link at that moment does not get it from the node.
    """

    key: str  # the operation key
    attempt_id: str  # of the attempt that was executed
    answer: Any  # as repeated calls with the key will get it


class KeyRelease(Message, frozen=True, tag="key_release"):
    """An attempt releases its key: it was not executed and never will be. Sent until acknowledged."""

    number: int  # of the release, unique within the node's process; the answer names it
    key: str  # the operation key
    attempt_id: str  # of the attempt that held it


class KeyReleaseAck(Message, frozen=True, tag="key_release_ack"):
    """A released key is durably deleted at the controller."""

    number: int  # of the release


class RetryQuotaRequest(Message, frozen=True, tag="retry_share_request"):
    """A node asks the owner of a service for a quota of its retries."""

    service: str  # its name
    node: str  # name of the node that asks
    incarnation: int  # of the node's process
    number: int  # of the request
    retries_made: float  # in the last window
    retries_wanted: float  # in the last window, with an unlimited quota
    current_amount: float  # the quota that the node has now
    fencing_token: int  # the highest that the node has seen


class RetryQuota(Message, frozen=True, tag="retry_share"):
    """A node's quota of a service's retries."""

    service: str  # its name
    fencing_token: int  # of the controller's ownership of the service
    number: int  # of the request
    amount: float  # retries in any window
    lease_s: float  # validity of the quota, counted from the request


# Between controllers


class ControllerHello(Message, frozen=True, tag="controller_hello"):
    """A controller names itself on a new link to another one."""

    name: str  # of the controller


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """A controller is alive."""

    name: str  # of the controller
    number: int  # of the heartbeat
    eligible: bool  # whether it can own singleton roles
    versions: list[int]  # the newest that it knows of each shard
    leaving: bool  # whether it is shutting down
    missing_shards: list[int]  # shards whose state it has yet to learn


class HeartbeatAck(Message, frozen=True, tag="heartbeat_ack"):
    """A heartbeat was received."""

    name: str  # of the controller that received it
    number: int  # of the heartbeat
    fencing_tokens: list[int]  # the highest that it has voted for in each shard


class ShardMessage(Message, frozen=True, tag="shard"):
    """A message from one replica of a shard to another."""

    shard: int  # its number
    body: ShardBody  # the message


# Between a node and its relay


class RelaySubscription(Message, frozen=True, tag="relay_subscription"):
    """A node asks another one to forward all updates to it."""

    name: str  # of the node that asks
    boot: int  # random number of its process, chosen at its start
    zone: str  # of the node that asks
    positions: list[StreamPosition]  # what it has of each stream


class RelayAccepted(Message, frozen=True, tag="relay_accepted"):
    """The relay accepts the node as a follower."""


class RelayFull(Message, frozen=True, tag="relay_full"):
    """The relay rejects the node, as it has followers enough."""


class RelayPositions(Message, frozen=True, tag="relay_positions"):
    """A node reports to its relay what it has received."""

    positions: list[StreamPosition]  # what it has of each stream


class RelayAlive(Message, frozen=True, tag="relay_alive"):
    """The relay is alive and has received the positions."""


MESSAGE_TYPES: tuple[type[Message], ...] = (
    Greeting,
    NodeHello,
    LeaseRenewal,
    Lease,
    UpdateSubscription,
    UpdateUnsubscription,
    UpdateRequest,
    Update,
    GroupAnnouncement,
    RevisionRead,
    Revision,
    ConfigurationFetch,
    ConfigurationText,
    KeyClaim,
    KeyGrant,
    KeyAnswer,
    KeyRelease,
    KeyReleaseAck,
    RetryQuotaRequest,
    RetryQuota,
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

TYPE_BY_TAG: dict[str, type[Message]] = {tag_of(message): message for message in MESSAGE_TYPES}
