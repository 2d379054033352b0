"""Calls of operators to the administration API, and responses to them."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from kumquathold_node.kernel import Kernel

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'


class AdministrationError(Exception):
    """A call that is answered with an error."""

    def __init__(self, status: HTTPStatus, error: str, detail: str) -> None:
        """Set the HTTP status, a stable error code and an explanation."""
        super().__init__(detail)
        self.status = status
        self.error = error
        self.detail = detail


class OperatorResponse(msgspec.Struct, frozen=True):
    """Response to an operator's call."""

    status: HTTPStatus
    """HTTP status."""

    content_type: str
    """Media type of the body."""

    body: bytes
    """Encoded body."""


class OperatorCall(msgspec.Struct, frozen=True):
    """An operator's call, as passed to its handler."""

    operator: str
    """Name of the operator, empty where no signature is needed."""

    query: dict[str, str]
    """Query parameters; of a repeated one, the first value."""

    body: bytes
    """Request body."""

    def require(self, name: str) -> str:
        """Return a parameter; raises `AdministrationError` if it is missing."""
        text = self.query.get(name, '')
        if not text:
            raise AdministrationError(
                HTTPStatus.BAD_REQUEST,
                'parameter-missing',
                f'the parameter "{name}" is missing',
            )
        return text

    def require_number(self, name: str) -> int:
        """Return a whole number; raises `AdministrationError` otherwise."""
        text = self.require(name)
        if not text.isdecimal():
            raise AdministrationError(
                HTTPStatus.BAD_REQUEST,
                'parameter-malformed',
                f'the parameter "{name}" must be a whole number, not "{text}"',
            )
        return int(text)


Handler = Callable[[Kernel, OperatorCall], OperatorResponse]


def make_json_response(
    content: Any, status: HTTPStatus = HTTPStatus.OK
) -> OperatorResponse:
    """Encode content as a JSON response."""
    return OperatorResponse(status, JSON_TYPE, msgspec.json.encode(content))
