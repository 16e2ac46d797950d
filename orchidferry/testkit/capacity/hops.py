"""Divides a proxy's profile among the hops of a call, which are the stages of its processing.

A function's own time counts for the hop that its module implements; the time of built-in functions counts for
their callers. The time of the event loop itself (polling, reading sockets) is not spent in Python functions
and is not in the profile.
"""

from __future__ import annotations

import marshal
from collections import Counter
from pathlib import Path
from typing import Any

ACCEPT = "accept and read"
ROUTE = "route"
PICK = "pick, budgets, outcome"
KEY = "key"
WRITE = "write to the next hop"
GATE = "gate"
ANSWER = "answer"
LEASES = "leases and news"
OTHER = "other"
Function = tuple[str, int, str]  # file, line, name

FUNCTIONS = {  # functions of modules that do the work of several hops
    ("orchidferry/node/client_connection.py", "_write_reply"): ANSWER,
    ("orchidferry/node/client_connection.py", "_on_reply"): ANSWER,
    ("orchidferry/node/client_connection.py", "_start_streaming"): ANSWER,
    ("orchidferry/node/reply.py", "render"): ANSWER,
    ("orchidferry/node/client_connection.py", "_update_stage"): ANSWER,
    ("orchidferry/node/upstream_connection.py", "data_received"): ANSWER,
    ("orchidferry/node/upstream_connection.py", "on_header"): ANSWER,
    ("orchidferry/node/upstream_connection.py", "on_message_complete"): ANSWER,
    ("dataplane/response_parser.py", "feed_data"): ANSWER,
    ("dataplane/http_connection.py", "before_parsing"): ANSWER,
    ("dataplane/http_connection.py", "on_header"): ANSWER,
    ("dataplane/http_connection.py", "on_headers_complete"): ANSWER,
    ("dataplane/http_connection.py", "on_message_complete"): ANSWER,
    ("dataplane/listener.py", "_write_reply"): ANSWER,
    ("dataplane/messages.py", "forwarded_reply"): ANSWER,
    ("dataplane/messages.py", "attempt_result"): ANSWER,
    ("dataplane/messages.py", "stored_answer"): KEY,
    ("dataplane/pending_request.py", "head_bytes"): WRITE,
    ("control/control_client.py", "_send"): KEY,
    ("control/control_client.py", "claim"): KEY,
}
MODULES = (
    ("orchidferry/node/client_connection.py", ACCEPT),
    ("orchidferry/node/frontend.py", ACCEPT),
    ("orchidferry/node/request.py", ACCEPT),
    ("dataplane/listener.py", ACCEPT),
    ("dataplane/proxy.py", ROUTE),
    ("control/configuration.py", ROUTE),
    ("dataplane/service_client.py", PICK),
    ("dataplane/pending_request.py", PICK),
    ("dataplane/request_classes.py", PICK),
    ("dataplane/endpoint_table.py", PICK),
    ("dataplane/zone_preference.py", PICK),
    ("dataplane/keyed_requests.py", KEY),
    ("orchidferry/balancing/", PICK),
    ("orchidferry/node/event_queue.py", PICK),
    ("orchidferry/node/timer_queue.py", PICK),
    ("dataplane/admission", GATE),
    ("dataplane/", WRITE),
    ("orchidferry/node/attempt.py", WRITE),
    ("orchidferry/node/http1.py", WRITE),
    ("orchidferry/node/upstream.py", WRITE),
    ("orchidferry/node/upstream_connection.py", WRITE),
    ("control/operation_key_client.py", KEY),
    ("control/shard_state.py", KEY),
    ("wire/framing.py", KEY),
    ("control/", LEASES),
)


def hop_of(function: Function) -> str:
    """Return the hop to which a function's own time counts.

    >>> hop_of(("orchidferry/node/client_connection.py", 1, "_write_reply"))
    'answer'
    >>> hop_of(("orchidferry/mesh/dataplane/proxy.py", 1, "_accept"))
    'route'
    """
    file, _, name = function
    for (suffix, function_name), hop in FUNCTIONS.items():
        if name == function_name and file.endswith(suffix):
            return hop
    return next((hop for path_part, hop in MODULES if path_part in file), OTHER)


def seconds_by_hop(path: Path) -> dict[str, float]:
    """Return the seconds spent in each hop, longest first.

    :param path: file written by cProfile
    """
    stats: dict[Function, Any] = marshal.loads(path.read_bytes())
    seconds: Counter[str] = Counter()
    for function, (_, _, own_s, _, callers) in stats.items():
        if function[0] != "~":
            seconds[hop_of(function)] += own_s
        for caller, (_, _, spent_s, _) in callers.items() if function[0] == "~" else ():
            seconds[hop_of(caller) if caller[0] != "~" else OTHER] += spent_s
    return dict(sorted(seconds.items(), key=lambda entry: -entry[1]))
