"""Tests of the callers' WSGI application with a fake ingress."""

from __future__ import annotations

import io
import json
import unittest
from types import SimpleNamespace
from typing import Any

from kumquathold_node.caller_requests import (
    CallerRequest,
    CallerResponse,
    RequestRefused,
    read_request,
)
from kumquathold_node.caller_server import RequestGate, make_caller_app
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics

ENVIRON = {
    'REQUEST_METHOD': 'POST',
    'REQUEST_URI': '/notes',
    'HTTP_X_REQUEST_ID': 'mine',
}


class CallerAppTest(unittest.TestCase):
    """Internal errors are never reported with the outcome "not-run"."""

    def test_ingress_error_reports_an_unknown_outcome(self) -> None:
        def fail(_: object) -> CallerResponse:
            raise ZeroDivisionError

        status, headers, body = self._call(fail)
        self.assertTrue(status.startswith('500'))
        self.assertEqual(headers['Kumquathold-Outcome'], 'unknown')
        self.assertEqual(json.loads(body)['reason'], 'internal-error')

    def test_response_without_a_body_has_no_content_length(self) -> None:
        def respond(_: object) -> CallerResponse:
            return CallerResponse(status=204, headers=(), body=b'')

        status, headers, body = self._call(respond)
        self.assertTrue(status.startswith('204'))
        self.assertNotIn('Content-Length', headers)
        self.assertEqual(body, b'')

    def test_target_is_passed_on_unchanged(self) -> None:
        """Upstreams would get another path or query than the caller sent."""
        for uri, target in (
            ('/c/x?', '/c/x?'),
            ('/c/x?a=1&a', '/c/x?a=1&a'),
            ('/c//x/../y', '/c//x/../y'),
            ('/c/x?u=http://h/p', '/c/x?u=http://h/p'),
            ('http://h:1/c/x?', '/c/x?'),
            ('http://h?a=1', '/?a=1'),
            ('http://h', '/'),
        ):
            self.assertEqual(self._read(REQUEST_URI=uri).target, target)

    def test_authorization_of_the_callers_own_is_passed_on(self) -> None:
        """It is no key of ours, and was refused beside one."""
        request = self._read(
            HTTP_X_API_KEY='kq_a_b', HTTP_AUTHORIZATION='Bearer other'
        )
        self.assertEqual(request.key, 'kq_a_b')
        self.assertIn(('Authorization', 'Bearer other'), request.headers)
        with self.assertRaises(RequestRefused):
            self._read(
                HTTP_X_API_KEY='kq_a_b', HTTP_AUTHORIZATION='Bearer kq_c_d'
            )

    def _read(self, **changes: str) -> CallerRequest:
        environ = {**ENVIRON, **changes, 'wsgi.input': io.BytesIO(b'')}
        return read_request(environ, CallerDialect())

    def _call(self, handle: Any) -> tuple[str, dict[str, str], bytes]:
        kernel = Kernel()
        kernel.register('ingress', SimpleNamespace(handle=handle))
        kernel.register('metrics', Metrics(None))
        gate = RequestGate(kernel)
        start_arguments: list[Any] = []
        environ = {**ENVIRON, 'wsgi.input': io.BytesIO(b'x')}
        body = b''.join(
            make_caller_app(kernel, CallerDialect())(
                environ, lambda *args: start_arguments.extend(args)
            ),
        )
        self.assertEqual(gate.in_flight, 0)
        return start_arguments[0], dict(start_arguments[1]), body
