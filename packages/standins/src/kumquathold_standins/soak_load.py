"""The callers and the operator of a soak.

Callers keep their connections to the nodes open for as long as the process at
the other end lives, and send again on them whatever happens meanwhile.
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
from kumquathold_standins.caller import Answer, Caller
from kumquathold_standins.fleet import Fleet, Node
from kumquathold_standins.soak_checks import (
    GUEST,
    LIMITED,
    LIMITED_BURST,
    LIMITED_DEADLINE_SECONDS,
    LIMITED_RATE,
    OK,
    PROBE,
)
from kumquathold_standins.soak_history import Accepted, Recorder, Sent

CALLERS = 8
LIMITED_CALLERS = 2
PAUSE_SECONDS = 0.02
TIMEOUT_SECONDS = 20.0
SMALL_BODY = 200
LARGE_BODY = 600_000
REPEAT_SHARE = 0.3
MIN_CHANGE_SECONDS = 1.0
MAX_CHANGE_SECONDS = 4.0
GUESTS = 'guests'
HOLD = 'hold'
VERSIONED = frozenset((PROBE, GUEST))
DEALERS = 'dealers'
ASKED = '  # asked by the soak'
RULES = (
    'service listings floor=50%',
    'service holds floor=50%',
    'route GET /diffs/* service=listings deadline=5s',
    'route POST /notes service=holds deadline=5s',
    'route POST /holds service=holds once deadline=8s',
    'route PUT /files/* service=holds idempotent body=16MB',
    f'route GET /limited/* service=listings '
    f'deadline={LIMITED_DEADLINE_SECONDS:.0f}s',
    'workspace dealers rate=2000 burst=2000',
    'workspace guests rate=2000 burst=2000',
    f'workspace {LIMITED} rate={LIMITED_RATE:.0f} burst={LIMITED_BURST}',
)


class Kind(msgspec.Struct, frozen=True):
    """One kind of request."""

    name: str
    """Its name in the history."""

    method: str
    """HTTP method."""

    path: str
    """Path; `{operation}` and `{version}` are filled in."""

    workspace: str = DEALERS
    """Whose key it carries, empty for none."""

    body_bytes: int = 0
    """Length of its body."""


KINDS = (
    Kind('read', 'GET', '/diffs/{operation}'),
    Kind('note', 'POST', '/notes', body_bytes=SMALL_BODY),
    Kind(HOLD, 'POST', '/holds', body_bytes=SMALL_BODY),
    Kind('file', 'PUT', '/files/{operation}', body_bytes=LARGE_BODY),
    Kind(PROBE, 'GET', '/probe-{version}/1', workspace=''),
    Kind(GUEST, 'POST', '/notes', workspace=GUESTS, body_bytes=SMALL_BODY),
)
LIMITED_KIND = Kind('limited', 'GET', '/limited/1', workspace=LIMITED)


def make_rules(version: int) -> str:
    """The rules of a version: its own probe route and guests' key."""
    lines = [
        *RULES,
        f'route GET /probe-{version}/* service=listings public',
        *(
            f'key {_key_id(workspace, version)} workspace={workspace} '
            f'digest=sha256:{digest_key(key_of(workspace, version)).hex()}'
            for workspace in (DEALERS, GUESTS, LIMITED)
        ),
    ]
    return ''.join(f'{line}{ASKED}\n' for line in lines)


def key_of(workspace: str, version: int) -> str:
    """A workspace's key; that of the guests changes with each version."""
    return f'kq_{_key_id(workspace, version)}_0123456789abcdef'


def _key_id(workspace: str, version: int) -> str:
    return f'{workspace}{version if workspace == GUESTS else 0}'


class Lives:
    """Counts the processes that each node has had."""

    def __init__(self, nodes: int) -> None:
        """Start with the first of each."""
        self.counts = [0 for _ in range(nodes)]

    def of(self, number: int) -> tuple[int, int]:
        """The life that a new connection to a node belongs to."""
        return number, self.counts[number]

    def begin(self, number: int) -> None:
        """Count a new process, before it is started."""
        self.counts[number] += 1


class Operator:
    """Has new versions accepted, one after the other."""

    def __init__(self, fleet: Fleet, recorder: Recorder, seed: int) -> None:
        """Accept nothing yet."""
        self.fleet = fleet
        self.recorder = recorder
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.version = 0

    def accept_next(self, is_over: threading.Event) -> None:
        """Have the next version accepted, however often it takes."""
        with self.lock:
            self._accept_next(is_over)

    def _accept_next(self, is_over: threading.Event) -> None:
        version = self.version + 1
        sent_at = time.time()
        while not is_over.is_set():
            node = self.rng.choice(self.fleet.nodes)
            if self._try_once(node, make_rules(version)):
                break
            time.sleep(PAUSE_SECONDS)
        else:
            return
        accepted = Accepted(version, sent_at, time.time())
        self.recorder.note(accepted)
        self.version = version

    def run(self, is_over: threading.Event) -> None:
        """Change the configuration again and again."""
        while not is_over.is_set():
            pause = self.rng.uniform(MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS)
            if not is_over.wait(pause):
                self.accept_next(is_over)

    def _try_once(self, node: Node, text: str) -> bool:
        """Whether the text is surely accepted."""
        try:
            base, current = changes.fetch_accepted_text(node.client)
            if current == text:
                return True
            changes.accept_text(node.client, text, base, 'soak')
        except (changes.ChangeError, ClientError, OSError):
            return False
        return True


class CallerThread:
    """One caller with a connection to each node, kept while it works."""

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        lives: Lives,
        operator: Operator,
        recorder: Recorder,
        seed: int,
    ) -> None:
        """Connect to nothing yet."""
        self.name = name
        self.fleet = fleet
        self.lives = lives
        self.operator = operator
        self.recorder = recorder
        self.rng = random.Random(f'{seed}-{name}')
        self.connections: dict[
            int, tuple[tuple[int, int], http.client.HTTPConnection]
        ] = {}
        self.last_hold = ''
        self.number = 0

    def run(self, kinds: tuple[Kind, ...], is_over: threading.Event) -> None:
        """Send one request after the other."""
        while not is_over.is_set():
            self._send(self.rng.choice(kinds))
            is_over.wait(PAUSE_SECONDS)
        for _, connection in self.connections.values():
            connection.close()

    def _send(self, kind: Kind) -> None:
        version = self.operator.version - self.rng.randrange(2)
        operation = self._name_operation(kind)
        body = operation.encode().ljust(kind.body_bytes, b'.')
        if not kind.body_bytes:
            body = b''
        number = self.rng.randrange(len(self.fleet.nodes))
        life, connection = self._connect(number)
        sent_at = time.time()
        answer = _send_on(connection, kind, operation, version, body)
        if not answer.status:
            self.connections.pop(number, None)
        self.recorder.note(
            Sent(
                operation=operation,
                kind=kind.name,
                workspace=kind.workspace,
                life=life,
                sent_at=sent_at,
                ended_at=time.time(),
                status=answer.status,
                outcome=answer.outcome,
                reason=answer.reason,
                version=version if kind.name in VERSIONED else 0,
                is_own_answer=_is_own(answer, operation, body),
            )
        )
        self.last_hold = ''
        if kind.name == HOLD and answer.outcome != Outcome.not_run:
            self.last_hold = operation

    def _name_operation(self, kind: Kind) -> str:
        """A new name, or that of a hold that is sent once more."""
        is_repeat = kind.name == HOLD and self.rng.random() < REPEAT_SHARE
        if is_repeat and self.last_hold:
            return self.last_hold
        self.number += 1
        return f'{kind.name}-{self.name}-{self.number}'

    def _connect(
        self,
        number: int,
    ) -> tuple[tuple[int, int], http.client.HTTPConnection]:
        if number not in self.connections:
            connection = http.client.HTTPConnection(
                self.fleet.nodes[number].callers,
                timeout=TIMEOUT_SECONDS,
            )
            self.connections[number] = (self.lives.of(number), connection)
        return self.connections[number]


def _send_on(
    connection: http.client.HTTPConnection,
    kind: Kind,
    operation: str,
    version: int,
    body: bytes,
) -> Answer:
    headers = {'X-Operation': operation}
    if kind.name == HOLD:
        headers['Idempotency-Key'] = operation
    key = key_of(kind.workspace, version) if kind.workspace else ''
    return Caller(key, TIMEOUT_SECONDS).send_on(
        connection,
        kind.method,
        kind.path.format(operation=operation, version=version),
        body=body,
        headers=headers,
    )


def _is_own(answer: Answer, operation: str, body: bytes) -> bool:
    """Whether an upstream's answer names the operation and the body sent."""
    if answer.status != OK:
        return True
    try:
        content = json.loads(answer.body)
    except ValueError:
        return False
    named = (content.get('operation'), content.get('body_digest'))
    return named == (operation, hashlib.sha256(body).hexdigest())
