"""The messages between the mesh's own processes, one type each.

The messages between replicas of a shard are in `shard_messages`. On the wire a message is a list: the tag of
its type, then its fields in their order. A change of a tag or of fields that an earlier build would misread
must increase `framing.PROTOCOL`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.control.update_stream import StreamChange
from orchidferry.mesh.wire.shard_messages import ShardBody, tag_of

# A position in a stream of updates: name of the controller, incarnation of the stream, update number.
StreamPosition = tuple[str, int, int]


class Message(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The base of all messages between processes."""


class Greeting(Message, frozen=True, tag="protocol"):
    """The first message of a link, from the side that dialled."""

    protocol: int  # protocol number of the dialling side


# Between a node and a controller


class NodeHello(Message, frozen=True, tag="node_hello"):
    """A node identifies itself on a new link to a controller."""

    name: str  # name of the node


class LeaseRenewal(Message, frozen=True, tag="lease_renewal"):
    """A node renews its lease."""

    number: int  # number of the node's record
    name: str  # name of the node
    boot: int  # random number that identifies the node's process, chosen at its start
    record: NodeRecord | None  # the node's record; None if the controller has it already


class Lease(Message, frozen=True, tag="lease"):
    """The response to `LeaseRenewal`."""

    number: int  # number of the record whose lease was renewed
    has_record: bool  # whether the controller has the node's record of this number
    warmed_up: bool  # whether all live nodes have had the time to reconnect to this controller
    incarnation: int  # incarnation of the controller's stream of updates
    newest_number: int  # number of the newest update of that stream
    contact_age_ms: int | None  # time since the controller last had contact with a majority; None for never


class UpdateSubscription(Message, frozen=True, tag="news_subscription"):
    """A node subscribes to a controller's updates, starting after a position of the controller's stream."""

    incarnation: int  # incarnation of the stream from which the node has updates
    number: int  # number of the newest update that the node has of that stream


class UpdateUnsubscription(Message, frozen=True, tag="news_unsubscription"):
    """A node ends its subscription to a controller's updates, as it gets them from another process."""


class UpdateRequest(Message, frozen=True, tag="news_request"):
    """A node requests, once, the updates that it has missed."""

    incarnation: int  # incarnation of the stream from which the node has updates
    number: int  # number of the newest update that the node has of that stream


class Update(Message, frozen=True, tag="news"):
    """An update of a controller's stream, sent by the controller or forwarded by a relay."""

    change: StreamChange  # the difference from an earlier state, or the complete state


class GroupAnnouncement(Message, frozen=True, tag="group"):
    """The group of controllers that replicate a shard, and the controller that owns its singleton roles."""

    shard: int  # number of the shard
    epoch: int  # epoch of the group
    voters: list[str]  # names of the group's voting controllers
    owner: str  # name of the owner; "" for none
    fencing_token: int  # fencing token of the ownership


class RevisionRead(Message, frozen=True, tag="revision_read"):
    """A starting node requests the newest revision of the configuration, confirmed by a majority."""

    request: int  # number that identifies the request in the response


class Revision(Message, frozen=True, tag="revision"):
    """The response to `RevisionRead`."""

    request: int  # number of the request
    revision: int  # revision of the newest configuration; 0 if there is none, -1 if it is unknown


class ConfigurationFetch(Message, frozen=True, tag="configuration_fetch"):
    """A node requests a configuration that a controller or a relay has announced."""

    request: int  # number that identifies the request in the response
    revision: int  # newest revision that was announced to the node


class ConfigurationText(Message, frozen=True, tag="configuration_text"):
    """The response to `ConfigurationFetch`."""

    request: int  # number of the request
    revision: int  # revision of the configuration; -1 if it is unknown
    text: bytes  # the configuration, as `configuration_text` compresses it


# Operation keys and retry quotas


class KeyClaim(Message, frozen=True, tag="key_claim"):
    """A node claims an operation key for one attempt."""

    request: int  # number that identifies the request in the response
    epoch: int  # epoch of the group that the node knows
    key: str  # the operation key
    attempt_id: str  # id of the attempt that claims the key


class KeyGrant(Message, frozen=True, tag="key_grant"):
    """One controller's response to `KeyClaim`."""

    request: int  # number of the request
    epoch: int  # epoch named in the claim
    outcome: str  # `yours`, `held` (by another attempt) or `wait` (the controller can't decide yet)
    answer: Any  # the answer to the attempt that holds the key, if it is known


class KeyAnswer(Message, frozen=True, tag="key_answer"):
    """The first attempt with an operation key was answered.

    The message is sent once to each controller of the key's shard and not acknowledged: a controller to which
    the node has no link at that moment does not get it from the node.
    """

    key: str  # the operation key
    attempt_id: str  # id of the attempt that was executed
    answer: Any  # the answer, as repeated calls with the key will get it


class KeyRelease(Message, frozen=True, tag="key_release"):
    """An attempt that was not and never will be executed releases its key; sent until acknowledged."""

    number: int  # number of the release, unique within the node's process; the acknowledgement repeats it
    key: str  # the operation key
    attempt_id: str  # id of the attempt that held the key


class KeyReleaseAck(Message, frozen=True, tag="key_release_ack"):
    """The acknowledgement of `KeyRelease`: the key is durably deleted at the controller."""

    number: int  # number of the release


class RetryQuotaRequest(Message, frozen=True, tag="retry_share_request"):
    """A node requests a quota of a service's retries from the controller that owns the service."""

    service: str  # name of the service
    node: str  # name of the requesting node
    incarnation: int  # incarnation of the node's process
    number: int  # number of the request
    retries_made: float  # retries that the node made in the last window
    retries_wanted: float  # retries that the node would have made in the last window without a quota
    current_amount: float  # the node's current quota, in retries per window
    fencing_token: int  # highest fencing token that the node has seen


class RetryQuota(Message, frozen=True, tag="retry_share"):
    """A node's quota of a service's retries."""

    service: str  # name of the service
    fencing_token: int  # fencing token of the controller's ownership of the service
    number: int  # number of the request
    amount: float  # the quota, in retries per window
    lease_s: float  # validity of the quota, in seconds from the request on


# Between controllers


class ControllerHello(Message, frozen=True, tag="controller_hello"):
    """A controller identifies itself on a new link to another controller."""

    name: str  # name of the controller


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """The heartbeat of a controller, sent to the other controllers."""

    name: str  # name of the controller
    number: int  # number of the heartbeat
    eligible: bool  # whether the controller can own singleton roles
    versions: list[int]  # newest version of each shard that the controller knows
    leaving: bool  # whether the controller is shutting down
    missing_shards: list[int]  # numbers of the shards whose state the controller still has to learn


class HeartbeatAck(Message, frozen=True, tag="heartbeat_ack"):
    """The acknowledgement of a heartbeat."""

    name: str  # name of the controller that received the heartbeat
    number: int  # number of the heartbeat
    fencing_tokens: list[int]  # highest fencing token that this controller has voted for in each shard


class ShardMessage(Message, frozen=True, tag="shard"):
    """The envelope of a message from one replica of a shard to another."""

    shard: int  # number of the shard
    body: ShardBody  # the message between the replicas


# Between a node and its relay


class RelaySubscription(Message, frozen=True, tag="relay_subscription"):
    """A node asks another node to be its relay, which forwards all updates to it."""

    name: str  # name of the requesting node
    boot: int  # random number that identifies the requesting node's process, chosen at its start
    zone: str  # zone of the requesting node
    positions: list[StreamPosition]  # newest position that the requesting node has of each stream


class RelayAccepted(Message, frozen=True, tag="relay_accepted"):
    """The relay accepts the node as a follower."""


class RelayFull(Message, frozen=True, tag="relay_full"):
    """The relay rejects the node, as it has as many followers as it can serve."""


class RelayPositions(Message, frozen=True, tag="relay_positions"):
    """A node reports to its relay which updates it has received."""

    positions: list[StreamPosition]  # newest position that the node has of each stream


class RelayAlive(Message, frozen=True, tag="relay_alive"):
    """The acknowledgement of `RelayPositions`, which also shows that the relay is alive."""


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
