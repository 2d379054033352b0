"""Administration API that every node serves to operators.

`/health` and `/metrics` need no signature; every other endpoint takes signed
calls only. Bodies are JSON, except the text of the configuration.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from loguru import logger

from kumquathold_core import operator_auth
from kumquathold_core.operator_auth import SignatureVerifier, SignedCall
from kumquathold_core.rules_errors import RulesErrors, list_errors
from kumquathold_node import acceptance, claim_resolution, explanations
from kumquathold_node.balancer import Balancer
from kumquathold_node.caller_server import RequestGate
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.health import is_ready
from kumquathold_node.http_server import StartResponse, WsgiApp
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import PingCommand
from kumquathold_node.metrics import Metrics
from kumquathold_node.operator_calls import (
    TEXT_TYPE,
    AdministrationError,
    Handler,
    OperatorCall,
    OperatorResponse,
    make_json_response,
)
from kumquathold_node.owner import Owner
from kumquathold_node.settings import Settings
from kumquathold_node.store import KeyValueStore, StoreError

if TYPE_CHECKING:
    from kumquathold_core.manifest import Manifest

HISTORY_LIMIT = 50
MAX_REPORTED_AGE_SECONDS = 1e9
"""Stands for an infinite age, which JSON cannot express."""


def show_health(kernel: Kernel, _: OperatorCall) -> OperatorResponse:
    """Return 200 while the node is ready, else 503."""
    request_gate: RequestGate = kernel.find('request-gate')
    is_up = is_ready(kernel)
    status = HTTPStatus.OK if is_up else HTTPStatus.SERVICE_UNAVAILABLE
    state = 'failing' if kernel.list_failing_threads() else 'starting'
    if request_gate.is_draining:
        state = 'leaving'
    content = {'state': 'up' if is_up else state}
    return make_json_response(content, status)


def show_metrics(kernel: Kernel, _: OperatorCall) -> OperatorResponse:
    """Return the totals of all counters and timers since the start."""
    metrics: Metrics = kernel.find('metrics')
    return make_json_response(metrics.read())


def show_status(kernel: Kernel, call: OperatorCall) -> OperatorResponse:
    """Return the state of this node, and of the fleet as this node sees it.

    With the parameter `refresh`, pings the nodes that have not reported the
    newest version as in force; a later call shows what they reported.
    """
    membership: Membership = kernel.find('membership')
    freshness: FreshnessService = kernel.find('freshness')
    owner: Owner = kernel.find('owner')
    balancer: Balancer = kernel.find('balancer')
    request_gate: RequestGate = kernel.find('request-gate')
    view = membership.view
    versions = {
        node.address: freshness.get_version(node.address) for node in view.nodes
    }
    if 'refresh' in call.query:
        for address, version in versions.items():
            if version < freshness.version:
                membership.task.post(PingCommand(address))
    return make_json_response(
        {
            'node': membership.table.own.address,
            'config_version': freshness.version,
            'freshness': freshness.decide_state().name,
            'proof_age': min(
                freshness.get_proof_age(), MAX_REPORTED_AGE_SECONDS
            ),
            'leaving': request_gate.is_draining,
            'requests_in_hand': request_gate.in_flight,
            'work_in_hand': owner.in_flight,
            'ejected': balancer.list_ejected(view),
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


def show_config(kernel: Kernel, call: OperatorCall) -> OperatorResponse:
    """Return the configuration in force, or the version asked for."""
    service: ConfigurationService = kernel.find('configuration')
    if 'version' not in call.query:
        return OperatorResponse(
            HTTPStatus.OK,
            TEXT_TYPE,
            f'# version: {service.current.version}\n'.encode()
            + service.current.text.encode(),
        )
    version = call.require_number('version')
    text = acceptance.read_version_text(kernel.find('reader'), version)
    if text is None:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND,
            'version-unknown',
            f'no version {version} was accepted',
        )
    marked = f'# version: {version}\n{text}'
    return OperatorResponse(HTTPStatus.OK, TEXT_TYPE, marked.encode())


def accept_config(kernel: Kernel, call: OperatorCall) -> OperatorResponse:
    """Accept a new configuration.

    The parameter `base` is the version that the operator started from; the
    call fails with 409 if another one is in force.
    """
    proposal = acceptance.Proposal(
        text=call.body.decode(),
        base=call.require_number('base'),
        author=call.operator,
        note=call.query.get('note', ''),
    )
    try:
        manifest = acceptance.accept(kernel, proposal)
    except acceptance.Conflict as conflict:
        return _make_conflict_response(conflict.manifest)
    except acceptance.AcceptanceError as error:
        raise _make_acceptance_error(error) from error
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
    return make_json_response(manifest)


def _make_acceptance_error(
    error: acceptance.AcceptanceError,
) -> AdministrationError:
    if isinstance(error, acceptance.NotAccepted):
        return AdministrationError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'store-unavailable',
            f'the configuration was not accepted: {error}',
        )
    return AdministrationError(
        HTTPStatus.GATEWAY_TIMEOUT,
        'outcome-unknown',
        f'it is not known whether the configuration was accepted: {error}',
    )


def show_history(kernel: Kernel, _: OperatorCall) -> OperatorResponse:
    """Return the last `HISTORY_LIMIT` accepted versions, newest first."""
    store: KeyValueStore = kernel.find('store')
    return make_json_response(acceptance.read_history(store, HISTORY_LIMIT))


def drain_node(kernel: Kernel, _: OperatorCall) -> OperatorResponse:
    """Start the graceful shutdown of this node."""
    kernel.find('shutdown').begin()
    return make_json_response({'leaving': True}, HTTPStatus.ACCEPTED)


def show_once(kernel: Kernel, call: OperatorCall) -> OperatorResponse:
    """Return the claim of a once-only request."""
    try:
        claim = claim_resolution.find_claim(
            kernel.find('store'),
            call.require('workspace'),
            call.require('key'),
        )
    except claim_resolution.ClaimUnreadable as error:
        raise AdministrationError(
            HTTPStatus.CONFLICT, 'claim-unreadable', str(error)
        ) from error
    if claim is None:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND,
            'claim-unknown',
            'no request with this Idempotency-Key is claimed',
        )
    return make_json_response(claim)


def resolve_once(kernel: Kernel, call: OperatorCall) -> OperatorResponse:
    """Settle a once-only request whose outcome is unknown."""
    try:
        claim = claim_resolution.resolve_claim(
            kernel,
            call.require('workspace'),
            call.require('key'),
            claim_resolution.Resolution(call.require('ruling')),
            call.operator,
        )
    except ValueError as error:
        raise AdministrationError(
            HTTPStatus.BAD_REQUEST,
            'parameter-malformed',
            'the parameter "ruling" must be "ran" or "not-run"',
        ) from error
    except claim_resolution.ResolutionError as error:
        raise AdministrationError(
            HTTPStatus.CONFLICT,
            'not-settled',
            str(error),
        ) from error
    return make_json_response(claim)


UNSIGNED_ENDPOINTS: dict[tuple[str, str], Handler] = {
    ('GET', '/health'): show_health,
    ('GET', '/metrics'): show_metrics,
}
SIGNED_ENDPOINTS: dict[tuple[str, str], Handler] = {
    ('GET', '/status'): show_status,
    ('GET', '/config'): show_config,
    ('POST', '/config'): accept_config,
    ('GET', '/history'): show_history,
    ('GET', '/explain'): explanations.explain_request,
    ('GET', '/where'): explanations.show_preview,
    ('POST', '/drain'): drain_node,
    ('GET', '/once'): show_once,
    ('POST', '/once'): resolve_once,
}


def make_administration_app(kernel: Kernel, settings: Settings) -> WsgiApp:
    """Return the WSGI application of the administration API."""
    verifier = SignatureVerifier(settings.operator_secret)
    lock = threading.Lock()

    def app(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        try:
            with lock:
                handler, call = _read_call(environ, verifier)
            response = handler(kernel, call)
        except AdministrationError as error:
            response = make_json_response(
                {'error': error.error, 'detail': error.detail},
                error.status,
            )
        except StoreError as error:
            response = make_json_response(
                {'error': 'store-unavailable', 'detail': str(error)},
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
        ]
        status = f'{response.status.value} {response.status.phrase}'
        start_response(status, headers)
        return [response.body]

    return app


def _read_call(
    environ: dict[str, Any],
    verifier: SignatureVerifier,
) -> tuple[Handler, OperatorCall]:
    target = environ['REQUEST_URI']
    parts = urlsplit(target)
    endpoint = (environ['REQUEST_METHOD'], parts.path)
    query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
    body = environ['wsgi.input'].read()
    unsigned_handler = UNSIGNED_ENDPOINTS.get(endpoint)
    if unsigned_handler is not None:
        return unsigned_handler, OperatorCall('', query, body)
    operator = _authenticate(environ, target, body, verifier)
    handler = SIGNED_ENDPOINTS.get(endpoint)
    if handler is None:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND,
            'page-unknown',
            f'there is no endpoint {endpoint[0]} {endpoint[1]}',
        )
    return handler, OperatorCall(operator, query, body)


def _authenticate(
    environ: dict[str, Any],
    target: str,
    body: bytes,
    verifier: SignatureVerifier,
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
        verifier.check(call, signature, time.time())
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


def _make_conflict_response(manifest: Manifest | None) -> OperatorResponse:
    return make_json_response(
        {
            'error': 'conflict',
            'detail': 'another configuration was accepted meanwhile',
            'in_force': manifest,
        },
        HTTPStatus.CONFLICT,
    )
