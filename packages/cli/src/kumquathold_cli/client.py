"""Signed calls to the administration API of a node."""

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
MAX_DETAIL = 200


class ClientError(Exception):
    """A call that did not succeed."""


class NodeUnreachable(ClientError):
    """The node does not answer; what was asked may have been done."""


class CallRefused(ClientError):
    """The node answered with an error."""

    def __init__(self, status: int, content: dict[str, Any]) -> None:
        """Keep the status and what the node says."""
        super().__init__(content.get('detail', f'status {status}'))
        self.status = status
        self.error = str(content.get('error', ''))
        self.content = content


class Client:
    """Calls one node as one operator."""

    __slots__ = ('node', 'operator', 'secret')

    def __init__(self, node: str, operator: str, secret: bytes) -> None:
        """Take the address of the node's administration API."""
        self.node = node
        self.operator = operator
        self.secret = secret

    def get_json(
        self,
        path: str,
        query: dict[str, object] | None = None,
    ) -> Any:
        """Read a page."""
        return msgspec.json.decode(self.call('GET', path, b'', query or {}))

    def get_text(
        self,
        path: str,
        query: dict[str, object] | None = None,
    ) -> str:
        """Read a page of text."""
        return self.call('GET', path, b'', query or {}).decode()

    def post(
        self,
        path: str,
        query: dict[str, object] | None = None,
        body: bytes = b'',
    ) -> Any:
        """Have something done."""
        return msgspec.json.decode(self.call('POST', path, body, query or {}))

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        query: dict[str, object],
    ) -> bytes:
        """Make a call; raises a `ClientError`."""
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
            raise NodeUnreachable(f'{self.node}: {error}') from error
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
            'detail': content[:MAX_DETAIL].decode('latin1'),
        }
