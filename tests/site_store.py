"""A stand-in of the users' key-value store, for tests of the adapter.

Serves the calls that the adapter makes from memory, and can be told to lose
answers after taking effect, to refuse, to be silent, and to forget history.
"""

from __future__ import annotations

import base64
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.loopback import QuietHandler, serving


class Call:
    """One call of the adapter."""

    __slots__ = ('body', 'path', 'query')

    def __init__(self, path: str, query: dict[str, str], body: Any) -> None:
        self.path = path
        self.query = query
        self.body = body


class SiteStore:
    """Keeps items, and the faults to show."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 10
        self.oldest = 0
        self.leases: dict[int, int] = {}
        self.calls: list[str] = []
        self.lose_answers = 0
        self.refuse_status = 0
        self.page = 500

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item as the operator does."""
        with self.lock:
            self._put(key, base64.b64encode(value).decode(), lease)
            self.lock.notify_all()

    def forget_history(self) -> None:
        """Drop the events so far; a watch from before is told so."""
        with self.lock:
            self.revision += 1
            self.oldest = self.revision
            self.events.clear()
            self.lock.notify_all()

    def end_lease(self, lease: int) -> None:
        """End a lease, and with it its items."""
        with self.lock:
            self.leases.pop(lease, None)
            for key, item in list(self.items.items()):
                if item['leaseId'] == lease:
                    self._remove(key)

    def _put(self, key: str, text: str, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'createdRev': known['createdRev'] if known else self.revision,
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

    def answer(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        """The status and content of a call."""
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
        """One item."""
        item = self.items.get(call.query['key'])
        if item is None:
            return 404, {'error': 'no such key'}
        return 200, {**item, 'atRev': self.revision}

    def on_range(self, call: Call) -> tuple[int, Any]:
        """The items under a prefix, a page of them."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(call.query['pathPrefix'])
            and key > call.query.get('after', '')
        )
        items = [self.items[key] for key in keys[: self.page]]
        return 200, {
            'items': items,
            'hasMore': len(keys) > self.page,
            'atRev': self.revision,
        }

    def on_watch(self, call: Call) -> tuple[int, Any]:
        """Events after a revision, once there are some."""
        after = int(call.query['after'])
        prefix = call.query['pathPrefix']

        def found() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]

        self.lock.wait_for(
            lambda: bool(found()) or after < self.oldest,
            int(call.query['waitMs']) / 1000,
        )
        if after < self.oldest:
            return 410, {'error': 'history gone'}
        return 200, {'events': found(), 'atRev': self.revision}

    def on_txn(self, call: Call) -> tuple[int, Any]:
        """All changes, if all conditions hold."""
        for row in call.body['expectedRev']:
            known = self.items.get(row['key'], {'revision': 0})
            if known['revision'] != row['revision']:
                named = [one['key'] for one in call.body['expectedRev']]
                items = [self.items[key] for key in named if key in self.items]
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
        """A new lease."""
        lease = 700 + len(self.leases)
        self.leases[lease] = call.body['ttlMs']
        return 200, {'leaseId': lease, 'ttlMs': call.body['ttlMs']}

    def on_keep(self, call: Call) -> tuple[int, Any]:
        """A lease's renewal."""
        lease = int(call.path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {'error': 'no such lease'}
        return 200, {'ttlMs': self.leases[lease]}

    def on_lease_end(self, call: Call) -> tuple[int, Any]:
        """A lease's end."""
        self.end_lease(int(call.path.rpartition('/')[2]))
        return 200, {}


@contextmanager
def serving_store(store: SiteStore) -> Iterator[str]:
    """Serve a store on loopback; gives its address."""

    class Handler(QuietHandler):  # noqa: WPS431
        def do_DELETE(self) -> None:
            self.reply()

        def reply(self) -> None:
            """Answer by the store."""
            raw = self.read_body()
            body = json.loads(raw) if raw else None
            status, content = store.answer(self.command, self.path, body)
            if store.lose_answers:
                store.lose_answers -= 1
                self.close_connection = True
                return
            encoded = json.dumps(content).encode()
            self.send_response(status)
            self.send_header('Content-Length', str(len(encoded)))
            self.end_headers()
            self.wfile.write(encoded)

    with serving(Handler) as address:
        yield address
