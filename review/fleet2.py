"""Runs a small fleet of nodes between stand-ins, for the cases from 6 on.

Nodes are started by the `run` line of the deploy file, each on a loopback
address of its own. Store, targets and clients are stand-ins that follow the
users' pages. Every node reaches the store through a front of its own, which
can turn this node away while the others are served.
"""

from __future__ import annotations

import base64
import contextlib
import hashlib
import http.client
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOLD, BROKEN, FAILED_TO_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

ZONES = {
    'ub-a': 'ulaanbaatar',
    'dk-a': 'darkhan',
    'er-a': 'erdenet',
    'ub-b': 'ulaanbaatar',
    'dk-b': 'darkhan',
    'er-b': 'erdenet',
}
GRACE_SECONDS = 6
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
CONFIG_SECONDS = 2.0
BEAT_SECONDS = 1.5
STORE_ANSWER_SECONDS = 0.004
PORTS = {'outbound': 8106, 'ready': 8100, 'control': 8105, 'inbound': 8109}
PORT_RANGE = [7640, 7655]
HOST = 'shop.example'
REQUEST_ID = 'X-Kumquathold-Request-Id'


class CaseFailed(Exception):
    """The case could not run as planned."""


class Record:
    """The lines of `record.txt`, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / 'record.txt'
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self.lock = threading.Lock()

    def add(self, text: str) -> None:
        at = time.monotonic() - self.started_at
        with self.lock:
            self.lines.append(f'{at:8.3f} {text}')

    def say(self, text: str) -> None:
        self.add(text)
        print(text, flush=True)

    def save(self) -> None:
        with self.lock:
            self.path.write_text('\n'.join(self.lines) + '\n')


class Server(ThreadingHTTPServer):
    """HTTP server whose threads end with the process."""

    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, *_: object) -> None:
        """Ignore connections that the other end has closed."""


def serve(handler: type[BaseHTTPRequestHandler], ip: str, port: int = 0) -> Server:
    server = Server((ip, port), handler)
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    return server


class Store:
    """The platform's store: items, revisions, leases that expire, watches."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 10
        self.leases: dict[int, list[float]] = {}
        self.lease_ids = itertools.count(7001)
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def put(self, key: str, value: bytes) -> None:
        """Write an item, as the operator does."""
        with self.lock:
            self._put(key, base64.b64encode(value).decode(), 0)
            self.lock.notify_all()

    def find(self, prefix: str) -> dict[str, bytes]:
        with self.lock:
            return {
                key: base64.b64decode(item['value'])
                for key, item in self.items.items()
                if key.startswith(prefix)
            }

    def call(self, method: str, target: str, body: dict | None) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {key: texts[0] for key, texts in parse_qs(parts.query).items()}
        name, _, rest = parts.path.removeprefix('/api/').partition('/')
        with self.lock:
            if name == 'kv-key':
                item = self.items.get(query['key'])
                if item is None:
                    return 404, {}
                return 200, {**item, 'atRev': self.revision}
            if name == 'kv-range':
                return self._range(query)
            if name == 'kv-watch':
                return self._watch(query)
            if name == 'kv-txn':
                return self._transact(body or {})
            if name == 'kv-lease':
                number = next(self.lease_ids)
                seconds = max((body or {})['ttlMs'], 1000) / 1000
                self.leases[number] = [seconds, time.monotonic() + seconds]
                return 200, {'leaseId': number, 'ttlMs': int(seconds * 1000)}
            if name == 'kv-keep':
                lease = self.leases.get(int(rest))
                if lease is None:
                    return 404, {}
                lease[1] = time.monotonic() + lease[0]
                return 200, {'ttlMs': int(lease[0] * 1000)}
            if name == 'kv-lease-end':
                self._end_lease(int(rest))
                return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['pathPrefix'])
            and key > query.get('after', '')
        )
        return 200, {
            'items': [self.items[key] for key in keys[:500]],
            'hasMore': len(keys) > 500,
            'atRev': self.revision,
        }

    def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query['after'])

        def find() -> list[dict]:
            return [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['pathPrefix'])
            ]

        self.lock.wait_for(lambda: bool(find()), int(query['waitMs']) / 1000)
        return 200, {'events': find(), 'atRev': self.revision}

    def _transact(self, body: dict) -> tuple[int, dict]:
        rows = body.get('expectedRev', [])
        for row in rows:
            current = self.items.get(row['key'], {'revision': 0})
            if current['revision'] != row['revision']:
                found = [
                    self.items[one['key']]
                    for one in rows
                    if one['key'] in self.items
                ]
                return 412, {'items': found}
        for entry in body.get('setKeys', []):
            lease = entry.get('leaseId', 0)
            if lease and lease not in self.leases:
                return 404, {}
        for entry in body.get('setKeys', []):
            self._put(entry['key'], entry['value'], entry.get('leaseId', 0))
        for key in body.get('remove', []):
            self._remove(key)
        self.lock.notify_all()
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
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key, item in list(self.items.items()):
            if item['leaseId'] == number:
                self._remove(key)
        self.lock.notify_all()

    def _expire_leases(self) -> None:
        while True:
            time.sleep(0.05)
            with self.lock:
                now = time.monotonic()
                for number, (_, end_at) in list(self.leases.items()):
                    if end_at <= now:
                        self._end_lease(number)


class StoreFront:
    """The address at which one node reaches the store.

    `mode` is `ok`, `busy` (503), `many` (429), `reset` or `silent`; `seconds`
    is the time of an answer.
    """

    def __init__(self, store: Store, ip: str) -> None:
        self.mode = 'ok'
        self.seconds = STORE_ANSWER_SECONDS
        front = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def handle_call(self) -> None:
                size = int(self.headers.get('Content-Length') or 0)
                raw = self.rfile.read(size)
                if not self._may_pass():
                    return
                body = json.loads(raw) if raw else None
                status, content = store.call(self.command, self.path, body)
                time.sleep(front.seconds)
                if self._may_pass():
                    self._send(status, content)

            def _may_pass(self) -> bool:
                if front.mode == 'ok':
                    return True
                if front.mode in {'busy', 'many'}:
                    self._send(503 if front.mode == 'busy' else 429, {})
                    return False
                while front.mode == 'silent':
                    time.sleep(0.05)
                self.close_connection = True
                with contextlib.suppress(OSError):
                    self.connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0' + bytes(4)
                    )
                return False

            def _send(self, status: int, content: dict) -> None:
                encoded = json.dumps(content).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(encoded)))
                self.end_headers()
                self.wfile.write(encoded)

            do_GET = do_POST = do_DELETE = handle_call

            def log_message(self, *_: object) -> None:
                """Log nothing."""

        self.server = serve(Handler, ip)
        self.address = f'{ip}:{self.server.server_port}'


class Target:
    """A server of the users: runs requests in its slots, sheds when full."""

    def __init__(
        self,
        fleet: Fleet,
        node: Node,
        service: str,
        *,
        slots: int = 4,
        work: float = 0.05,
    ) -> None:
        self.fleet = fleet
        self.node = node
        self.service = service
        self.slots = slots
        self.work = work
        self.id = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.lock = threading.Lock()
        self.busy = 0
        self.runs: list[dict] = []
        self.is_beating = False
        self.state = 'ready'
        target = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def handle_call(self) -> None:
                target._handle(self)

            do_GET = do_POST = do_PUT = handle_call

            def log_message(self, *_: object) -> None:
                """Log nothing."""

        self.server = serve(Handler, node.ip)
        self.address = f'{node.ip}:{self.server.server_port}'

    def _handle(self, handler: BaseHTTPRequestHandler) -> None:
        size = int(handler.headers.get('Content-Length') or 0)
        digest = hashlib.sha256()
        left = size
        while left:
            piece = handler.rfile.read(min(left, 1 << 18))
            if not piece:
                return
            digest.update(piece)
            left -= len(piece)
        named = {key.lower(): text for key, text in handler.headers.items()}
        request_id = named.get(REQUEST_ID.lower(), '')
        expected = named.get('x-kumquathold-expect-instance', self.id)
        if expected != self.id:
            self._send(handler, 421, b'', request_id, seal=False)
            return
        with self.lock:
            is_full = self.busy >= self.slots
            if not is_full:
                self.busy += 1
        if is_full:
            self._send(handler, 503, b'', request_id, seal=False, shed=True)
            return
        run = {
            'id': request_id,
            'at': time.monotonic(),
            'method': handler.command,
            # `handler.path` would drop a slash of two at the start.
            'path': handler.requestline.split(' ')[1],
            'tenant': named.get('x-kumquathold-tenant-id', ''),
            'size': size,
            'digest': digest.hexdigest(),
        }
        with self.lock:
            self.runs.append(run)
        self.fleet.record.add(
            f'run {request_id} at {self.service} {self.id} {run["method"]}'
            f' {run["path"]} {size} bytes'
        )
        time.sleep(self.work)
        with self.lock:
            self.busy -= 1
        self._send(handler, 200, b'done ' + request_id.encode(), request_id)

    def _send(
        self,
        handler: BaseHTTPRequestHandler,
        status: int,
        body: bytes,
        request_id: str,
        *,
        seal: bool = True,
        shed: bool = False,
    ) -> None:
        handler.send_response(status)
        handler.send_header(REQUEST_ID, request_id)
        handler.send_header('X-Kumquathold-Instance-Id', self.id)
        handler.send_header('Content-Length', str(len(body)))
        if seal:
            handler.send_header('X-Kumquathold-Response-Seal', f'{request_id}.s')
        if shed:
            handler.send_header('X-Kumquathold-Not-Executed', '1')
        handler.end_headers()
        with contextlib.suppress(OSError):
            handler.wfile.write(body)

    def make_heartbeat(self) -> dict:
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'configVersion': 'v1',
                'zone': self.node.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': next(self.sequence),
                'coldLeftMs': 0,
            },
        }

    def send(self, action: str, body: dict) -> int:
        """Send a heartbeat or a deregistration; return the status, 0 if none."""
        try:
            return call(
                self.node.address('control'),
                'POST',
                f'/api/instances/{self.id}/{action}',
                json.dumps(body).encode(),
                timeout=1.0,
            )[0]
        except OSError:
            return 0

    def start_beating(self) -> None:
        self.is_beating = True
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while self.is_beating:
            self.send('heartbeat', self.make_heartbeat())
            time.sleep(BEAT_SECONDS)


class Node:
    """A process of the fleet, and the settings of its machine."""

    def __init__(self, fleet: Fleet, number: int, zone: str, service: str) -> None:
        self.fleet = fleet
        self.ip = fleet.make_ip(number)
        self.zone = zone
        self.service = service
        self.front = StoreFront(fleet.store, fleet.make_ip(200))
        self.process: subprocess.Popen | None = None
        self.log = fleet.folder / f'node-{number}.log'
        self.number = number

    @property
    def peer(self) -> str:
        return f'{self.ip}:{PORT_RANGE[0]}'

    def address(self, name: str) -> str:
        return f'{self.ip}:{PORTS[name]}'

    def start(self) -> None:
        role = self.fleet.deploy['roles']['node']
        fields = {
            'zone': self.zone,
            'region': ZONES[self.zone],
            'service': self.service,
            'ip': self.ip,
            'portRange': PORT_RANGE,
            'zones': ZONES,
            'listen': {name: self.address(name) for name in PORTS},
            'platform': {'address': self.front.address},
            'bounds': {
                'graceS': GRACE_SECONDS,
                'budgetExtraRetries': 62,
                'budgetWindowS': 10,
            },
        }
        words = [render(word, fields) for word in role['run'].split()]
        deps = str(ROOT / 'target' / 'deps')
        environ = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': deps,
            **role.get('env', {}),
        }
        with self.log.open('ab') as out:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        self.fleet.record.add(f'node {self.number} started')

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.fleet.record.add(f'node {self.number} gets {number.name}')
        self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.wait(5)

    def wait(self, seconds: float) -> int:
        assert self.process is not None
        return self.process.wait(seconds)

    def is_ready(self) -> bool:
        try:
            return call(self.address('ready'), 'GET', '/api/readiness')[0] == 200
        except OSError:
            return False

    def measure_memory(self) -> float:
        """Return the resident memory of the process in MB."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            text = Path(f'/proc/{self.process.pid}/status').read_text()
            found = re.search(r'VmRSS:\s+(\d+) kB', text)
            if found:
                return int(found[1]) * 1024 / 1e6
        return 0.0

    def read_metric(self, name: str) -> float:
        """Return the sum of a metric's samples."""
        with contextlib.suppress(OSError):
            _, _, body = call(f'{self.ip}:9150', 'GET', '/metrics')
            return sum(
                float(line.rpartition(' ')[2])
                for line in body.decode().splitlines()
                if line.startswith(name)
            )
        return 0.0


def render(word: str, fields: dict) -> str:
    """Fill in one word of the deploy file's `run` line."""

    def repeat(match: re.Match) -> str:
        entries = list(find(match[1], fields).values())
        texts = []
        for index, entry in enumerate(entries):
            comma = '' if index + 1 == len(entries) else ','
            text = match[2].replace('{{.}}', str(entry)).replace('{{,}}', comma)
            texts.append(text)
        return ''.join(texts)

    word = re.sub(r'\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}', repeat, word)
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda match: str(find(match[1], fields)), word
    )


def find(path: str, fields: dict):
    found = fields
    for part in path.split('.'):
        found = found[int(part)] if isinstance(found, list) else found[part]
    return found


class Fleet:
    """Nodes, store and targets of one case; all end with the block."""

    def __init__(self, case_file: str) -> None:
        self.record = Record(Path(case_file).resolve().parent)
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.store = Store()
        self.nodes: list[Node] = []
        self.prefix = self._claim_addresses()
        self.ids = itertools.count(1)
        self.id_base = f'{random.getrandbits(32):08x}'
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)

    def _claim_addresses(self) -> str:
        """Choose a block of loopback addresses that no other run uses."""
        for _ in range(100):
            prefix = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
            self.claim = socket.socket()
            with contextlib.suppress(OSError):
                self.claim.bind((f'{prefix}.250', 7999))
                return prefix
        raise CaseFailed('no free loopback addresses')

    def make_ip(self, number: int) -> str:
        return f'{self.prefix}.{number}'

    def add_node(self, zone: str, service: str) -> Node:
        node = Node(self, len(self.nodes) + 1, zone, service)
        self.nodes.append(node)
        return node

    def make_id(self) -> str:
        return f'{self.id_base}{next(self.ids):08x}'

    def configure(self, version: int, **changes) -> None:
        config = {
            'configVersion': f'{version:08x}',
            'routes': [],
            'services': [],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
            'tenants': [],
            **changes,
        }
        self.store.put('op/config', json.dumps(config).encode())
        self.record.add(f'configuration {version} acknowledged')

    def close(self) -> None:
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            for node in self.nodes:
                if node.log.exists():
                    copy = Path(logs) / node.log.name
                    copy.write_bytes(node.log.read_bytes())
        self.temporary.cleanup()
        self.record.save()


def make_route(prefix: str, service: str, kind: str, timeout: int, **more) -> dict:
    return {
        'name': f'r-{service}-{kind}',
        'host': HOST,
        'pathPrefix': prefix,
        'routeType': kind,
        'timeoutMs': timeout,
        'objectiveMs': 2000,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'authExempt': False,
        **more,
    }


def make_service(name: str) -> dict:
    return {
        'name': name,
        'healthPath': '/health',
        'maxConnections': 390,
        'protocol': 'h1',
        'tls': False,
    }


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict | None = None,
    timeout: float = 10.0,
) -> tuple[int, dict, bytes]:
    """Make a request on a new connection; raises `OSError`."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        named = {key.lower(): text for key, text in response.getheaders()}
        return response.status, named, response.read()
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from error
    finally:
        connection.close()


class Reply:
    """What a client got for one request; status 0 for a closed channel."""

    def __init__(self, request_id: str, sent_at: float) -> None:
        self.id = request_id
        self.sent_at = sent_at
        self.ended_at = 0.0
        self.status = 0
        self.headers: dict = {}
        self.body = b''
        self.error = ''


def request(
    fleet: Fleet,
    node: Node,
    method: str,
    path: str,
    *,
    key: str = '',
    body: bytes = b'',
    deadline: float = 8.0,
) -> Reply:
    """Send a client's request to a node, and record it."""
    reply = Reply(fleet.make_id(), time.monotonic())
    headers = {
        'Host': HOST,
        REQUEST_ID: reply.id,
        'X-Kumquathold-Deadline-Ms': str(int(deadline * 1000)),
    }
    if key:
        headers['Api-Key'] = key
    fleet.record.add(f'sent {reply.id} to node {node.number} {method} {path}')
    try:
        reply.status, reply.headers, reply.body = call(
            node.address('outbound'), method, path, body, headers, deadline + 2
        )
    except OSError as error:
        reply.error = repr(error)
    reply.ended_at = time.monotonic()
    fleet.record.add(f'answer {reply.id} {reply.status} {reply.error}')
    return reply


def wait_until(is_reached, name: str, seconds: float = 20.0) -> None:
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        if is_reached():
            return
        time.sleep(0.05)
    raise CaseFailed(f'{name} was not reached within {seconds:.0f} s')


def run_case(case_file: str, play) -> None:
    """Play a case and exit with its status."""
    def stop(*_: object) -> None:
        raise CaseFailed('ended by a signal')

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    fleet = Fleet(case_file)
    status = FAILED_TO_RUN
    try:
        fleet.record.add(f'trouble: {TROUBLE}')
        status = BROKEN if play(fleet) else HOLD
        words = {BROKEN: 'the rule was broken', HOLD: 'the rule held'}
        fleet.record.say(words[status])
    except CaseFailed as error:
        fleet.record.say(f'the case could not run: {error}')
    finally:
        fleet.close()
    sys.stdout.flush()
    os._exit(status)
