"""Reads the start-up settings of a node, with checked access to JSON objects.

The simulator adapter and the real node both use this, as they receive the same object in different ways.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

from orchidferry.balancing import interface as api
from orchidferry.errors import OrchidferryError

Json = dict[str, Any]

REPEATS = {"retryable": api.Repeat.SAFE, "dedup": api.Repeat.KEYED, "fragile": api.Repeat.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
TYPE_NAMES: dict[type | tuple[type, ...], str] = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    (int, float): "a number",
    dict: "an object",
    list: "an array",
}
T = TypeVar("T")
NUMBER = (int, float)


class SettingsFormatError(OrchidferryError):
    """Malformed input; the text names the key."""


def get(obj: Json, key: str, kind: type | tuple[type, ...]) -> Any:
    """A required value of the given type.

    :raises SettingsFormatError: it is missing, of another type, or a number that is not finite
    """
    try:
        value = obj[key]
    except KeyError:
        raise SettingsFormatError(f"{key!r} is missing") from None
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        raise SettingsFormatError(f"{key!r} must be {TYPE_NAMES[kind]}, not {value!r:.60}")
    if isinstance(value, float) and not math.isfinite(value):
        raise SettingsFormatError(f"{key!r} must be a finite number, not {value!r}")
    return value


def get_optional(obj: Json, key: str, kind: type | tuple[type, ...], default: Any) -> Any:
    """A value of the given type, or the default if it is missing or null."""
    return default if obj.get(key) is None else get(obj, key, kind)


def get_choice(obj: Json, key: str, table: dict[Any, T], kind: type = str) -> T:
    """The entry of `table` for a required value, which must be one of its keys."""
    value = get(obj, key, kind)
    if value not in table:
        raise SettingsFormatError(f"{key!r} is {value!r:.60}, which is none of {', '.join(map(str, table))}")
    return table[value]


def get_objects(obj: Json, key: str) -> list[Json]:
    """A required array of objects."""
    values: list[Json] = get(obj, key, list)
    for index, value in enumerate(values):
        if not isinstance(value, dict):
            raise SettingsFormatError(f"{key}[{index}] must be an object, not {value!r:.60}")
    return values


def read_settings(env: Json) -> api.Settings:
    """Read the start-up settings from their JSON object; unknown keys are ignored.

    :raises SettingsFormatError: a key is missing or has a value of another type
    :raises ValueError: a value is out of range
    """
    classes = [_read_class(obj) for obj in get_objects(env, "classes")]
    tenants = [_read_tenant(obj) for obj in (get_objects(env, "tenants") if env.get("tenants") else [])]
    permissions = get(env, "permissions", dict)
    rules = get(env, "rules", dict)
    prices = get_optional(env, "prices", dict, {})
    worst = get_optional(get_optional(env, "score_parts", dict, {}), "worst_class", NUMBER, 0.0)
    return api.Settings(
        classes=classes,
        tenants=tenants,
        over_share_worth=get_optional(env, "over_share_worth", NUMBER, 1.0),
        worst_class=worst / (1.0 - worst) if 0.0 <= worst < 1.0 else 0.0,
        zone=get_optional(env, "locality", str, ""),
        nodes=max(1, get(env, "siblings", int)),
        number=get_optional(env, "my_number", int, 0),
        tier=get_optional(env, "tier", int, 0),
        tiers=max(1, len(get_optional(env, "stages", list, []))),
        passes_deadline=get_optional(
            get_optional(env, "family_info", dict, {}), "passes_deadline", bool, False
        ),
        follow_list=get(env, "membership_mode", str) == "on_request",
        ask_every_ms=get(rules, "ask_every_ms", NUMBER),
        **_read_permissions(permissions),
        tick_ms=get_optional(env, "quantum_ms", NUMBER, 0.0),
        **_read_rules(rules),
        cross_zone_price=get_optional(prices, "cross_zone", NUMBER, 0.0),
        handshake_price=get_optional(prices, "handshake", NUMBER, 0.0),
    )


def _read_class(obj: Json) -> api.RequestClass:
    keyed = obj.get("semantics") == "dedup"
    return api.RequestClass(
        name=get(obj, "name", str),
        aim_ms=get(obj, "objective_ms", NUMBER),
        deadline_ms=get(obj, "give_up_ms", NUMBER),
        worth=get_optional(obj, "importance", NUMBER, 1.0),
        late_worth=get_optional(obj, "late_worth", NUMBER, 0.0),
        repeat=get_choice(obj, "semantics", REPEATS),
        group=get_choice(obj, "dedup_scope", GROUPS) if keyed else api.Group.ALL,
        window_ms=get(obj, "window_ms", NUMBER) if keyed else 0.0,
    )


def _read_tenant(obj: Json) -> api.Tenant:
    name = get(obj, "name", str)
    return api.Tenant(
        name, get_optional(obj, "fraction", NUMBER, 0.0), get_optional(obj, "quota_per_s", NUMBER, 0.0)
    )


def _read_permissions(permissions: Json) -> Json:
    """The fields of `Settings` that state what a node may do."""
    return {
        "max_attempts": get(permissions, "max_attempts", int),
        "parallel_attempts": get_optional(permissions, "parallel_tries", bool, False),
        "can_cancel": get_optional(permissions, "may_cancel", bool, False),
        "max_retry_after_ms": (
            get_optional(permissions, "max_retry_after_ms", NUMBER, 0.0)
            if get_optional(permissions, "retry_after", bool, False)
            else 0.0
        ),
        "connect_timeout_ms": get(permissions, "connect_timeout_ms", NUMBER),
        "keepalive_ms": get_optional(permissions, "keepalive_ms", NUMBER, 30_000.0),
    }


def _read_rules(rules: Json) -> Json:
    """The fields of `Settings` that state the rules a node must follow."""
    return {
        "answer_slack_ms": get_optional(rules, "answer_slack_ms", NUMBER, 0.0),
        "drain_grace_ms": get(rules, "stop_sending_within_ms", NUMBER),
        "start_capacity": get(rules, "start_capacity", NUMBER),
        "ramp_time_ms": get(rules, "ramp_time_ms", NUMBER),
        "overload_factor": get(rules, "overload_factor", NUMBER),
        "overload_for_ms": get(rules, "overload_for_ms", NUMBER),
        "repeat_ratio": get_optional(rules, "repeat_ratio", NUMBER, None),
        "extra_floor": get_optional(rules, "extra_floor", NUMBER, 0.0),
        "resend_span_ms": get_optional(rules, "resend_span_ms", NUMBER, 0.0),
        "full_may_have_run": get_optional(rules, "full_may_have_run", bool, False),
    }
