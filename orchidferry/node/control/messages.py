"""xDS messages as the module's values: EDS pools and the node's settings.

Published messages only (`xds-protos`). What can't be used raises `ResourceDecodeError` with the resource and
field that is at fault. Field meanings are xDS v3's; what it has no field for stands in an endpoint's metadata
under `orchidferry`:

- `endpoint.hostname`, or else the address, is the server's name; its locality's zone is its zone;
- `load_balancing_weight` 100 is a whole share; `metadata.orchidferry` may hold `type`, `group`, `since_ms`;
- HEALTHY, UNKNOWN and DEGRADED are in service; DRAINING, UNHEALTHY and TIMEOUT get nothing new.
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

PREFIX = "type.googleapis.com/"
EDS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
ECDS = PREFIX + "envoy.config.core.v3.TypedExtensionConfig"
NODE_SETTINGS = PREFIX + "orchidferry.v1.NodeSettings"
TYPES = {Part.MEMBERS: EDS, Part.SETTINGS: ECDS}
PARTS = {url: part for part, url in TYPES.items()}
METADATA = "orchidferry"
WHOLE_WEIGHT = 100.0  # a `load_balancing_weight` that is a whole share
MAX_TEXT = 256  # characters of a name, zone or kind

HEALTH = {
    health_check_pb2.UNKNOWN: api.Health.IN_SERVICE,
    health_check_pb2.HEALTHY: api.Health.IN_SERVICE,
    health_check_pb2.DEGRADED: api.Health.IN_SERVICE,
    health_check_pb2.DRAINING: api.Health.DRAINING,
    health_check_pb2.UNHEALTHY: api.Health.DRAINING,
    health_check_pb2.TIMEOUT: api.Health.DRAINING,
}


class ResourceDecodeError(OrchidferryError):
    """A resource that can't be used; the text names it and its field."""


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
        raise ResourceDecodeError(f"{where}: metadata.{METADATA}.{name} must be a number")
    return float(value.number_value)


def read_pool(name: str, packed: AnyMessage, known: tuple[Member, ...] = ()) -> tuple[Member, ...]:
    """One pool's members; one that is as it was in `known` is that very object."""
    before = {member.entry.server: member for member in known}
    where = f"pool {name!r}"
    found = _unpack(packed, EDS, endpoint_pb2.ClusterLoadAssignment(), where)
    if found.cluster_name != name:
        raise ResourceDecodeError(f"{where}: cluster_name is {found.cluster_name[:MAX_TEXT]!r}")
    offset_ms = unix_offset_ms()
    members = []
    for group_at, group in enumerate(found.endpoints):
        zone = sys.intern(group.locality.zone)
        for at, one in enumerate(group.lb_endpoints):
            at_field = f"{where}: endpoints[{group_at}].lb_endpoints[{at}]"
            address = one.endpoint.address.socket_address
            if not address.address or not 0 < address.port_value < 65536:
                raise ResourceDecodeError(f"{at_field}: no address of host and port")
            if len(one.endpoint.hostname) > MAX_TEXT or len(address.address) > MAX_TEXT:
                raise ResourceDecodeError(f"{at_field}: a name of more than {MAX_TEXT} characters")
            if one.health_status not in HEALTH:
                raise ResourceDecodeError(f"{at_field}: health_status {one.health_status} is not known")
            more = one.metadata.filter_metadata.get(METADATA)
            kind = ""
            cell = 0
            since_ms = 0.0
            if more is not None:
                kind = more.fields["type"].string_value if "type" in more.fields else ""
                cell = int(_number(more, "group", at_field))
                since_ms = _number(more, "since_ms", at_field)
            weight = (
                one.load_balancing_weight.value if one.HasField("load_balancing_weight") else WHOLE_WEIGHT
            )
            entry = api.ServerEntry(
                server_id(one.endpoint.hostname or f"{address.address}:{address.port_value}"),
                zone,
                sys.intern(kind),
                cell,
                HEALTH[one.health_status],
                weight / WHOLE_WEIGHT,
                since_ms + offset_ms if since_ms > 0 else None,
            )
            member = Member(entry, (address.address, address.port_value))
            same = before.get(entry.server)
            members.append(same if same == member else member)
    return tuple(members)


def _whole_numbers(value: Any) -> Any:
    """Struct knows one kind of number: what is whole was meant as such."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {key: _whole_numbers(one) for key, one in value.items()}
    if isinstance(value, list):
        return [_whole_numbers(one) for one in value]
    return value


def read_node(name: str, packed: AnyMessage) -> NodeSettings:
    """The node's settings."""
    where = f"settings {name!r}"
    outer = _unpack(packed, ECDS, extension_pb2.TypedExtensionConfig(), where)
    inner = _unpack(
        outer.typed_config, PREFIX + "xds.type.v3.TypedStruct", typed_struct_pb2.TypedStruct(), where
    )
    if inner.type_url != NODE_SETTINGS:
        raise ResourceDecodeError(f"{where}: holds a {inner.type_url[:MAX_TEXT]!r}, not a {NODE_SETTINGS!r}")
    try:
        value = _whole_numbers(json_format.MessageToDict(inner.value))
        return NodeSettings(get(value, "pool", str), read_settings(get(value, "settings", dict)))
    except (
        SettingsFormatError,
        ValueError,
        RecursionError,
    ) as problem:  # what settings can't be is a ValueError
        raise ResourceDecodeError(f"{where}: {problem!s:.200}") from None


def pool_message(name: str, endpoints: Iterable[dict[str, Any]]) -> AnyMessage:
    """A pool as a service would send it, from discovery's form of endpoints."""
    found = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    statuses = {"active": health_check_pb2.HEALTHY, "leaving": health_check_pb2.DRAINING}
    zones: dict[str, Any] = {}
    for one in endpoints:
        zone = one.get("zone", "")
        if zone not in zones:
            zones[zone] = found.endpoints.add()
            zones[zone].locality.zone = zone
        added = zones[zone].lb_endpoints.add()
        host, _, port = one["address"].rpartition(":")
        added.endpoint.address.socket_address.address = host
        added.endpoint.address.socket_address.port_value = int(port)
        added.endpoint.hostname = one["name"]
        added.health_status = statuses[one.get("status", "active")]
        added.load_balancing_weight.value = round(one.get("weight", 1.0) * WHOLE_WEIGHT)
        more = added.metadata.filter_metadata[METADATA]
        more.update(
            {"type": one.get("type", ""), "group": one.get("group", 0), "since_ms": one.get("since_ms", 0)}
        )
    packed = AnyMessage()
    packed.Pack(found)
    return packed


def node_message(name: str, pool: str, settings: dict[str, Any]) -> AnyMessage:
    """The node's settings as a service would send them."""
    inner = typed_struct_pb2.TypedStruct(type_url=NODE_SETTINGS)
    inner.value.update({"pool": pool, "settings": settings})
    outer = extension_pb2.TypedExtensionConfig(name=name)
    outer.typed_config.Pack(inner)
    packed = AnyMessage()
    packed.Pack(outer)
    return packed
