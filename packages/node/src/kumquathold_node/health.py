"""Readiness check for load balancers and process supervisors."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from kumquathold_node.caller_server import RequestGate
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.http_server import StartResponse, WsgiApp
from kumquathold_node.kernel import Kernel


def is_ready(kernel: Kernel) -> bool:
    """Whether the node can take callers' requests.

    It has a configuration in force, does not drain, and none of its background
    threads keeps failing: without them it would not hear of changes.
    """
    if kernel.list_failing_threads():
        return False
    request_gate: RequestGate = kernel.find('request-gate')
    config: ConfigurationService = kernel.find('configuration')
    return not request_gate.is_draining and config.current.version > 0


def make_health_app(kernel: Kernel, dialect: CallerDialect) -> WsgiApp:
    """Return the WSGI application of the health address.

    The dialect's health path answers 200 while the node is ready, else 503.
    """

    def app(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        status = '404 Not Found'
        if environ['PATH_INFO'] == dialect.health_path:
            is_node_ready = is_ready(kernel)
            status = '200 OK' if is_node_ready else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return [b'']

    return app
