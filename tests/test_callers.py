"""Tests of the HTTP behaviour that callers rely on."""

from __future__ import annotations

import http.client
import socket
import time
import unittest

from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from kumquathold_standins.processes import Upstream
from tests.support import ASKED, KEYS, make_rules, small_spec

PROBLEM_MEDIA_TYPE = 'application/problem+json'


class CallersTest(unittest.TestCase):
    """Malformed, oversize and slow requests, and callers that disconnect."""

    fleet: Fleet
    address: str

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(running_fleet(small_spec()))
        cls.fleet.accept(
            make_rules(
                f'route PUT /tiny service=holds idempotent body=1KB{ASKED}',
                f'route GET /brief service=listings deadline=300ms{ASKED}',
            ),
        )
        cls.fleet.wait_for_rate_holders()
        cls.address = cls.fleet.nodes[0].callers

    def test_refusals_are_problem_details_with_stable_reasons(self) -> None:
        caller = Caller(KEYS['dealers'])
        cases = (
            ('GET', '/nowhere', b'', 404, 'no-route'),
            ('DELETE', '/holds', b'', 405, 'method-not-allowed'),
            ('PUT', '/tiny', b'x' * 2000, 413, 'body-too-large'),
            ('POST', '/holds', b'x', 400, 'idempotency-key-missing'),
        )
        for method, path, body, status, reason in cases:
            response = caller.send(self.address, method, path, body=body)
            self.assertEqual(
                (response.status, response.reason), (status, reason)
            )
            self.assertEqual(
                response.headers['content-type'], PROBLEM_MEDIA_TYPE
            )
            self.assertEqual(response.outcome, 'not-run')
            problem = response.json()
            self.assertEqual(problem['status'], status)
            self.assertTrue(problem['type'].startswith('urn:'))
            self.assertEqual(
                problem['request_id'],
                response.headers['x-request-id'],
            )

    def test_request_id_is_passed_on(self) -> None:
        response = Caller(KEYS['dealers']).send(
            self.address,
            'GET',
            '/diffs/1',
            headers={'X-Request-Id': 'mine', 'X-Operation': 'id'},
        )
        self.assertEqual(response.headers['x-request-id'], 'mine')
        run = self.fleet.runs_of('id')[0]
        self.assertEqual(run.headers['X-Request-Id'], 'mine')

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        response = Caller(KEYS['dealers']).send(
            self.address,
            'GET',
            '/diffs/1',
            headers={
                'Connection': 'keep-alive, X-Private',
                'X-Private': 'yes',
                'Keep-Alive': 'timeout=5',
                'TE': 'trailers',
                'X-Operation': 'hops',
            },
        )
        self.assertEqual(response.status, 200)
        names = {name.lower() for name in self.fleet.runs_of('hops')[0].headers}
        self.assertFalse({'x-private', 'keep-alive', 'te'} & names)

    def test_malformed_requests_get_problem_details(self) -> None:
        for raw in (
            b'GET /diffs/1 HTTP/1.1\r\nbad header\r\n\r\n',
            b'NONSENSE\r\n\r\n',
            b'POST /notes HTTP/1.1\r\nContent-Length: x\r\n\r\n',
            b'GET /'
            + b'a' * 70_000
            + b' HTTP/1.1\r\nConnection: close\r\n\r\n',
        ):
            with self.subTest(raw=raw[:40]):
                status, content = self._send_raw(raw)
                self.assertIn(status, {400, 404, 413, 431})
                self.assertIn(PROBLEM_MEDIA_TYPE.encode(), content)

    def test_deadline_is_kept_and_reaches_the_upstream(self) -> None:
        started_at = time.monotonic()
        response = Caller(KEYS['dealers']).send(
            self.address,
            'GET',
            '/brief',
            headers={'X-Operation': 'brief', 'X-Work': '3'},
        )
        took = time.monotonic() - started_at
        self.assertEqual(response.reason, 'deadline-passed')
        self.assertEqual(response.status, 504)
        self.assertLess(took, 2)
        run = self.fleet.runs_of('brief')[0]
        left = int(run.headers['Kumquathold-Deadline-Ms'])
        self.assertTrue(0 < left <= 300, left)

    def test_caller_disconnect_cancels_its_request(self) -> None:
        connection = http.client.HTTPConnection(self.address)
        connection.request(
            'GET',
            '/diffs/1',
            headers={
                'Authorization': f'Bearer {KEYS["dealers"]}',
                'X-Work': '4',
                'X-Operation': 'gone',
            },
        )
        wait_until(lambda: bool(self.fleet.runs_of('gone')), 'run')
        connection.close()
        took = wait_until(
            lambda: (
                sum(
                    upstream.state()['cancelled']
                    for upstream in self._find_listings_upstreams()
                )
                > 0
            ),
            'cancellation at the upstream',
            3,
        )
        self.assertLess(took, 3)

    def test_slow_callers_do_not_delay_others(self) -> None:
        slow = [
            socket.create_connection(parse_address(self.address))
            for _ in range(100)
        ]
        for sock in slow:
            sock.sendall(b'POST /notes HTTP/1.1\r\nContent-Length: 100\r\n')
        response = Caller(KEYS['dealers']).send(self.address, 'GET', '/diffs/1')
        self.assertEqual(response.status, 200)
        self.assertLess(response.seconds, 1)
        for sock in slow:
            sock.close()

    def test_request_shed_by_an_upstream_is_retried_elsewhere(self) -> None:
        shedding = self._find_listings_upstreams()[0]
        shedding.behave(shed=True)
        try:
            for _ in range(10):
                response = Caller(KEYS['dealers']).send(
                    self.address,
                    'GET',
                    '/diffs/1',
                )
                self.assertEqual(response.status, 200, response)
        finally:
            shedding.behave()

    def _find_listings_upstreams(self) -> list[Upstream]:
        return [
            upstream
            for upstream in self.fleet.upstreams
            if upstream.service == 'listings'
        ]

    def _send_raw(self, raw: bytes) -> tuple[int, bytes]:
        with socket.create_connection(parse_address(self.address), 5) as sock:
            sock.sendall(raw)
            content = b''
            while chunk := sock.recv(65536):
                content += chunk
        return int(content.split(b' ', 2)[1]), content


def parse_address(address: str) -> tuple[str, int]:
    """Split an address into host and port for the socket module."""
    host, _, port = address.rpartition(':')
    return host, int(port)
