"""The story of a request, from the logs of its nodes."""

from __future__ import annotations

import json
import unittest
from typing import Any

from click.testing import CliRunner

from kumquathold_cli import request_trace
from kumquathold_cli.main import main
from kumquathold_cli.request_trace import RequestNotFound, trace_request

INGRESS = '10.1.0.41:7020'
OWNER = '10.1.0.42:7020'
REQUEST = '837f7ab6587efecd'


def make_line(second: float, node: str, event: str, **fields: Any) -> str:
    """Return a log line at this second of a minute."""
    time = f'2026-01-16T20:17:{second:06.3f}+00:00'
    return json.dumps(
        {'time': time, 'level': 'INFO', 'event': event}
        | {
            'node': node,
            **fields,
        }
    )


def placed(second: float, upstream: str) -> str:
    """Return the line of an attempt."""
    return make_line(
        second,
        INGRESS,
        'request placed',
        request=REQUEST,
        upstream=upstream,
        risk=0.2,
        age=1.5,
    )


def ran(second: float, upstream: str, *, failed: bool) -> str:
    """Return the line of a run."""
    return make_line(
        second,
        OWNER,
        'upstream answered',
        request=REQUEST,
        upstream=upstream,
        failed=failed,
    )


def refused(second: float, reason: str) -> str:
    """Return the line of a refusal."""
    return make_line(
        second, INGRESS, 'request refused', request=REQUEST, reason=reason
    )


class TraceTest(unittest.TestCase):
    """The walks of OPERATIONS, and odd logs."""

    def trace(self, *texts: str) -> request_trace.Trace:
        """Trace the request through log lines."""
        return trace_request(request_trace.parse_lines(texts), REQUEST)

    def test_refusal_over_the_rate_names_the_workspace(self) -> None:
        trace = self.trace(
            refused(5.2, 'rate-exceeded'),
            make_line(
                5.1,
                INGRESS,
                'token refused',
                workspace='bago587',
                rate=5,
                retry_after=0.412,
            ),
        )
        self.assertIn('workspace bago587 is limited to 5', trace.cause)
        self.assertIn('0.412 s', trace.cause)

    def test_failure_names_the_upstreams_and_what_was_believed(self) -> None:
        trace = self.trace(
            placed(1.0, 'i-1'),
            ran(1.1, 'i-1', failed=True),
            make_line(1.1, OWNER, 'upstream suspected', upstream='i-1'),
            make_line(1.1, OWNER, 'upstream suspected', upstream='i-9'),
            refused(1.2, 'upstream-failed'),
        )
        self.assertIn('after 1 attempts: i-1 (risk 0.2', trace.cause)
        self.assertIn('failed at i-1', trace.cause)
        events = [line.event for line in trace.lines]
        self.assertEqual(events.count('upstream suspected'), 1)

    def test_late_configuration_names_the_versions(self) -> None:
        trace = self.trace(
            make_line(1.0, INGRESS, 'configuration in force', version=8),
            refused(2.0, 'no-route'),
            make_line(2.5, INGRESS, 'configuration in force', version=9),
            make_line(1.5, OWNER, 'configuration in force', version=9),
        )
        self.assertIn('had version 8 in force', trace.cause)
        self.assertIn('version 9 came 0.500 s later', trace.cause)
        self.assertEqual(len(trace.lines), 3)

    def test_lines_of_a_clock_that_is_off_are_moved(self) -> None:
        trace = self.trace(
            placed(1.0, 'i-1'),
            ran(9.0, 'i-1', failed=False),
            make_line(
                1.3, INGRESS, 'request answered', request=REQUEST, status=200
            ),
        )
        events = [line.event for line in trace.lines]
        self.assertEqual(events[1], 'upstream answered')
        self.assertAlmostEqual(trace.shifts[OWNER], -7.7)
        self.assertEqual(trace.cause, 'answered with status 200')

    def test_nested_calls_belong_to_the_story(self) -> None:
        nested = f'{REQUEST}.80d0ec8a586acf3a'
        trace = self.trace(
            placed(1.0, 'i-1'),
            make_line(1.1, OWNER, 'request placed', request=nested),
            make_line(1.2, OWNER, 'request placed', request=f'{REQUEST}0'),
        )
        self.assertEqual(len(trace.lines), 2)
        self.assertIn('its end is not in these logs', trace.cause)

    def test_other_lines_are_skipped(self) -> None:
        trace = self.trace('', 'text', '[7]', '{"time": 7}', refused(1.0, 'x'))
        self.assertEqual(len(trace.lines), 1)
        self.assertIn('before it was sent', trace.cause)

    def test_unknown_request_is_an_error(self) -> None:
        with self.assertRaises(RequestNotFound):
            self.trace(make_line(1.0, INGRESS, 'node started'))


class CommandTest(unittest.TestCase):
    """The command, with logs on standard input."""

    def test_story_is_printed_with_its_cause(self) -> None:
        logs = '\n'.join((placed(1.0, 'i-1'), refused(1.2, 'node-leaving')))
        result = CliRunner().invoke(main, ['trace', REQUEST], input=logs)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn('+0.200 s', result.output)
        self.assertIn('cause: refused (node-leaving)', result.output)

    def test_unknown_request_exits_with_an_error(self) -> None:
        result = CliRunner().invoke(main, ['trace', 'ab12'], input='')
        self.assertEqual(result.exit_code, 1)
        self.assertIn('RequestNotFound', result.output)


if __name__ == '__main__':
    unittest.main()
