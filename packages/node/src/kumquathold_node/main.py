"""Entry point of the `kumquathold-node` command."""

from __future__ import annotations

import os
import signal
import sys
import threading
from contextlib import ExitStack
from typing import Any

import click
from loguru import logger

from kumquathold_core.retries import (
    BUDGET_EXTRA_RETRIES,
    BUDGET_RETRIES_PER_REQUEST,
    BUDGET_WINDOW_SECONDS,
)
from kumquathold_node import http_server, logs
from kumquathold_node import settings as node_settings
from kumquathold_node.adapter import Adapter, default_adapter
from kumquathold_node.administration import make_administration_app
from kumquathold_node.allocator import limit_retained_memory
from kumquathold_node.caller_server import make_caller_app
from kumquathold_node.composition import assemble
from kumquathold_node.departure_records import DepartureRecords
from kumquathold_node.health import make_health_app
from kumquathold_node.http_server import serving
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership_messages import ListeningEvent
from kumquathold_node.metrics import make_metrics_app
from kumquathold_node.seeds import Seeds
from kumquathold_node.settings import Settings
from kumquathold_node.shutdown import GracefulShutdown
from kumquathold_node.transport import AddressInUse, Transport

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2
EXIT_ADDRESS_IN_USE = 3
ADMIN_THREADS = 4
ANNOUNCE_THREADS = 4
DEPARTURES_TIMEOUT_SECONDS = 1.0
"""Time that a start waits for the departures that the store holds."""

THREAD_SWITCH_SECONDS = 0.0002
"""Switch interval of the interpreter's threads, 5 ms by default."""


def run(settings: Settings, adapter: Adapter) -> None:
    """Run a node until its graceful shutdown is over; blocks meanwhile."""
    limit_retained_memory()
    kernel = assemble(settings, adapter)
    transport: Transport = kernel.find('transport')
    shutdown: GracefulShutdown = kernel.find('shutdown')
    seeds = Seeds(kernel, settings)
    http_server.bridge_library_logs()
    # Installed before the first request is taken: the default action of a
    # signal would end the process and cut the request off.
    _handle_signals(shutdown)
    with ExitStack() as stack:
        stack.enter_context(transport.listening())
        stack.enter_context(kernel.running())
        apps = [
            (make_health_app(kernel, adapter.caller_dialect), settings.health),
            (make_metrics_app(kernel.find('metrics')), settings.metrics),
        ]
        for app, address in apps:
            if address:
                stack.enter_context(serving(app, address, ANNOUNCE_THREADS))
        stack.enter_context(
            serving(
                make_administration_app(kernel, settings),
                settings.admin,
                ADMIN_THREADS,
            ),
        )
        shutdown.request_gate.server = stack.enter_context(
            serving(
                make_caller_app(kernel, adapter.caller_dialect),
                settings.callers,
                settings.threads,
                lambda: shutdown.request_gate.is_draining,
                kernel.find('body-memory'),
                adapter.caller_dialect,
            ),
        )
        _listen_to_upstreams(kernel, adapter, settings, stack)
        seeds.join()
        logger.info('node started', zone=settings.zone, region=settings.region)
        _run_shutdown(shutdown)
        shutdown.limit_end(_end_at_once)
    logger.info('node stopped')


def _listen_to_upstreams(
    kernel: Kernel, adapter: Adapter, settings: Settings, stack: ExitStack
) -> None:
    """Take announcements, once it is known which upstreams had left.

    Callers are served meanwhile, as the store may be away.
    """
    records: DepartureRecords = kernel.find('departure-records')
    records.read_at_start(DEPARTURES_TIMEOUT_SECONDS)
    app = adapter.make_announcement_app(kernel)
    stack.enter_context(serving(app, settings.announce, ANNOUNCE_THREADS))
    kernel.find('owner').task.post(ListeningEvent())


def _handle_signals(shutdown: GracefulShutdown) -> None:
    def begin_shutdown(*_: object) -> None:
        shutdown.begin()

    def log_reload(*_: object) -> None:
        logger.info('reload requested', changed=False)

    signal.signal(signal.SIGTERM, begin_shutdown)
    signal.signal(signal.SIGINT, begin_shutdown)
    # Settings come from flags and the environment, which a process cannot
    # reload; the default action of SIGHUP would end it.
    signal.signal(signal.SIGHUP, log_reload)


def _run_shutdown(shutdown: GracefulShutdown) -> None:
    """Wait for the request to shut down, and drain the node.

    Another thread does so, since Python runs signal handlers on the main
    thread, which here only waits.
    """
    thread = threading.Thread(target=shutdown.wait_and_drain, name='leaving')
    thread.start()
    thread.join()


def _split_list(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(',') if part.strip())


OPTIONS = (
    click.option(
        '--peer',
        required=True,
        help='Address for messages between nodes, IP:port.',
    ),
    click.option(
        '--callers',
        'callers_at',
        required=True,
        help="Address for callers' HTTP, IP:port.",
    ),
    click.option(
        '--admin',
        required=True,
        help='Address of the administration API, IP:port.',
    ),
    click.option(
        '--announce',
        required=True,
        help='Address where upstreams announce themselves, IP:port.',
    ),
    click.option(
        '--platform',
        required=True,
        help='Address of the key-value store, IP:port.',
    ),
    click.option('--zone', required=True, help='Availability zone of this VM.'),
    click.option('--region', required=True, help='Region of this VM.'),
    click.option(
        '--regions',
        required=True,
        help='All regions of the fleet, comma-separated.',
    ),
    click.option(
        '--store-region', required=True, help='Region of the key-value store.'
    ),
    click.option(
        '--fleet-secret-file',
        default='',
        help='File with the secret for messages between nodes.',
    ),
    click.option(
        '--operator-secret-file',
        default='',
        help="File with the secret for operators' calls.",
    ),
    click.option(
        '--join',
        default='',
        help='Peers to contact besides the seeds, comma-separated.',
    ),
    click.option(
        '--dial',
        default='',
        help=(
            'Addresses by which to reach peers, PEER=ADDRESS, comma-separated.'
        ),
    ),
    click.option(
        '--statsd', default='', help='Address of a StatsD server, IP:port.'
    ),
    click.option(
        '--threads',
        default=node_settings.DEFAULT_THREADS,
        help="Maximum number of callers' requests handled concurrently.",
    ),
    click.option(
        '--rate-groups',
        default=node_settings.DEFAULT_RATE_GROUPS,
        help='Number of workspace groups for rate limits; equal on all nodes.',
    ),
    click.option(
        '--rate-term',
        default=node_settings.DEFAULT_RATE_TERM_SECONDS,
        help='Seconds that a rate lease lasts unrenewed; see the runbook.',
    ),
    click.option(
        '--quiet',
        default=node_settings.DEFAULT_QUIET_SECONDS,
        help='Seconds without new requests before a draining node stops.',
    ),
    click.option('--log-level', default='INFO', type=click.Choice(logs.LEVELS)),
    click.option(
        '--rate-standing',
        default=node_settings.DEFAULT_RATE_STANDING_SECONDS,
        help='Seconds that grants go on without the store; see the runbook.',
    ),
    click.option(
        '--fleet-secret',
        default='',
        help='The secret itself, instead of a file.',
    ),
    click.option(
        '--operator-secret',
        default='',
        help='The secret itself, instead of a file.',
    ),
    click.option(
        '--service', default='', help='Service of the upstreams on this VM.'
    ),
    click.option(
        '--health', default='', help='Address of the readiness check, IP:port.'
    ),
    click.option(
        '--metrics',
        default='',
        help='Address of the Prometheus metrics, IP:port.',
    ),
    click.option(
        '--heartbeat',
        default=node_settings.DEFAULT_HEARTBEAT_SECONDS,
        help='Seconds between heartbeats.',
    ),
    click.option(
        '--far-rounds',
        default=1,
        help='Of this many heartbeats, one leaves the zone; 1 ignores zones.',
    ),
    click.option(
        '--explore-share',
        default=node_settings.DEFAULT_EXPLORE_SHARE,
        help='Share of requests sent to other upstreams to compare them.',
    ),
    click.option(
        '--body-memory',
        default=node_settings.DEFAULT_BODY_MEMORY_MEGABYTES,
        help='Megabytes of bodies of requests and responses held at once.',
    ),
    click.option(
        '--zone-kilobyte-cost',
        default=0.0,
        help='Cost of a kilobyte between zones, in shares of the value.',
    ),
    click.option(
        '--region-kilobyte-cost',
        default=0.0,
        help='Cost of a kilobyte between regions, in such shares.',
    ),
    click.option(
        '--load-reports',
        default=0,
        help='Most loads of upstreams in one heartbeat; 0 exchanges none.',
    ),
    click.option(
        '--retry-ratio',
        default=BUDGET_RETRIES_PER_REQUEST,
        help='Retries that each request adds to the budget of this node.',
    ),
    click.option(
        '--retry-extra',
        default=BUDGET_EXTRA_RETRIES,
        help='Further retries per service and window in the whole fleet.',
    ),
    click.option(
        '--retry-window',
        default=BUDGET_WINDOW_SECONDS,
        help='Seconds of the retry window.',
    ),
    click.option(
        '--grace',
        default=node_settings.DEFAULT_GRACE_SECONDS,
        help='Maximum seconds from the shutdown signal to the process end.',
    ),
)


def make_command(adapter: Adapter) -> click.Command:
    """Build the node's command for one deployment.

    Each flag can also be given as an environment variable with the prefix
    `KUMQUATHOLD_`.
    """

    def start(**given: Any) -> None:
        """Run a node, the proxy beside the upstreams of one VM."""
        sys.setswitchinterval(THREAD_SWITCH_SECONDS)
        try:
            settings = _read_settings(given)
        except* node_settings.SettingsError as errors:
            for error in node_settings.flatten_errors(errors):
                click.echo(f'kumquathold-node: {error}', err=True)
            sys.exit(EXIT_INVALID_SETTINGS)
        with logs.writing_logs(settings.log_level, settings.peer):
            _run_or_exit(settings, adapter)
        _end_process()

    command: Any = start
    for option in reversed(OPTIONS):
        command = option(command)
    context = {'auto_envvar_prefix': 'KUMQUATHOLD'}
    return click.command(context_settings=context)(command)


def _end_process() -> None:
    """End the process without waiting for its threads.

    The interpreter would join worker threads that still wait for upstreams,
    beyond the grace period.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(EXIT_OK)


def _end_at_once() -> None:
    """End the process, even if its output cannot be written."""
    os._exit(EXIT_OK)


def _run_or_exit(settings: Settings, adapter: Adapter) -> None:
    try:
        run(settings, adapter)
    except AddressInUse as error:
        logger.error('address in use', address=str(error))
        sys.exit(EXIT_ADDRESS_IN_USE)


def _read_settings(given: dict[str, Any]) -> Settings:
    """Build the settings from the flags; raises `SettingsErrors`."""
    secrets: dict[str, Any] = {
        name: node_settings.resolve_secret(
            f'--{name.replace("_", "-")}',
            given.pop(name),
            given.pop(f'{name}_file'),
        )
        for name in ('fleet_secret', 'operator_secret')
    }
    parsed: dict[str, Any] = {
        'callers': given.pop('callers_at'),
        'regions': tuple(dict.fromkeys(_split_list(given.pop('regions')))),
        'join': _split_list(given.pop('join')),
        'dial': node_settings.parse_dial(given.pop('dial')),
        'statsd': node_settings.parse_statsd(given.pop('statsd')),
    }
    return node_settings.check_settings(Settings(**given, **parsed, **secrets))


main = make_command(default_adapter())

if __name__ == '__main__':
    main()
