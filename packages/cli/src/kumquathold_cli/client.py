"""Client of a node's administration API, which signs each call."""

from __future__ import annotations

import http.client
import time
import uuid
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import msgspec

from kumquathold_core import operator_auth
from kumquathold_core.operator_auth import SignedCall

TIMEOUT_SECONDS = 30.0
MAX_DETAIL_BYTES = 200


class ClientError(Exception):
    """A call failed."""


class NodeUnreachable(ClientError):
    """The node sent no response; the call may still have taken effect."""


class CallRefused(ClientError):
    """The node returned an error."""

    def __init__(self, status: int, content: dict[str, Any]) -> None:
        """Set the HTTP status and the decoded body of the error."""
        super().__init__(content.get('detail', f'status {status}'))
        self.status = status
        self.error = str(content.get('error', ''))
        self.content = content


class Client:
    """Client of one node, which signs its calls as one operator."""

    __slots__ = ('node', 'operator', 'secret')

    def __init__(self, node: str, operator: str, secret: bytes) -> None:
        """Set the address of the administration API, and the operator."""
        self.node = node
        self.operator = operator
        self.secret = secret

    def get_json(
        self,
        path: str,
        query: dict[str, object] | None = None,
    ) -> Any:
        """Return the decoded JSON of a resource; raises `ClientError`."""
        return msgspec.json.decode(self.call('GET', path, b'', query or {}))

    def get_text(
        self,
        path: str,
        query: dict[str, object] | None = None,
    ) -> str:
        """Return the text of a resource; raises `ClientError`."""
        return self.call('GET', path, b'', query or {}).decode()

    def post(
        self,
        path: str,
        query: dict[str, object] | None = None,
        body: bytes = b'',
    ) -> Any:
        """Make a POST call and decode its JSON; raises `ClientError`."""
        return msgspec.json.decode(self.call('POST', path, body, query or {}))

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        query: dict[str, object],
    ) -> bytes:
        """Make a call and return the body of its response.

        Raises `NodeUnreachable`, or `CallRefused` if the status is an error.
        """
        target = f'{path}?{urlencode(query)}' if query else path
        connection = http.client.HTTPConnection(
            self.node,
            timeout=TIMEOUT_SECONDS,
        )
        headers = self._sign(method, target, body)
        try:
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise NodeUnreachable(
                f'no response from {self.node}: {error}'
            ) from error
        finally:
            connection.close()
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise CallRefused(response.status, _decode_error(content))
        return content

    def _sign(self, method: str, target: str, body: bytes) -> dict[str, str]:
        call = SignedCall(
            operator=self.operator,
            method=method,
            target=target,
            body=body,
            time=str(time.time()),
            nonce=uuid.uuid4().hex,
        )
        return {
            operator_auth.OPERATOR_HEADER: call.operator,
            operator_auth.TIME_HEADER: call.time,
            operator_auth.NONCE_HEADER: call.nonce,
            operator_auth.SIGNATURE_HEADER: operator_auth.sign_call(
                call,
                self.secret,
            ),
        }


def _decode_error(content: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.MsgspecError:
        return {
            'error': 'unreadable',
            'detail': content[:MAX_DETAIL_BYTES].decode('latin1'),
        }
