"""Stand-ins and helpers for the review's scripts.

Starts nodes by the `run` line of the deploy file, on loopback addresses of
their own, beside stand-ins of the platform's store and of the servers. The
stand-ins follow the users' PROTOCOL page and do nothing wrong by themselves.
"""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
BOUNDS = {
    'graceS': 6,
    'budgetExtraRetries': 62,
    'budgetWindowS': 10,
}
"""Bounds of the site that the deploy file refers to."""

BEAT_SECONDS = 1.5
HOST = 'shop.example'
SEAL = 'X-Kumquathold-Response-Seal'
REQUEST_ID = 'X-Kumquathold-Request-Id'
DEADLINE = 'X-Kumquathold-Deadline-Ms'
INSTANCE = 'X-Kumquathold-Instance-Id'
NOT_EXECUTED = 'X-Kumquathold-Not-Executed'
CANNOT_RUN = 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what happened to `record.txt`, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open('w')
        self.lock = threading.Lock()
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        with self.lock:
            elapsed = time.monotonic() - self.started_at
            self.file.write(f'{elapsed:8.3f} {text}\n')
            self.file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address) -> None:
        """Ignore connections that the other end has closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *_) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get('Content-Length', 0)))

    def send(self, status: int, body: bytes, headers: dict | None = None):
        self.send_response(status)
        for name, text in (headers or {}).items():
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _serve(handler: type, ip: str, port: int = 0) -> _Server:
    server = _Server((ip, port), handler)
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    return server


class Store:
    """The platform's key-value store, in memory."""

    def __init__(self, ip: str) -> None:
        self.changed = threading.Condition()
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.revision = 100
        self.next_lease = 7000
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                self.answer()

            do_POST = do_DELETE = do_GET

            def answer(self) -> None:
                raw = self.read_body()
                status, content = store.handle(
                    self.path, json.loads(raw) if raw else {}
                )
                self.send(
                    status,
                    json.dumps(content).encode(),
                    {'Content-Type': 'application/json'},
                )

        self.server = _serve(Handler, ip)
        self.address = f'{ip}:{self.server.server_port}'
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def put_configuration(self, content: dict) -> None:
        """Write a configuration, as the operator does."""
        text = base64.b64encode(json.dumps(content).encode()).decode()
        with self.changed:
            self._put('op/config', text, 0)
            self.changed.notify_all()

    def handle(self, target: str, body: dict) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {key: one[0] for key, one in parse_qs(parts.query).items()}
        name, _, rest = parts.path.removeprefix('/api/kv-').partition('/')
        with self.changed:
            if name == 'key':
                return self._read(query['key'])
            if name == 'range':
                return self._list(query)
            if name == 'watch':
                return self._watch(query)
            if name == 'txn':
                return self._swap(body)
            if name == 'lease':
                self.next_lease += 1
                ttl = body['ttlMs']
                self.leases[self.next_lease] = [
                    ttl, time.monotonic() + ttl / 1000
                ]
                return 200, {'leaseId': self.next_lease, 'ttlMs': ttl}
            lease = self.leases.get(int(rest))
            if lease is None:
                return 404, {}
            if name == 'lease-end':
                self._end_lease(int(rest))
                return 200, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {'ttlMs': lease[0]}

    def _read(self, key: str) -> tuple[int, dict]:
        item = self.items.get(key)
        if item is None:
            return 404, {}
        return 200, {**item, 'atRev': self.revision}

    def _list(self, query: dict) -> tuple[int, dict]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['pathPrefix'])
            and key > query.get('after', '')
        )
        found = [self.items[key] for key in keys]
        return 200, {'items': found, 'hasMore': False, 'atRev': self.revision}

    def _watch(self, query: dict) -> tuple[int, dict]:
        after = int(query['after'])

        def find() -> list[dict]:
            return [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['pathPrefix'])
            ]

        self.changed.wait_for(find, int(query['waitMs']) / 1000)
        return 200, {'events': find(), 'atRev': self.revision}

    def _swap(self, body: dict) -> tuple[int, dict]:
        for row in body['expectedRev']:
            current = self.items.get(row['key'], {'revision': 0})
            if current['revision'] != row['revision']:
                keys = [one['key'] for one in body['expectedRev']]
                items = [self.items[key] for key in keys if key in self.items]
                return 412, {'items': items, 'atRev': self.revision}
        leases = {one.get('leaseId', 0) for one in body['setKeys']} - {0}
        if not leases <= set(self.leases):
            return 404, {}
        for one in body['setKeys']:
            self._put(one['key'], one['value'], one.get('leaseId', 0))
        for key in body['remove']:
            self._remove(key)
        self.changed.notify_all()
        return 200, {'revision': self.revision}

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
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['leaseId'] == lease:
                self._remove(key)
        self.changed.notify_all()

    def _expire_leases(self) -> None:
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            with self.changed:
                for lease, (_, end_at) in list(self.leases.items()):
                    if end_at <= now:
                        self._end_lease(lease)


class Target:
    """A server: runs requests, and sends heartbeats to the node beside it."""

    def __init__(
        self,
        ip: str,
        control: str,
        record: Record,
        *,
        service: str = 'catalog',
        zone: str = 'ub-a',
        slots: int = 4,
    ) -> None:
        self.name = f'i-{uuid.uuid4().hex[:10]}'
        self.control = control
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.is_beating = True
        self.runs: list[tuple[float, str, bytes]] = []
        self.lock = threading.Lock()
        self.free = threading.Semaphore(slots)
        target = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                body = self.read_body()
                if self.path == '/health':
                    self.send(200, b'', {INSTANCE: target.name})
                    return
                target.handle(self, body)

            do_POST = do_PUT = do_DELETE = do_GET

        self.server = _serve(Handler, ip)
        self.address = f'{ip}:{self.server.server_port}'
        threading.Thread(target=self._beat, daemon=True).start()

    def handle(self, call: _Handler, body: bytes) -> None:
        """Run one request, unless another server was meant."""
        request_id = call.headers.get(REQUEST_ID, '')
        expected = call.headers.get('X-Kumquathold-Expect-Instance')
        own = {REQUEST_ID: request_id, INSTANCE: self.name}
        if expected not in (None, self.name):
            call.send(421, b'', own)
            return
        with self.free:
            with self.lock:
                self.runs.append((time.monotonic(), request_id, body))
            self.record.write(
                f'run      {request_id} at {self.name} {call.command} '
                f'{call.path} body {len(body)} bytes'
            )
            self.answer(call, own, body)

    def answer(self, call: _Handler, own: dict, body: bytes) -> None:
        """Work, and send the answer; cases replace this."""
        call.send(200, b'done', {**own, SEAL: '3e1b.07.5a2'})

    def list_runs(self, request_id: str) -> list[float]:
        with self.lock:
            return [at for at, one, _ in self.runs if one == request_id]

    def make_beat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'configVersion': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'coldLeftMs': 0,
            },
        }

    def post(self, action: str, body: dict) -> int:
        """Send a heartbeat or a deregistration; return the status, or 0."""
        path = f'/api/instances/{self.name}/{action}'
        headers = {'Content-Type': 'application/json'}
        connection = http.client.HTTPConnection(self.control, timeout=1)
        with contextlib.closing(connection):
            try:
                connection.request('POST', path, json.dumps(body), headers)
                return connection.getresponse().status
            except (OSError, http.client.HTTPException):
                return 0

    def _beat(self) -> None:
        while True:
            if self.is_beating:
                self.post('heartbeat', self.make_beat())
            time.sleep(BEAT_SECONDS)


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(
        self, ip: str, zone: str, region: str, fleet: Fleet, service: str
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.region = region
        self.fleet = fleet
        self.service = service
        self.outbound = f'{ip}:8106'
        self.control = f'{ip}:8105'
        self.ready = f'{ip}:8100'
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process, with the platform's settings filled in."""
        role = self.fleet.role
        fields = {
            'zone': self.zone,
            'region': self.region,
            'service': self.service,
            'ip': self.ip,
            'portRange.0': '7640',
            'portRange.1': '7655',
            'listen.outbound': self.outbound,
            'listen.control': self.control,
            'listen.ready': self.ready,
            'platform.address': self.fleet.store.address,
            **{f'bounds.{name}': str(one) for name, one in BOUNDS.items()},
        }
        run = re.sub(
            r'\{\{#zones\}\}.*?\{\{/zones\}\}',
            ','.join(self.fleet.zones.values()),
            role['run'],
        )
        run = re.sub(r'\{\{([\w.]+)\}\}', lambda one: fields[one[1]], run)
        words = shlex.split(run)
        words[0] = sys.executable if words[0] == 'python3' else words[0]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment.update(role.get('env', {}))
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.starts += 1
        log = self.fleet.directory / f'{self.ip}-{self.starts}.log'
        with log.open('wb') as output:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.fleet.record.write(f'start    node {self.ip}')

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.fleet.record.write(
            f'signal   {signal.Signals(number).name} to node {self.ip}'
        )
        self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(self.ready, timeout=1)
        with contextlib.closing(connection):
            try:
                connection.request('GET', '/api/readiness')
                return connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                return False

    def measure_memory(self) -> float:
        """Return the resident memory in MB, 0 once the process has ended."""
        assert self.process is not None
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        found = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(found[1]) / 1000 if found else 0.0


class Answer:
    """What a client got for a request; status 0 if there was no answer."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, cause: str
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.cause = cause


class Fleet:
    """The nodes, the store and the record of one case."""

    def __init__(self, record: Record, zones: dict[str, str]) -> None:
        self.record = record
        self.zones = zones
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = deploy['roles']['node']
        self.directory = Path(tempfile.mkdtemp(prefix='review-'))
        self.base = _find_free_network()
        self.store = Store(f'{self.base}.100')
        self.nodes: list[Node] = []

    def add_node(self, zone: str, service: str = 'catalog') -> Node:
        ip = f'{self.base}.{len(self.nodes) + 1}'
        node = Node(ip, zone, self.zones[zone], self, service)
        self.nodes.append(node)
        return node

    def send(
        self,
        node: Node,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        deadline_ms: int = 8000,
        headers: dict | None = None,
        request_id: str = '',
    ) -> Answer:
        """Send one request to a node, on a channel of its own."""
        request_id = request_id or uuid.uuid4().hex[:16]
        self.record.write(
            f'send     {request_id} to {node.ip} {method} {path} '
            f'body {len(body)} bytes'
        )
        named = {
            'Host': HOST,
            REQUEST_ID: request_id,
            DEADLINE: str(deadline_ms),
            **(headers or {}),
        }
        connection = http.client.HTTPConnection(
            node.outbound, timeout=deadline_ms / 1000
        )
        with contextlib.closing(connection):
            try:
                connection.request(method, path, body or None, named)
                response = connection.getresponse()
                content = response.read()
                found = {
                    name.lower(): text for name, text in response.getheaders()
                }
                answer = Answer(response.status, found, content, '')
            except (OSError, http.client.HTTPException) as error:
                answer = Answer(0, {}, b'', repr(error))
        self.record.write(
            f'answer   {request_id} status {answer.status} '
            f'body {len(answer.body)} bytes {answer.cause}'
        )
        return answer

    def wait_until(self, condition, what: str, seconds: float = 20) -> None:
        end_at = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end_at:
                raise CannotRun(f'{what} not reached in {seconds} s')
            time.sleep(0.05)

    def end(self) -> None:
        """End all processes that this case started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def _find_free_network() -> str:
    for _ in range(50):
        base = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
        with contextlib.suppress(OSError), socket.create_server(
            (f'{base}.1', 8106)
        ):
            return base
    raise CannotRun('no free loopback addresses')


def make_route(name: str, prefix: str, **changes) -> dict:
    """Return a route of the configuration, `safe` unless changed."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'routeType': 'safe',
        'timeoutMs': 4000,
        'objectiveMs': 2000,
        'priority': 0,
        'service': 'catalog',
        'maxAttempts': 2,
        'authExempt': True,
        **changes,
    }


def make_configuration(version: int, routes: list[dict], **more) -> dict:
    """Return a configuration with the limits of the users' examples."""
    names = sorted({route['service'] for route in routes})
    return {
        'configVersion': f'{version:08x}',
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConnections': 390,
                'protocol': 'h1',
                'tls': False,
            }
            for name in names
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        **more,
    }


def play(case, folder: str, zones: dict[str, str]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, else 2."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(Path(folder) / 'record.txt')
    record.write(f'case     trouble {"on" if TROUBLE else "off"}')
    status = CANNOT_RUN
    fleet = None
    try:
        fleet = Fleet(record, zones)
        is_broken = case(fleet)
        status = 1 if is_broken else 0
        record.write(f'result   rule {"broken" if is_broken else "held"}')
    except Exception as error:  # noqa: BLE001
        record.write(f'result   could not run: {error!r}')
        print(f'could not run: {error!r}', file=sys.stderr)
    finally:
        if fleet is not None:
            fleet.end()
        # Threads of the stand-ins may still wait, and are not joined.
        os._exit(status)
