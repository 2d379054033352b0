"""Load of a soak test: callers that send requests, and an operator.

Callers reuse one connection to each node until it fails, so that requests also
meet connections that were opened before a fault. The operator replaces the
configuration with new versions.
"""

from __future__ import annotations

import hashlib
import http.client
import json
import random
import threading
import time

import msgspec

from kumquathold_cli import changes
from kumquathold_cli.client import ClientError
from kumquathold_core.forwarding import Outcome
from kumquathold_core.rules import digest_key
from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet
from kumquathold_standins.processes import Node
from kumquathold_standins.soak_checks import (
    BOUND_KIND,
    BOUND_REGIONS,
    GUEST_KIND,
    LIMITED_BURST,
    LIMITED_DEADLINE_SECONDS,
    LIMITED_RATE,
    LIMITED_WORKSPACE,
    OK,
    PROBE_KIND,
)
from kumquathold_standins.soak_history import (
    Recorder,
    RequestRecord,
    VersionRecord,
)

CALLER_COUNT = 8
LIMITED_CALLER_COUNT = 2
PAUSE_SECONDS = 0.02
TIMEOUT_SECONDS = 20.0
SMALL_BODY_BYTES = 200
LARGE_BODY_BYTES = 600_000
REPEAT_SHARE = 0.3
MIN_CHANGE_INTERVAL_SECONDS = 1.0
MAX_CHANGE_INTERVAL_SECONDS = 4.0
GUESTS = 'guests'
HOLD_KIND = 'hold'
VERSIONED_KINDS = frozenset((PROBE_KIND, GUEST_KIND))
DEALERS = 'dealers'
RULES_COMMENT = '  # asked by the soak'
RULES = (
    'service listings floor=50%',
    'service holds floor=50%',
    'route GET /diffs/* service=listings deadline=5s',
    'route POST /notes service=holds deadline=5s',
    'route POST /holds service=holds once deadline=8s',
    'route POST /bound service=holds deadline=5s '
    f'regions={",".join(sorted(BOUND_REGIONS))}',
    'route PUT /files/* service=holds idempotent body=16MB',
    f'route GET /limited/* service=listings '
    f'deadline={LIMITED_DEADLINE_SECONDS:.0f}s',
    'workspace dealers rate=2000 burst=2000',
    'workspace guests rate=2000 burst=2000',
    f'workspace {LIMITED_WORKSPACE} rate={LIMITED_RATE:.0f} '
    f'burst={LIMITED_BURST}',
)


class RequestKind(msgspec.Struct, frozen=True):
    """Kind of request that callers send."""

    name: str
    """Name of the kind in the history."""

    method: str
    """HTTP method."""

    path: str
    """Path; a format string with the fields `operation` and `version`."""

    workspace: str = DEALERS
    """Workspace whose key is sent; empty for no key."""

    body_bytes: int = 0
    """Length of the body in bytes."""


REQUEST_KINDS = (
    RequestKind('read', 'GET', '/diffs/{operation}'),
    RequestKind('note', 'POST', '/notes', body_bytes=SMALL_BODY_BYTES),
    RequestKind(HOLD_KIND, 'POST', '/holds', body_bytes=SMALL_BODY_BYTES),
    RequestKind(
        'file', 'PUT', '/files/{operation}', body_bytes=LARGE_BODY_BYTES
    ),
    RequestKind(BOUND_KIND, 'POST', '/bound', body_bytes=SMALL_BODY_BYTES),
    RequestKind(PROBE_KIND, 'GET', '/probe-{version}/1', workspace=''),
    RequestKind(
        GUEST_KIND,
        'POST',
        '/notes',
        workspace=GUESTS,
        body_bytes=SMALL_BODY_BYTES,
    ),
)
LIMITED_KIND = RequestKind(
    'limited', 'GET', '/limited/1', workspace=LIMITED_WORKSPACE
)


def make_rules(version: int) -> str:
    """Make the rules of a version.

    The probe route and the key of the guests are unique to the version.
    """
    lines = [
        *RULES,
        f'route GET /probe-{version}/* service=listings public',
        *(
            f'key {_key_id(workspace, version)} workspace={workspace} '
            f'digest=sha256:{digest_key(key_of(workspace, version)).hex()}'
            for workspace in (DEALERS, GUESTS, LIMITED_WORKSPACE)
        ),
    ]
    return ''.join(f'{line}{RULES_COMMENT}\n' for line in lines)


def key_of(workspace: str, version: int) -> str:
    """Return a workspace's key; that of the guests differs in each version."""
    return f'kq_{_key_id(workspace, version)}_0123456789abcdef'


def _key_id(workspace: str, version: int) -> str:
    return f'{workspace}{version if workspace == GUESTS else 0}'


class RestartCounter:
    """Counts the restarts of each node."""

    def __init__(self, nodes: int) -> None:
        """Start with the first process of each node."""
        self.counts = [0 for _ in range(nodes)]

    def current_process(self, number: int) -> tuple[int, int]:
        """Identify a node's process by node number and restart count."""
        return number, self.counts[number]

    def increment(self, number: int) -> None:
        """Count a restart; call before the new process starts.

        Otherwise a connection to the new process could be attributed to the
        previous one.
        """
        self.counts[number] += 1


class Operator:
    """Replaces the configuration with successive versions."""

    def __init__(self, fleet: Fleet, recorder: Recorder, seed: int) -> None:
        """Start before the first version."""
        self.fleet = fleet
        self.recorder = recorder
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.version = 0

    def accept_next_version(self, stopped: threading.Event) -> None:
        """Submit the next version until it is accepted or `stopped` is set."""
        with self.lock:
            self._accept_next_version(stopped)

    def _accept_next_version(self, stopped: threading.Event) -> None:
        version = self.version + 1
        sent_at = time.time()
        while not stopped.is_set():
            node = self.rng.choice(self.fleet.nodes)
            if self._try_accept(node, make_rules(version)):
                break
            time.sleep(PAUSE_SECONDS)
        else:
            return
        accepted = VersionRecord(version, sent_at, time.time())
        self.recorder.record(accepted)
        self.version = version

    def run(self, stopped: threading.Event) -> None:
        """Submit versions at random intervals until `stopped` is set."""
        while not stopped.is_set():
            pause = self.rng.uniform(
                MIN_CHANGE_INTERVAL_SECONDS, MAX_CHANGE_INTERVAL_SECONDS
            )
            if not stopped.wait(pause):
                self.accept_next_version(stopped)

    def _try_accept(self, node: Node, text: str) -> bool:
        """Submit the text once; return whether its acceptance is confirmed."""
        try:
            base, current = changes.fetch_accepted_text(node.client)
            if current == text:
                return True
            changes.accept_text(node.client, text, base, 'soak')
        except (changes.ChangeError, ClientError, OSError):
            return False
        return True


class SoakCaller:
    """Caller that reuses its connection to each node until it fails."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        restarts: RestartCounter,
        operator: Operator,
        recorder: Recorder,
        seed: int,
    ) -> None:
        """Prepare the caller; `run` opens the connections."""
        self.name = name
        self.fleet = fleet
        self.restarts = restarts
        self.operator = operator
        self.recorder = recorder
        self.rng = random.Random(f'{seed}-{name}')
        self.connections: dict[
            int, tuple[tuple[int, int], http.client.HTTPConnection]
        ] = {}
        self.last_hold = ''
        self.operation_count = 0

    def run(
        self, kinds: tuple[RequestKind, ...], stopped: threading.Event
    ) -> None:
        """Send requests in sequence until `stopped` is set."""
        while not stopped.is_set():
            self._send(self.rng.choice(kinds))
            stopped.wait(PAUSE_SECONDS)
        for _, connection in self.connections.values():
            connection.close()

    def _send(self, kind: RequestKind) -> None:
        version = self.operator.version - self.rng.randrange(2)
        operation = self._choose_operation(kind)
        body = operation.encode().ljust(kind.body_bytes, b'.')
        if not kind.body_bytes:
            body = b''
        number = self.rng.randrange(len(self.fleet.nodes))
        node_process, connection = self._connect(number)
        sent_at = time.time()
        answer = _send_on(connection, kind, operation, version, body)
        if not answer.status:
            self.connections.pop(number, None)
        self.recorder.record(
            RequestRecord(
                operation=operation,
                kind=kind.name,
                workspace=kind.workspace,
                node_process=node_process,
                sent_at=sent_at,
                ended_at=time.time(),
                status=answer.status,
                outcome=answer.outcome,
                reason=answer.reason,
                version=version if kind.name in VERSIONED_KINDS else 0,
                is_own_answer=_is_own_answer(answer, operation, body),
            )
        )
        self.last_hold = ''
        if kind.name == HOLD_KIND and answer.outcome != Outcome.not_run:
            self.last_hold = operation

    def _choose_operation(self, kind: RequestKind) -> str:
        """Return a new name, or that of a hold sent just before."""
        is_repeat = kind.name == HOLD_KIND and self.rng.random() < REPEAT_SHARE
        if is_repeat and self.last_hold:
            return self.last_hold
        self.operation_count += 1
        return f'{kind.name}-{self.name}-{self.operation_count}'

    def _connect(
        self,
        number: int,
    ) -> tuple[tuple[int, int], http.client.HTTPConnection]:
        if number not in self.connections:
            connection = http.client.HTTPConnection(
                self.fleet.nodes[number].callers,
                timeout=TIMEOUT_SECONDS,
            )
            self.connections[number] = (
                self.restarts.current_process(number),
                connection,
            )
        return self.connections[number]


def _send_on(
    connection: http.client.HTTPConnection,
    kind: RequestKind,
    operation: str,
    version: int,
    body: bytes,
) -> Response:
    headers = {'X-Operation': operation}
    if kind.name == HOLD_KIND:
        headers['Idempotency-Key'] = operation
    key = key_of(kind.workspace, version) if kind.workspace else ''
    return Caller(key, TIMEOUT_SECONDS).send_on(
        connection,
        kind.method,
        kind.path.format(operation=operation, version=version),
        body=body,
        headers=headers,
    )


def _is_own_answer(answer: Response, operation: str, body: bytes) -> bool:
    """Whether a successful response names the operation and the body sent."""
    if answer.status != OK:
        return True
    try:
        content = json.loads(answer.body)
    except ValueError:
        return False
    named = (content.get('operation'), content.get('body_digest'))
    return named == (operation, hashlib.sha256(body).hexdigest())
