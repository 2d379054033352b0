"""Endpoints that explain how a request would be handled."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from kumquathold_core import routing
from kumquathold_core.freshness_tracker import FreshnessState
from kumquathold_core.rules import Route, StalePolicy, Workspace
from kumquathold_node import placement_views, request_preview
from kumquathold_node.balancer import Balancer
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel
from kumquathold_node.operator_calls import (
    AdministrationError,
    OperatorCall,
    OperatorResponse,
    make_json_response,
)


def explain_request(kernel: Kernel, call: OperatorCall) -> OperatorResponse:
    """Explain how a request would be routed, and the state of its upstreams."""
    config: ConfigurationService = kernel.find('configuration')
    balancer: Balancer = kernel.find('balancer')
    current = config.current
    match = routing.match_route(
        current.routes,
        call.require('method'),
        call.require('path'),
    )
    if match.route is None:
        return make_json_response(
            {'route': None, 'allowed_methods': match.allowed_methods}
        )
    route = match.route
    workspace = current.rules.workspaces.get(call.query.get('workspace', ''))
    service = current.rules.services[route.service]
    return make_json_response(
        {
            'config_version': current.version,
            'route': msgspec.structs.asdict(route),
            'service': msgspec.structs.asdict(service),
            'workspace': workspace,
            'would_be_refused': _explain_refusal(
                kernel, call, workspace, route
            ),
            'upstreams': placement_views.list_upstreams(balancer, service),
        }
    )


def show_preview(kernel: Kernel, call: OperatorCall) -> OperatorResponse:
    """Return where a request would go now, and why, without sending it."""
    query = request_preview.RequestQuery(
        method=call.require('method'),
        path=call.require('path'),
        host=call.query.get('host', ''),
        workspace=call.query.get('workspace', ''),
    )
    try:
        found = request_preview.preview_request(kernel, query)
    except request_preview.UnknownRoute as error:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND, 'route-unknown', str(error)
        ) from error
    except request_preview.UnknownWorkspace as error:
        raise AdministrationError(
            HTTPStatus.NOT_FOUND, 'workspace-unknown', str(error)
        ) from error
    return make_json_response(found)


def _explain_refusal(
    kernel: Kernel,
    call: OperatorCall,
    workspace: Workspace | None,
    route: Route,
) -> str | None:
    freshness: FreshnessService = kernel.find('freshness')
    if route.public:
        return None
    if workspace is None:
        given = call.query.get('workspace', '')
        return f'no workspace "{given}"; the route needs a key'
    is_cut_off = freshness.decide_state() == FreshnessState.cut_off
    if is_cut_off and route.stale == StalePolicy.refuse:
        return 'stale-configuration'
    return None
