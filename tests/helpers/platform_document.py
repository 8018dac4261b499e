"""A sample document in the format of the platform's operators."""

from __future__ import annotations

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "one.test",
            "path_prefix": "/a/",
            "kind": "once",
            "timeout_ms": 1500,
            "objective_ms": 200,
            "priority": 2,
            "service": "s",
            "max_sends": 1,
            "is_public": False,
        },
        {
            "name": "q",
            "host": "one.test",
            "path_prefix": "/b/",
            "kind": "stream",
            "timeout_ms": 1500,
            "shares": [
                {"service": "s", "weight": 9},
                {"service": "e", "weight": 1},
            ],
            "is_resumable": True,
        },
    ],
    "services": [
        {"name": "s", "max_connections": 10},
        {
            "name": "e",
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 1000,
                "models": [{"name": "m"}],
            },
        },
        {
            "name": "k",
            "kv_store_addr": "10.0.0.1:80",
            "kv_capacity_tokens": 900,
            "failure_domain": "d",
        },
    ],
    "teams": [
        {"name": "t", "keys": ["a", "b"], "priority": 1, "is_isolated": True}
    ],
    "limits": {
        "max_header_bytes": 1,
        "max_body_bytes": 2,
        "header_timeout_ms": 3,
        "idle_timeout_ms": 4,
    },
}


__all__ = ["DOCUMENT"]
