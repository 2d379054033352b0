"""Values from outside that are in order by type and out of range by use."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

from kumquathold_node import caller_requests, seeds
from kumquathold_node.connection_pool import ConnectionPool
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.store import Revision, StoredValue
from kumquathold_node.upstream_responses import UpstreamConnection

DIGITS = '9' * 400
ADDRESS = '10.0.0.1:7400'


class KeepAliveTest(unittest.TestCase):
    """The `Keep-Alive` header of an answer."""

    def test_answer_is_not_lost_by_a_timeout_of_many_digits(self) -> None:
        pool = ConnectionPool()
        connection = UpstreamConnection(ADDRESS, 1.0)
        pool.release(connection, f'timeout={DIGITS}')
        self.assertEqual(len(pool.idle), 1)


class CallerTimeoutTest(unittest.TestCase):
    """The time that a caller says it waits."""

    def test_timeout_that_is_no_time_counts_as_not_given(self) -> None:
        dialect = CallerDialect()
        for text in ('nan', 'inf', '-inf', DIGITS, 'soon'):
            environ = {
                'REQUEST_URI': '/a',
                'REQUEST_METHOD': 'GET',
                'HTTP_REQUEST_TIMEOUT': text,
                'wsgi.input': SimpleNamespace(read=bytes),
            }
            request = caller_requests.read_request(environ, dialect)
            self.assertIsNone(request.timeout, text)


class SeedRecordTest(unittest.TestCase):
    """The record of seeds, which another writer may have changed."""

    def decode(self, text: str) -> tuple[str, ...]:
        """Return the addresses of a record with this text."""
        stored = StoredValue('seeds', text.encode(), Revision(0, 1))
        return seeds.decode_addresses(stored)

    def test_record_that_cannot_be_read_lists_nobody(self) -> None:
        nested = '[' * 50_000 + ']' * 50_000
        for text in ('', '7', '{"addresses": [7]}', nested):
            self.assertEqual(self.decode(text), ())

    def test_only_addresses_are_taken(self) -> None:
        odd = ['10.0.0.1:99999', f'10.0.0.1:{DIGITS}', 'north', ADDRESS]
        self.assertEqual(
            self.decode(json.dumps({'addresses': odd})), (ADDRESS,)
        )
