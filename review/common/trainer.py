"""Stand-in of a trainer: submits batches, reads their results and ends them."""

import base64
import json
import random
import time
import typing

from common import record, sampler, site


class Trainer:
    """Calls the front programs as the users' pages say, each call on a new connection."""

    def __init__(self, fronts: list[site.Front], written: record.Record) -> None:
        """Create a trainer; its ids differ with each run."""
        self._fronts = fronts
        self._record = written
        self._random = random.SystemRandom()

    def create_id(self) -> str:
        """Return a new id."""
        return f"{self._random.getrandbits(64):016x}"

    def build_batch(
        self, item_ids: list[str], step: int, min_version: int, group_size: int, tokens: int
    ) -> bytes:
        """Return the body of a submission."""
        items = [
            {
                "id": item_id,
                "path": f"{site.ITEMS_PREFIX}{item_id}",
                "headers": {
                    "X-Oleanderdeal-Model": sampler.MODEL,
                    "X-Oleanderdeal-Token-Counts": f"271,{tokens}",
                    "X-Oleanderdeal-Prompt-Prefix": f"{self.create_id()}:271",
                },
                "body": base64.b64encode(item_id.encode()).decode(),
                "tokens": 271 + tokens,
                "group": f"g{number // group_size}",
                "scorer": {
                    "id": self.create_id(),
                    "host": site.HOST_NAME,
                    "path": f"{site.CALLS_PREFIX}{item_id}",
                    "body": base64.b64encode(b"score").decode(),
                },
            }
            for number, item_id in enumerate(item_ids)
        ]
        content = {
            "step": step,
            "model": sampler.MODEL,
            "min_version": min_version,
            "group_count": max(1, len(items) // group_size),
            "items": items,
        }
        return json.dumps(content).encode()

    def submit(self, front: site.Front, batch_id: str, body: bytes, seconds: float) -> int:
        """Submit a batch once; return the status, 0 if there was no answer."""
        headers = {
            sampler.REQUEST_ID: batch_id,
            "X-Oleanderdeal-Deadline-Ms": str(int(seconds * 1000)),
            "Content-Type": "application/json",
        }
        path = f"{site.ITEMS_PREFIX}{batch_id}"
        status, _ = front.call("POST", path, body, headers, seconds)
        self._record.write("trainer", f"submits {batch_id} at {front.name}: {status or 'none'}")
        return status

    def read(
        self, batch_id: str, wanted: int, seconds: float
    ) -> tuple[int | None, list[dict[str, typing.Any]]]:
        """Return the total and the results, once there are as many as wanted or time is up."""
        until = time.monotonic() + seconds
        total: int | None = None
        results: list[dict[str, typing.Any]] = []
        while len(results) < wanted and time.monotonic() < until:
            front = self._random.choice(self._fronts)
            headers = {"X-Oleanderdeal-Wait-Ms": "1000"}
            path = f"/api/lots/{batch_id}?after={len(results)}"
            status, body = front.call("GET", path, b"", headers, 2.5)
            if status != 200:
                self._record.write("trainer", f"reads {batch_id}: {status or 'none'}")
                time.sleep(0.2)
                continue
            page = json.loads(body)
            total = page["total"]
            results += page["results"]
            for result in page["results"]:
                shown = result | {"output": f"{len(result['output'])} characters"}
                self._record.write("trainer", f"reads of {batch_id}: {shown}")
            time.sleep(0.05 if page["results"] else 0.2)
        self._record.write("trainer", f"has {len(results)} of {total} results of {batch_id}")
        return total, results

    def end(self, front: site.Front, batch_id: str) -> int:
        """End a batch; return the status."""
        status, _ = front.call("DELETE", f"/api/lots/{batch_id}", b"", {}, 4.0)
        self._record.write("trainer", f"ends {batch_id} at {front.name}: {status or 'none'}")
        return status
