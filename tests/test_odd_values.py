"""Values from outside that are in order by type and out of range by use."""

from __future__ import annotations

import unittest

from kumquathold_node.connection_pool import ConnectionPool
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
