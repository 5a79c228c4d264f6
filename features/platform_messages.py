"""Messages that the operator, servers and trainers write on the stand-in platform."""

import base64
import json

import platform_standin


def describe_route(name, prefix, kind, service, **changes):
    """Return a route of the operator's configuration; `changes` replace fields."""
    route = {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return route | changes


def describe_configuration(version):
    """Return an operator's configuration with one route of each tested kind."""
    return {
        "version": version,
        "routes": [
            describe_route("calls", "/calls/", "idempotent", "desk"),
            describe_route("charges", "/charges/", "non_idempotent", "desk"),
            describe_route(
                "items", "/items/", "rollout", "engines", due_ms=7500, retention_s=60.0
            ),
        ],
        "services": [
            {"name": "desk"},
            {"name": "engines", "engine": {"stride": 1, "models": [{"name": "m"}]}},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def describe_batch(
    item_ids, step=0, fatal=(), fatal_scores=(), crash_body=platform_standin.FATAL_BODY
):
    """
    Return the body of a batch of scored items.

    Items in `fatal` have `crash_body` as their prompt, and those in `fatal_scores` as what is
    scored; by default it crashes the servers that run it.
    """
    items = [
        {
            "id": item_id,
            "path": f"/items/{number}",
            "headers": {"X-Oleanderdeal-Model": "m"},
            "body": base64.b64encode(crash_body if item_id in fatal else b"prompt").decode(),
            "tokens": 50,
            "group": "g",
            "scorer": {
                "id": f"score-{item_id}",
                "host": "h.example",
                "path": "/calls/score",
                "body": base64.b64encode(
                    crash_body if item_id in fatal_scores else b"score"
                ).decode(),
            },
        }
        for number, item_id in enumerate(item_ids)
    ]
    submitted = {"step": step, "model": "m", "min_version": 1, "group_count": 1, "items": items}
    return json.dumps(submitted).encode()


def describe_server(server, service):
    """Return the registration that a server writes."""
    return {
        "service": service,
        "address": server.address,
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "models": [{"name": "m", "version": server.version, "adapters": []}],
        "sequence": 1,
    }
