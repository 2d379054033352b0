"""Stand-in of a target on the users' platform, for end-to-end tests.

The last segment of a request's path selects the response. Requests that expect
this instance are recorded; others are refused with 421.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from tests.loopback import QuietHandler, serving

INSTANCE = 'i-7f3a'
SEAL = '3e1b.07.5a2'
REQUEST_ID = 'X-Kumquathold-Request-Id'
EXTRA_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nX-Kumquathold-Request-Id: other\r\n'
    b'X-Kumquathold-Response-Seal: false\r\nContent-Length: 5\r\n\r\nother'
)


class SiteTarget:
    """Target that records the requests it accepts."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []
        self.instance = INSTANCE

    def list_headers(self, path: str) -> list[dict[str, str]]:
        """List the headers, in lower case, of the requests to a path."""
        with self.lock:
            return [
                headers
                for _, requested, headers, _ in self.requests
                if requested == path
            ]


@contextmanager
def serving_target(target: SiteTarget) -> Iterator[str]:
    """Serve a target on loopback, and yield its address."""

    class Handler(QuietHandler):  # noqa: WPS431
        def reply(self) -> None:
            """Send the response that the path selects."""
            body = self.read_body()
            headers = {key.lower(): text for key, text in self.headers.items()}
            expected = headers.get('x-kumquathold-expect-instance')
            if expected != target.instance:
                self._send(421, b'', {})
                return
            with target.lock:
                target.requests.append(
                    (self.command, self.path, headers, body),
                )
            self._respond(self.path.rpartition('/')[2], body)

        def _respond(self, mode: str, body: bytes) -> None:
            if mode == 'shed':
                self._send(503, b'', {'X-Kumquathold-Not-Executed': '1'})
            elif mode == 'busy':
                self._send(503, b'', {})
            elif mode == 'unsealed':
                self._send(200, b'x', {})
            elif mode == 'foreign':
                self._send(
                    200, b'x', self._make_seal_header(), request_id='another'
                )
            else:
                self._send(200, b'ran ' + body, self._make_seal_header())
            if mode == 'extra':
                self.wfile.write(EXTRA_RESPONSE)

        def _make_seal_header(self) -> dict[str, str]:
            return {'X-Kumquathold-Response-Seal': SEAL}

        def _send(
            self,
            status: int,
            body: bytes,
            headers: dict[str, str],
            request_id: str = '',
        ) -> None:
            self.send_response(status)
            own_id = self.headers.get(REQUEST_ID, '')
            self.send_header(REQUEST_ID, request_id or own_id)
            self.send_header('Content-Length', str(len(body)))
            for name, text in headers.items():
                self.send_header(name, text)
            self.end_headers()
            self.wfile.write(body)

    with serving(Handler) as address:
        yield address
