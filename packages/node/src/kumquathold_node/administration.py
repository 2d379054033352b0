"""The administration API that every node serves to operators.

`/health` and `/metrics` are open; all else takes signed calls only. Bodies
are JSON, but for the text of the rules.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from loguru import logger

from kumquathold_core import operator_auth, routing
from kumquathold_core.operator_auth import SignatureVerifier, SignedCall
from kumquathold_core.rules_file import RulesErrors, list_errors
from kumquathold_node import acceptance, claim_resolution
from kumquathold_node.balancer import Balancer
from kumquathold_node.caller_server import RequestGate, StartResponse, WsgiApp
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.health import is_ready
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership, PingCommand
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner import Owner
from kumquathold_node.settings import Settings
from kumquathold_node.store import KeyValueStore, StoreError

if TYPE_CHECKING:
    from kumquathold_core.manifest import Manifest

HISTORY_LIMIT = 50
MAX_AGE_SECONDS = 1e9
JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'


class AdministrationError(Exception):
    """A call that gets an error answer."""

    def __init__(self, status: HTTPStatus, error: str, detail: str) -> None:
        """Give the HTTP status, a stable name and what is wrong."""
        super().__init__(detail)
        self.status = status
        self.error = error
        self.detail = detail


class Reply(msgspec.Struct, frozen=True):
    """The answer to an operator's call."""

    status: HTTPStatus
    """HTTP status."""

    content_type: str
    """Type of the body."""

    body: bytes
    """The body."""


class OperatorCall(msgspec.Struct, frozen=True):
    """A call as a handler gets it."""

    operator: str
    """Who calls; empty on open pages."""

    query: dict[str, str]
    """Parameters."""

    body: bytes
    """The whole body."""

    def need(self, name: str) -> str:
        """A parameter that must be there."""
        text = self.query.get(name, '')
        if not text:
            raise AdministrationError(
                HTTPStatus.BAD_REQUEST,
                'parameter-missing',
                f'the parameter "{name}" is missing',
            )
        return text

    def need_number(self, name: str) -> int:
        """A parameter that must be a whole number."""
        text = self.need(name)
        if not text.isdecimal():
            raise AdministrationError(
                HTTPStatus.BAD_REQUEST,
                'parameter-malformed',
                f'the parameter "{name}" is no whole number',
            )
        return int(text)


Handler = Callable[[Kernel, OperatorCall], Reply]


def reply_json(content: Any, status: HTTPStatus = HTTPStatus.OK) -> Reply:
    """Answer with JSON."""
    return Reply(status, JSON_TYPE, msgspec.json.encode(content))


def show_health(kernel: Kernel, _: OperatorCall) -> Reply:
    """200 while the node takes work, else 503."""
    door: RequestGate = kernel.find('request-gate')
    is_up = is_ready(kernel)
    status = HTTPStatus.OK if is_up else HTTPStatus.SERVICE_UNAVAILABLE
    state = 'up' if is_up else 'starting'
    content = {'state': 'leaving' if door.is_leaving else state}
    return reply_json(content, status)


def show_metrics(kernel: Kernel, _: OperatorCall) -> Reply:
    """All counters and timers since the start."""
    metrics: Metrics = kernel.find('metrics')
    return reply_json(metrics.read())


def show_status(kernel: Kernel, call: OperatorCall) -> Reply:
    """Show the node itself, and the fleet as it sees it.

    With `refresh`, nodes that have not said that they have the newest version
    in force are asked once more; a later call shows what they answered.
    """
    membership: Membership = kernel.find('membership')
    freshness: FreshnessService = kernel.find('freshness')
    owner: Owner = kernel.find('owner')
    balancer: Balancer = kernel.find('balancer')
    door: RequestGate = kernel.find('request-gate')
    view = membership.view
    versions = {
        node.address: freshness.get_version(node.address) for node in view.nodes
    }
    if 'refresh' in call.query:
        for address, version in versions.items():
            if version < freshness.version:
                membership.task.post(PingCommand(address))
    return reply_json(
        {
            'node': membership.table.own.address,
            'config_version': freshness.version,
            'freshness': freshness.decide_state().name,
            'proof_age': min(freshness.get_proof_age(), MAX_AGE_SECONDS),
            'leaving': door.is_leaving,
            'requests_in_hand': door.in_hand,
            'work_in_hand': owner.in_hand,
            'ejected': balancer.ejected(view),
            'nodes': [
                {
                    **msgspec.structs.asdict(node),
                    'config_version': versions[node.address],
                    'upstreams': [
                        msgspec.structs.asdict(one) for one in node.upstreams
                    ],
                    'suspected': node.address in view.suspects,
                }
                for node in view.nodes
            ],
        }
    )


def show_config(kernel: Kernel, call: OperatorCall) -> Reply:
    """The text in force, or that of an earlier version."""
    service: ConfigurationService = kernel.find('configuration')
    if 'version' not in call.query:
        return Reply(
            HTTPStatus.OK,
            TEXT_TYPE,
            f'# version: {service.current.version}\n'.encode()
            + service.current.text.encode(),
        )
    version = call.need_number('version')
    text = acceptance.read_version_text(kernel.find('reader'), version)
    if text is None:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND,
            'version-unknown',
            f'no version {version} was accepted',
        )
    marked = f'# version: {version}\n{text}'
    return Reply(HTTPStatus.OK, TEXT_TYPE, marked.encode())


def accept_config(kernel: Kernel, call: OperatorCall) -> Reply:
    """Accept a rules file, based on the version that the operator saw."""
    proposal = acceptance.Proposal(
        text=call.body.decode(),
        base=call.need_number('base'),
        author=call.operator,
        note=call.query.get('note', ''),
    )
    try:
        manifest = acceptance.accept(kernel, proposal)
    except acceptance.Conflict as conflict:
        return _reply_conflict(conflict.manifest)
    except acceptance.AcceptanceError as error:
        raise _explain_acceptance(error) from error
    except RulesErrors as errors:
        raise AdministrationError(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'rules-invalid',
            '\n'.join(map(str, list_errors(errors))),
        ) from errors
    logger.info(
        'configuration accepted',
        version=manifest.version,
        author=call.operator,
    )
    return reply_json(manifest)


def _explain_acceptance(
    error: acceptance.AcceptanceError,
) -> AdministrationError:
    if isinstance(error, acceptance.NotAccepted):
        return AdministrationError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'store-unavailable',
            f'nothing was accepted: {error}',
        )
    return AdministrationError(
        HTTPStatus.GATEWAY_TIMEOUT,
        'outcome-unknown',
        f'it is not known whether it was accepted: {error}',
    )


def show_history(kernel: Kernel, _: OperatorCall) -> Reply:
    """The latest accepted versions, newest first."""
    platform: KeyValueStore = kernel.find('store')
    return reply_json(acceptance.read_history(platform, HISTORY_LIMIT))


def explain(kernel: Kernel, call: OperatorCall) -> Reply:
    """Why a request would go where."""
    config: ConfigurationService = kernel.find('configuration')
    balancer: Balancer = kernel.find('balancer')
    current = config.current
    match = routing.match_route(
        current.routes,
        call.need('method'),
        call.need('path'),
    )
    if match.route is None:
        return reply_json(
            {'route': None, 'allowed_methods': match.allowed_methods}
        )
    route = match.route
    workspace = current.rules.workspaces.get(call.query.get('workspace', ''))
    service = current.rules.services[route.service]
    return reply_json(
        {
            'config_version': current.version,
            'route': msgspec.structs.asdict(route),
            'service': msgspec.structs.asdict(service),
            'workspace': workspace,
            'would_be_refused': _explain_refusal(
                kernel, call, workspace, route
            ),
            'upstreams': balancer.explain(service, route.name),
        }
    )


def drain(kernel: Kernel, _: OperatorCall) -> Reply:
    """Have this node leave gracefully."""
    kernel.find('shutdown').begin()
    return reply_json({'leaving': True}, HTTPStatus.ACCEPTED)


def show_once(kernel: Kernel, call: OperatorCall) -> Reply:
    """What is known of a once-only request."""
    claim = claim_resolution.show(
        kernel.find('store'),
        call.need('workspace'),
        call.need('key'),
    )
    if claim is None:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND,
            'claim-unknown',
            'no request with this Idempotency-Key is claimed',
        )
    return reply_json(claim)


def resolve_once(kernel: Kernel, call: OperatorCall) -> Reply:
    """Settle a once-only request whose outcome is not known."""
    try:
        claim = claim_resolution.resolve(
            kernel,
            call.need('workspace'),
            call.need('key'),
            claim_resolution.Resolution(call.need('ruling')),
            call.operator,
        )
    except ValueError as error:
        raise AdministrationError(
            HTTPStatus.BAD_REQUEST,
            'parameter-malformed',
            'the parameter "ruling" is "ran" or "not-run"',
        ) from error
    except claim_resolution.SettlementError as error:
        raise AdministrationError(
            HTTPStatus.CONFLICT,
            'not-settled',
            str(error),
        ) from error
    return reply_json(claim)


OPEN_PAGES: dict[tuple[str, str], Handler] = {
    ('GET', '/health'): show_health,
    ('GET', '/metrics'): show_metrics,
}
SIGNED_PAGES: dict[tuple[str, str], Handler] = {
    ('GET', '/status'): show_status,
    ('GET', '/config'): show_config,
    ('POST', '/config'): accept_config,
    ('GET', '/history'): show_history,
    ('GET', '/explain'): explain,
    ('POST', '/drain'): drain,
    ('GET', '/once'): show_once,
    ('POST', '/once'): resolve_once,
}


def make_administration_app(kernel: Kernel, settings: Settings) -> WsgiApp:
    """The WSGI application that operators talk to."""
    checker = SignatureVerifier(settings.operator_secret)
    lock = threading.Lock()

    def app(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        try:
            with lock:
                handler, call = _read_call(environ, checker)
            reply = handler(kernel, call)
        except AdministrationError as error:
            reply = reply_json(
                {'error': error.error, 'detail': error.detail},
                error.status,
            )
        except StoreError as error:
            reply = reply_json(
                {'error': 'store-unavailable', 'detail': str(error)},
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
        headers = [
            ('Content-Type', reply.content_type),
            ('Content-Length', str(len(reply.body))),
        ]
        status = f'{reply.status.value} {reply.status.phrase}'
        start_response(status, headers)
        return [reply.body]

    return app


def _read_call(
    environ: dict[str, Any],
    checker: SignatureVerifier,
) -> tuple[Handler, OperatorCall]:
    target = environ['REQUEST_URI']
    parts = urlsplit(target)
    page = (environ['REQUEST_METHOD'], parts.path)
    query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
    body = environ['wsgi.input'].read()
    open_page = OPEN_PAGES.get(page)
    if open_page is not None:
        return open_page, OperatorCall('', query, body)
    operator = _authenticate(environ, target, body, checker)
    handler = SIGNED_PAGES.get(page)
    if handler is None:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND,
            'page-unknown',
            f'{page[0]} {page[1]} is not known',
        )
    return handler, OperatorCall(operator, query, body)


def _authenticate(
    environ: dict[str, Any],
    target: str,
    body: bytes,
    checker: SignatureVerifier,
) -> str:
    def header(name: str) -> str:
        key = f'HTTP_{name.upper().replace("-", "_")}'
        return str(environ.get(key, ''))

    call = SignedCall(
        operator=header(operator_auth.OPERATOR_HEADER),
        method=environ['REQUEST_METHOD'],
        target=target,
        body=body,
        time=header(operator_auth.TIME_HEADER),
        nonce=header(operator_auth.NONCE_HEADER),
    )
    signature = header(operator_auth.SIGNATURE_HEADER)
    try:
        checker.check(call, signature, time.time())
    except operator_auth.OperatorAuthError as error:
        logger.warning(
            'operator call refused',
            reason=type(error).__name__,
            target=target,
        )
        raise AdministrationError(
            HTTPStatus.UNAUTHORIZED,
            type(error).__name__,
            'sign the call with the operators’ secret',
        ) from error
    return call.operator


def _reply_conflict(manifest: Manifest | None) -> Reply:
    return reply_json(
        {
            'error': 'conflict',
            'detail': 'another configuration was accepted meanwhile',
            'in_force': manifest,
        },
        HTTPStatus.CONFLICT,
    )


def _explain_refusal(
    kernel: Kernel,
    call: OperatorCall,
    workspace: object,
    route: Any,
) -> str | None:
    freshness: FreshnessService = kernel.find('freshness')
    if route.public:
        return None
    if workspace is None:
        given = call.query.get('workspace', '')
        return f'no workspace "{given}"; the route needs a key'
    if freshness.decide_state().name == 'cut_off' and route.stale == 'refuse':
        return 'stale-configuration'
    return None
