"""A stand-in of a target on the users' platform, for tests of the whole path.

Answers each request as its path says, and keeps what it was sent.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from tests.loopback import QuietHandler, serving

INSTANCE = 'i-7f3a'
SEAL = '3e1b.07.5a2'
REQUEST_ID = 'X-Kumquathold-Request-Id'
EXTRA_ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Kumquathold-Request-Id: other\r\n'
    b'X-Kumquathold-Response-Seal: false\r\nContent-Length: 5\r\n\r\nother'
)


class SiteTarget:
    """What arrived."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []
        self.instance = INSTANCE

    def seen(self, path: str) -> list[dict[str, str]]:
        """The headers of the requests to one path, in lower case."""
        with self.lock:
            return [
                headers for _, at, headers, _ in self.requests if at == path
            ]


@contextmanager
def serving_target(target: SiteTarget) -> Iterator[str]:
    """Serve a target on loopback; gives its address."""

    class Handler(QuietHandler):  # noqa: WPS431
        def reply(self) -> None:
            """Answer as the path says."""
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
            self._behave(self.path.rpartition('/')[2], body)

        def _behave(self, how: str, body: bytes) -> None:
            if how == 'shed':
                self._send(503, b'', {'X-Kumquathold-Not-Executed': '1'})
            elif how == 'busy':
                self._send(503, b'', {})
            elif how == 'unsealed':
                self._send(200, b'x', {})
            elif how == 'foreign':
                self._send(200, b'x', self._sealed(), request_id='another')
            else:
                self._send(200, b'ran ' + body, self._sealed())
            if how == 'extra':
                self.wfile.write(EXTRA_ANSWER)

        def _sealed(self) -> dict[str, str]:
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
