"""Converts xDS resources to the balancer's types: pools (EDS) and the node's settings (ECDS).

Only published messages are used (`xds-protos`), with the meaning that xDS v3 gives their fields. Attributes
for which xDS has no field are in an endpoint's metadata under the key `orchidferry`:

- `endpoint.hostname`, or else the address, is the server's name; its locality's zone is its zone;
- `load_balancing_weight` 100 is a full share; `metadata.orchidferry` may hold `type`, `group`, `since_ms`;
- HEALTHY, UNKNOWN and DEGRADED are in service; DRAINING, UNHEALTHY and TIMEOUT receive no new requests.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

from envoy.config.core.v3 import extension_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import json_format
from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import DecodeError
from xds.type.v3 import typed_struct_pb2

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Member, NodeSettings, Part
from orchidferry.balancing.settings import SettingsFormatError, get, read_settings
from orchidferry.errors import OrchidferryError
from orchidferry.node.clock import unix_offset_ms
from orchidferry.node.server_listing import server_id

TYPE_URL_PREFIX = "type.googleapis.com/"
EDS = TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
ECDS = TYPE_URL_PREFIX + "envoy.config.core.v3.TypedExtensionConfig"
NODE_SETTINGS = TYPE_URL_PREFIX + "orchidferry.v1.NodeSettings"
TYPES = {Part.MEMBERS: EDS, Part.SETTINGS: ECDS}
PARTS = {url: part for part, url in TYPES.items()}
METADATA_KEY = "orchidferry"
FULL_WEIGHT = 100.0  # the `load_balancing_weight` of a full share
MAX_PORT = 65535
MAX_TEXT = 256  # characters of a name or host, and of a text that is quoted in an error

HEALTH = {
    health_check_pb2.UNKNOWN: api.Health.IN_SERVICE,
    health_check_pb2.HEALTHY: api.Health.IN_SERVICE,
    health_check_pb2.DEGRADED: api.Health.IN_SERVICE,
    health_check_pb2.DRAINING: api.Health.DRAINING,
    health_check_pb2.UNHEALTHY: api.Health.DRAINING,
    health_check_pb2.TIMEOUT: api.Health.DRAINING,
}


class ResourceDecodeError(OrchidferryError):
    """A resource that can't be used; the text names the resource and the field."""


def _unpack(packed: AnyMessage, url: str, message: Any, where: str) -> Any:
    if packed.type_url != url:
        raise ResourceDecodeError(f"{where}: is a {packed.type_url[:MAX_TEXT]!r}, not a {url!r}")
    try:
        message.ParseFromString(packed.value)
    except DecodeError:
        raise ResourceDecodeError(f"{where}: can't be parsed") from None
    return message


def _number(metadata: Any, name: str, where: str) -> float:
    value = metadata.fields.get(name)
    if value is None:
        return 0.0
    if value.WhichOneof("kind") != "number_value":
        raise ResourceDecodeError(f"{where}: metadata.{METADATA_KEY}.{name} must be a number")
    return float(value.number_value)


def read_pool(name: str, packed: AnyMessage, known: tuple[Member, ...] = ()) -> tuple[Member, ...]:
    """Return the members of a pool.

    :param name: the name of the resource.
    :param packed: the resource.
    :param known: the pool's members so far. The result contains the same objects for unchanged members.
    :raises ResourceDecodeError: if the resource can't be used.
    """
    before = {member.entry.server: member for member in known}
    where = f"pool {name!r}"
    assignment = _unpack(packed, EDS, endpoint_pb2.ClusterLoadAssignment(), where)
    if assignment.cluster_name != name:
        raise ResourceDecodeError(f"{where}: cluster_name is {assignment.cluster_name[:MAX_TEXT]!r}")
    offset_ms = unix_offset_ms()
    members = []
    for group_index, group in enumerate(assignment.endpoints):
        zone = sys.intern(group.locality.zone)
        for index, endpoint in enumerate(group.lb_endpoints):
            field = f"{where}: endpoints[{group_index}].lb_endpoints[{index}]"
            member = _read_member(endpoint, zone, offset_ms, field)
            same = before.get(member.entry.server)
            members.append(same if same == member else member)
    return tuple(members)


def _read_member(lb_endpoint: Any, zone: str, offset_ms: float, where: str) -> Member:
    """Read one endpoint of a cluster load assignment.

    :param offset_ms: what to add to a Unix time in milliseconds to get a time of the node's clock.
    :param where: the name of the endpoint in error texts.
    """
    endpoint = lb_endpoint.endpoint
    address = endpoint.address.socket_address
    if not address.address or not 0 < address.port_value <= MAX_PORT:
        raise ResourceDecodeError(f"{where}: no address of host and port")
    if len(endpoint.hostname) > MAX_TEXT or len(address.address) > MAX_TEXT:
        raise ResourceDecodeError(f"{where}: a name or host of more than {MAX_TEXT} characters")
    if lb_endpoint.health_status not in HEALTH:
        raise ResourceDecodeError(f"{where}: health_status {lb_endpoint.health_status} is not known")
    kind = ""
    cell = 0
    since_ms = 0.0
    metadata = lb_endpoint.metadata.filter_metadata.get(METADATA_KEY)
    if metadata is not None:
        kind = metadata.fields["type"].string_value if "type" in metadata.fields else ""
        cell = int(_number(metadata, "group", where))
        since_ms = _number(metadata, "since_ms", where)
    weight = FULL_WEIGHT
    if lb_endpoint.HasField("load_balancing_weight"):
        weight = lb_endpoint.load_balancing_weight.value
    entry = api.ServerEntry(
        server_id(endpoint.hostname or f"{address.address}:{address.port_value}"),
        zone,
        sys.intern(kind),
        cell,
        HEALTH[lb_endpoint.health_status],
        weight / FULL_WEIGHT,
        since_ms + offset_ms if since_ms > 0 else None,
    )
    return Member(entry, (address.address, address.port_value))


def _restore_integers(value: Any) -> Any:
    """Return a value with whole numbers as integers, as `Struct` has floating-point numbers only."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {key: _restore_integers(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_restore_integers(item) for item in value]
    return value


def read_node(name: str, packed: AnyMessage) -> NodeSettings:
    """Return the node's settings.

    :param name: the name of the resource.
    :param packed: the resource.
    :raises ResourceDecodeError: if the resource can't be used.
    """
    where = f"settings {name!r}"
    outer = _unpack(packed, ECDS, extension_pb2.TypedExtensionConfig(), where)
    inner = _unpack(
        outer.typed_config, TYPE_URL_PREFIX + "xds.type.v3.TypedStruct", typed_struct_pb2.TypedStruct(), where
    )
    if inner.type_url != NODE_SETTINGS:
        raise ResourceDecodeError(f"{where}: holds a {inner.type_url[:MAX_TEXT]!r}, not a {NODE_SETTINGS!r}")
    try:
        value = _restore_integers(json_format.MessageToDict(inner.value))
        return NodeSettings(get(value, "pool", str), read_settings(get(value, "settings", dict)))
    except (SettingsFormatError, ValueError, RecursionError) as problem:
        raise ResourceDecodeError(f"{where}: {problem!s:.200}") from None


def pool_message(name: str, endpoints: Iterable[dict[str, Any]]) -> AnyMessage:
    """Return a pool as the resource that a control service sends.

    :param name: the name of the pool.
    :param endpoints: the servers, in the JSON format of discovery.
    """
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    statuses = {"active": health_check_pb2.HEALTHY, "leaving": health_check_pb2.DRAINING}
    zones: dict[str, Any] = {}
    for endpoint in endpoints:
        zone = endpoint.get("zone", "")
        if zone not in zones:
            zones[zone] = assignment.endpoints.add()
            zones[zone].locality.zone = zone
        added = zones[zone].lb_endpoints.add()
        host, _, port = endpoint["address"].rpartition(":")
        added.endpoint.address.socket_address.address = host
        added.endpoint.address.socket_address.port_value = int(port)
        added.endpoint.hostname = endpoint["name"]
        added.health_status = statuses[endpoint.get("status", "active")]
        added.load_balancing_weight.value = round(endpoint.get("weight", 1.0) * FULL_WEIGHT)
        metadata = added.metadata.filter_metadata[METADATA_KEY]
        metadata.update(
            {
                "type": endpoint.get("type", ""),
                "group": endpoint.get("group", 0),
                "since_ms": endpoint.get("since_ms", 0),
            }
        )
    packed = AnyMessage()
    packed.Pack(assignment)
    return packed


def node_message(name: str, pool: str, settings: dict[str, Any]) -> AnyMessage:
    """Return a node's settings as the resource that a control service sends.

    :param name: the name of the resource.
    :param pool: the name of the pool that the node sends requests to.
    :param settings: the settings, in the JSON format of the node's own file.
    """
    inner = typed_struct_pb2.TypedStruct(type_url=NODE_SETTINGS)
    inner.value.update({"pool": pool, "settings": settings})
    outer = extension_pb2.TypedExtensionConfig(name=name)
    outer.typed_config.Pack(inner)
    packed = AnyMessage()
    packed.Pack(outer)
    return packed
