"""Messages that hold a value which frames cannot carry."""

from __future__ import annotations

import unittest

from kumquathold_core import wire
from kumquathold_core.gossip import MemberState, MemberUpdate, SyncResponse
from kumquathold_core.identity import UpstreamRecord
from kumquathold_node.metrics import Metrics
from kumquathold_node.transport import Transport
from tests.support import make_node_record

SECRET = b'a-secret-for-this-test-only'


class UnencodableMessageTest(unittest.TestCase):
    """A message with a value that frames cannot carry."""

    def test_sender_is_told_that_it_was_not_sent(self) -> None:
        metrics = Metrics(None)
        transport = Transport('127.0.0.1:1', 1, SECRET, metrics, {})
        upstream = UpstreamRecord(
            'i', 's', 4, ready=True, leaving=False, lifetime=10**30
        )
        record = make_node_record('127.0.0.1:1', upstreams=(upstream,))
        update = MemberUpdate(record, MemberState.alive)
        message = SyncResponse((update,))
        self.assertFalse(transport.try_send('127.0.0.1:2', message))
        self.assertEqual(metrics.read()['peers.unencodable'], 1)
        with self.assertRaises(wire.UnencodableMessage):
            wire.encode_frame(
                wire.Envelope('a', 1, message), '127.0.0.1:2', SECRET
            )
