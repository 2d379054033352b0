"""In-memory stand-in of the users' key-value store, for tests of the adapter.

Serves the calls that the adapter makes. Faults to inject: responses lost after
the call took effect, error statuses, compacted history, and a restore from an
older copy.
"""

from __future__ import annotations

import base64
import copy
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.loopback import QuietHandler, serving


class Call:
    """Call of the adapter."""

    __slots__ = ('body', 'path', 'query')

    def __init__(self, path: str, query: dict[str, str], body: Any) -> None:
        self.path = path
        self.query = query
        self.body = body


class StoreCopy:
    """A copy of what the store held."""

    __slots__ = ('events', 'items', 'leases', 'revision')

    def __init__(self, store: SiteStore) -> None:
        self.items = copy.deepcopy(store.items)
        self.events = list(store.events)
        self.revision = store.revision
        self.leases = dict(store.leases)


class SiteStore:
    """Items, events and leases of the store, and the faults to inject."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 10
        self.compacted_revision = 0
        self.leases: dict[int, int] = {}
        self.calls: list[str] = []
        self.responses_to_lose = 0
        self.refuse_status = 0
        self.page_size = 500
        self.era: int | str = 1
        """The header by which the store tells its restores; empty for none."""

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item, as an operator does."""
        with self.lock:
            self._put(key, base64.b64encode(value).decode(), lease)
            self.lock.notify_all()

    def remove(self, key: str) -> None:
        """Remove an item, as an operator does."""
        with self.lock:
            self._remove(key)
            self.lock.notify_all()

    def compact_history(self) -> None:
        """Compact the history; a watch from an earlier revision gets a 410."""
        with self.lock:
            self.revision += 1
            self.compacted_revision = self.revision
            self.events.clear()
            self.lock.notify_all()

    def make_copy(self) -> StoreCopy:
        """Copy the items, their history and the leases."""
        with self.lock:
            return StoreCopy(self)

    def restore(self, kept: StoreCopy) -> None:
        """Go back to a copy; watches that wait are not cut."""
        with self.lock:
            self.items = copy.deepcopy(kept.items)
            self.events = list(kept.events)
            self.revision = kept.revision
            self.leases = dict(kept.leases)
            if isinstance(self.era, int):
                self.era += 1

    def end_lease(self, lease: int) -> None:
        """End a lease, and delete its items."""
        with self.lock:
            self.leases.pop(lease, None)
            for key, item in list(self.items.items()):
                if item['leaseId'] == lease:
                    self._remove(key)

    def _put(self, key: str, text: str, lease: int) -> None:
        self.revision += 1
        current = self.items.get(key)
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'createdRev': current['createdRev'] if current else self.revision,
            'leaseId': lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self.events.append(
            {'key': key, 'revision': self.revision, 'deleted': True},
        )

    def handle_call(
        self, method: str, target: str, body: Any
    ) -> tuple[int, Any]:
        """Return the status and the content of the response to a call."""
        parts = urlsplit(target)
        query = {key: texts[0] for key, texts in parse_qs(parts.query).items()}
        name = parts.path.removeprefix('/api/kv-').split('/')[0]
        self.calls.append(name)
        if self.refuse_status:
            return self.refuse_status, {'error': 'refused'}
        with self.lock:
            call = Call(parts.path, query, body)
            return getattr(self, f'on_{name.replace("-", "_")}')(call)

    def on_key(self, call: Call) -> tuple[int, Any]:
        """Return one item."""
        item = self.items.get(call.query['key'])
        if item is None:
            return 404, {'error': 'no such key'}
        return 200, {**item, 'atRev': self.revision}

    def on_range(self, call: Call) -> tuple[int, Any]:
        """Return one page of the items under a prefix."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(call.query['pathPrefix'])
            and key > call.query.get('after', '')
        )
        items = [self.items[key] for key in keys[: self.page_size]]
        return 200, {
            'items': items,
            'hasMore': len(keys) > self.page_size,
            'atRev': self.revision,
        }

    def on_watch(self, call: Call) -> tuple[int, Any]:
        """Wait for events after a revision, and return them."""
        after = int(call.query['after'])
        prefix = call.query['pathPrefix']

        def find_events() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]

        def is_gone() -> bool:
            return not self.compacted_revision <= after <= self.revision

        self.lock.wait_for(
            lambda: bool(find_events()) or is_gone(),
            int(call.query['waitMs']) / 1000,
        )
        if is_gone():
            return 410, {'error': 'history gone'}
        return 200, {'events': find_events(), 'atRev': self.revision}

    def on_txn(self, call: Call) -> tuple[int, Any]:
        """Apply all changes if all conditions hold (compare-and-swap)."""
        for row in call.body['expectedRev']:
            current = self.items.get(row['key'], {'revision': 0})
            if current['revision'] != row['revision']:
                keys = [one['key'] for one in call.body['expectedRev']]
                items = [self.items[key] for key in keys if key in self.items]
                return 412, {'items': items}
        for entry in call.body['setKeys']:
            lease = entry.get('leaseId', 0)
            if lease and lease not in self.leases:
                return 404, {'error': 'no such lease'}
            self._put(entry['key'], entry['value'], lease)
        for key in call.body['remove']:
            self._remove(key)
        self.lock.notify_all()
        return 200, {'revision': self.revision}

    def on_lease(self, call: Call) -> tuple[int, Any]:
        """Grant a lease."""
        lease = 700 + len(self.leases)
        self.leases[lease] = call.body['ttlMs']
        return 200, {'leaseId': lease, 'ttlMs': call.body['ttlMs']}

    def on_keep(self, call: Call) -> tuple[int, Any]:
        """Renew a lease."""
        lease = int(call.path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {'error': 'no such lease'}
        return 200, {'ttlMs': self.leases[lease]}

    def on_lease_end(self, call: Call) -> tuple[int, Any]:
        """Revoke a lease."""
        self.end_lease(int(call.path.rpartition('/')[2]))
        return 200, {}


@contextmanager
def serving_store(store: SiteStore) -> Iterator[str]:
    """Serve a store on loopback, and yield its address."""

    class Handler(QuietHandler):  # noqa: WPS431
        def do_DELETE(self) -> None:
            self.reply()

        def reply(self) -> None:
            """Send the store's response, or drop it."""
            raw = self.read_body()
            body = json.loads(raw) if raw else None
            status, content = store.handle_call(self.command, self.path, body)
            if store.responses_to_lose:
                store.responses_to_lose -= 1
                self.close_connection = True
                return
            encoded = json.dumps(content).encode()
            self.send_response(status)
            self.send_header('Content-Length', str(len(encoded)))
            self.send_header('Store-Era', str(store.era))
            self.end_headers()
            self.wfile.write(encoded)

    with serving(Handler) as address:
        yield address
