"""An owner without a network: its services are replaced by mocks."""

from __future__ import annotations

import unittest
from concurrent.futures import Future
from time import monotonic
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core import wire
from kumquathold_core.announcement_tracker import AnnouncementStamp
from kumquathold_core.forwarding import FailureResponse
from kumquathold_core.identity import RequestId, UpstreamRecord
from kumquathold_core.wire import Envelope
from kumquathold_node.announcements import AnnouncedEvent
from kumquathold_node.body_memory import BodyMemory
from kumquathold_node.configuration import empty_configuration
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership_messages import (
    DeparturesReadEvent,
    UpstreamsChangedEvent,
)
from kumquathold_node.owner import Owner
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from kumquathold_node.zone_evacuations import ZoneEvacuations
from tests.test_jobs import WORK

INGRESS = '10.0.0.9:1'
INCARNATION = 2
SERVICES = (
    'call-failures',
    'claims',
    'departure-records',
    'metrics',
    'pending-requests',
)
DEADLINE_SECONDS = 60.0
EXPIRY_SECONDS = 600.0
BODY_MEMORY_BYTES = 1_000_000


class OwnerStage:
    """An owner, with what it sends and publishes."""

    def __init__(self) -> None:
        kernel = Kernel()
        self.transport = mock.MagicMock(incarnation=INCARNATION)
        self.membership = mock.MagicMock(view=SimpleNamespace(nodes=()))
        kernel.register('transport', self.transport)
        kernel.register('membership', self.membership)
        for name in SERVICES:
            kernel.register(name, mock.MagicMock())
        self.configuration = SimpleNamespace(current=empty_configuration())
        kernel.register('configuration', self.configuration)
        self.evacuations = ZoneEvacuations(kernel)
        kernel.find('call-failures').last_failed_at = 0.0
        kernel.register('body-memory', BodyMemory(BODY_MEMORY_BYTES))
        settings: Any = SimpleNamespace(
            retry_ratio=0.1,
            retry_extra=10.0,
            retry_window=10.0,
            zone='a',
            region='r',
        )
        self.owner = Owner(kernel, UpstreamDialect(), settings)
        self.owner.announcements.on_departures_read(DeparturesReadEvent(()))
        self.started: list[OwnerRequest] = []
        self.owner.calls = mock.MagicMock(start=self._start)

    @classmethod
    def for_test(cls, case: unittest.TestCase) -> OwnerStage:
        """Return an owner whose threads end with the test."""
        stage = cls()
        case.addCleanup(stage.owner.workers.shutdown)
        return stage

    def _start(self, _: object, request: OwnerRequest) -> None:
        self.started.append(request)

    def announce(
        self, cold_seconds: float = 0.0, **changes: Any
    ) -> Upstream | None:
        """Announce the upstream `u`; return it if it was admitted."""
        record = UpstreamRecord(
            'u', 's', slots=1, ready=True, leaving=False, lifetime=7
        )
        record = msgspec.structs.replace(record, **changes)
        reply: Future[tuple[int, int]] = Future()
        announced = AnnouncedEvent(
            record,
            monotonic() + EXPIRY_SECONDS,
            reply,
            AnnouncementStamp(record.lifetime),
            cold_seconds=cold_seconds,
        )
        self.owner.announcements.on_announced(announced)
        return self.owner.upstreams.get(record.name)

    def send(self, number: int, **changes: Any) -> None:
        """Deliver a request for the upstream `u`."""
        now = monotonic()
        message = msgspec.structs.replace(
            WORK,
            request=RequestId(INGRESS, 1, number),
            owner_incarnation=INCARNATION,
            deadline=now + DEADLINE_SECONDS,
            due_at=now + DEADLINE_SECONDS,
            max_wait=DEADLINE_SECONDS,
            body_digest=wire.digest_body(b''),
        )
        message = msgspec.structs.replace(message, **changes)
        self.owner.on_forward_request(Envelope(INGRESS, 1, message))

    def list_failures(self) -> list[FailureResponse]:
        """Return the failures that were reported to the ingress."""
        sent = [call.args[1] for call in self.transport.try_send.mock_calls]
        return [one for one in sent if isinstance(one, FailureResponse)]

    def last_published(self) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams that membership was last told of."""
        posted = [call.args[0] for call in self.membership.task.post.mock_calls]
        changes = [
            one for one in posted if isinstance(one, UpstreamsChangedEvent)
        ]
        return changes[-1].upstreams
