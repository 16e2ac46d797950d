"""The tables of a valid settings file, from which tests derive others."""

from __future__ import annotations

from typing import Any

SETTINGS_TABLES: dict[str, Any] = {
    "own_node": {"node_name": "n", "ip": "10.0.0.1", "zone": "z", "data_dir": "d", "limit_set": {"odd": 1}},
    "network": {
        "internal_ports": [7_000],
        "seed_nodes": ["10.0.0.2:7000", "10.0.0.2:7001"],
        "listen_points": {"control": "10.0.0.1:80"},
    },
    "term_settings": {"bound_set": {"drain_ms": 1_500, "odd": "x"}, "tolerance": {"machines": 1}},
    "platform_settings": {"beat_interval_ms": 1_500, "entry": "odd"},
    "odd": 3,
}
