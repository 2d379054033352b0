"""The `kumquathold-node` command."""

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
from kumquathold_node import caller_server, logs
from kumquathold_node import settings as node_settings
from kumquathold_node.adapter import Adapter, default_adapter
from kumquathold_node.administration import make_administration_app
from kumquathold_node.caller_server import make_caller_app, serving
from kumquathold_node.composition import assemble
from kumquathold_node.health import make_health_app
from kumquathold_node.metrics import make_metrics_app
from kumquathold_node.seeds import Seeds
from kumquathold_node.settings import Settings
from kumquathold_node.shutdown import GracefulShutdown
from kumquathold_node.transport import AddressInUse, Transport

EXIT_LEFT = 0
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
ADMIN_THREADS = 4
ANNOUNCE_THREADS = 4
SWITCH_SECONDS = 0.0002


def run(settings: Settings, edges: Adapter) -> None:
    """Run a node until it has left the fleet."""
    kernel = assemble(settings, edges)
    transport: Transport = kernel.find('transport')
    leaving: GracefulShutdown = kernel.find('shutdown')
    seeds = Seeds(kernel, settings)
    caller_server.bridge_library_logs()
    # Before the first request is taken: the default would cut it off.
    _react_to_signals(leaving)
    with ExitStack() as stack:
        stack.enter_context(transport.listening())
        stack.enter_context(kernel.running())
        pages = [
            (edges.make_announcement_app(kernel), settings.announce),
            (make_health_app(kernel, edges.caller_dialect), settings.health),
            (make_metrics_app(kernel.find('metrics')), settings.metrics),
        ]
        for app, address in pages:
            if address:
                stack.enter_context(serving(app, address, ANNOUNCE_THREADS))
        stack.enter_context(
            serving(
                make_administration_app(kernel, settings),
                settings.admin,
                ADMIN_THREADS,
            ),
        )
        leaving.door.server = stack.enter_context(
            serving(
                make_caller_app(kernel, edges.caller_dialect),
                settings.callers,
                settings.threads,
                lambda: leaving.door.is_draining,
            ),
        )
        seeds.join()
        logger.info('node started', zone=settings.zone, region=settings.region)
        _wait_interruptibly(leaving)
    logger.info('node stopped')


def _react_to_signals(leaving: GracefulShutdown) -> None:
    def begin(*_: object) -> None:
        leaving.begin()

    def note_reload(*_: object) -> None:
        logger.info('reload asked for', changed=False)

    signal.signal(signal.SIGTERM, begin)
    signal.signal(signal.SIGINT, begin)
    # Flags and environment stay as they were at the start.
    signal.signal(signal.SIGHUP, note_reload)


def _wait_interruptibly(leaving: GracefulShutdown) -> None:
    """Leave on another thread, so that signals reach this one."""
    thread = threading.Thread(target=leaving.wait_and_leave, name='leaving')
    thread.start()
    thread.join()


def _split(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(',') if part.strip())


OPTIONS = (
    click.option(
        '--peer', required=True, help='Address for other nodes, IP:port.'
    ),
    click.option(
        '--callers', 'callers_at', required=True, help="Callers' HTTP."
    ),
    click.option('--admin', required=True, help='Administration API, IP:port.'),
    click.option('--announce', required=True, help='Where upstreams announce.'),
    click.option(
        '--platform', required=True, help='Key-value service, IP:port.'
    ),
    click.option('--zone', required=True, help='Availability zone of this VM.'),
    click.option('--region', required=True, help='Region of the zone.'),
    click.option('--regions', required=True, help='All regions, with commas.'),
    click.option(
        '--store-region', required=True, help='Region of the platform.'
    ),
    click.option(
        '--fleet-secret-file', default='', help='Secret of the fleet.'
    ),
    click.option(
        '--operator-secret-file', default='', help="Operators' secret."
    ),
    click.option('--join', default='', help='Peers to try, with commas.'),
    click.option('--dial', default='', help='PEER=ADDRESS pairs, with commas.'),
    click.option('--statsd', default='', help='StatsD server, IP:port.'),
    click.option(
        '--threads',
        default=node_settings.DEFAULT_THREADS,
        help="Callers' requests at a time.",
    ),
    click.option(
        '--rate-groups',
        default=node_settings.DEFAULT_RATE_GROUPS,
        help='Equal on all nodes.',
    ),
    click.option(
        '--rate-term',
        default=node_settings.DEFAULT_RATE_TERM_SECONDS,
        help='Seconds; see the runbook.',
    ),
    click.option(
        '--quiet',
        default=node_settings.DEFAULT_QUIET_SECONDS,
        help='Seconds of quiet before leaving.',
    ),
    click.option('--log-level', default='INFO', type=click.Choice(logs.LEVELS)),
    click.option(
        '--rate-standing',
        default=node_settings.DEFAULT_RATE_STANDING_SECONDS,
        help='Seconds; see the runbook.',
    ),
    click.option('--fleet-secret', default='', help='In place of its file.'),
    click.option('--operator-secret', default='', help='In place of its file.'),
    click.option('--service', default='', help='Service on this VM.'),
    click.option('--health', default='', help='Health address, IP:port.'),
    click.option('--metrics', default='', help='Metrics address, IP:port.'),
    click.option(
        '--heartbeat',
        default=node_settings.DEFAULT_HEARTBEAT_SECONDS,
        help='Seconds between heartbeats.',
    ),
    click.option(
        '--far-rounds',
        default=1,
        help='One heartbeat in so many leaves the zone.',
    ),
    click.option(
        '--explore-share',
        default=node_settings.DEFAULT_EXPLORE_SHARE,
        help='Share of requests that go elsewhere to compare.',
    ),
    click.option(
        '--retry-ratio',
        default=BUDGET_RETRIES_PER_REQUEST,
        help='Retries that each request earns this node.',
    ),
    click.option(
        '--retry-extra',
        default=BUDGET_EXTRA_RETRIES,
        help='Further retries that the fleet may make in a window.',
    ),
    click.option(
        '--retry-window',
        default=BUDGET_WINDOW_SECONDS,
        help='Seconds of that window.',
    ),
    click.option(
        '--grace',
        default=node_settings.DEFAULT_GRACE_SECONDS,
        help='Seconds from the signal to leave to the end.',
    ),
)


def make_command(edges: Adapter) -> click.Command:
    """The command of a node with the edges of one deployment.

    Each flag can be given as an environment variable too, with the prefix
    KUMQUATHOLD_.
    """

    def start(**given: Any) -> None:
        """Run the process that stands beside the upstreams of one VM."""
        sys.setswitchinterval(SWITCH_SECONDS)
        try:
            settings = _read_settings(given)
        except* node_settings.SettingsError as errors:
            for error in node_settings.flatten(errors):
                click.echo(f'kumquathold-node: {error}', err=True)
            sys.exit(EXIT_SETTINGS)
        with logs.writing_logs(settings.log_level, settings.peer):
            _run_or_exit(settings, edges)
        _end_process()

    command: Any = start
    for option in reversed(OPTIONS):
        command = option(command)
    context = {'auto_envvar_prefix': 'KUMQUATHOLD'}
    return click.command(context_settings=context)(command)


def _end_process() -> None:
    """End at once: worker threads may still wait for upstreams.

    The interpreter would wait for them, past the grace that the process has.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(EXIT_LEFT)


def _run_or_exit(settings: Settings, edges: Adapter) -> None:
    try:
        run(settings, edges)
    except AddressInUse as error:
        logger.error('address in use', address=str(error))
        sys.exit(EXIT_ADDRESS)


def _read_settings(given: dict[str, Any]) -> Settings:
    """Make the settings of the flags; raises `SettingsErrors`."""
    secrets: dict[str, Any] = {
        name: node_settings.take_secret(
            f'--{name.replace("_", "-")}',
            given.pop(name),
            given.pop(f'{name}_file'),
        )
        for name in ('fleet_secret', 'operator_secret')
    }
    read: dict[str, Any] = {
        'callers': given.pop('callers_at'),
        'regions': tuple(dict.fromkeys(_split(given.pop('regions')))),
        'join': _split(given.pop('join')),
        'dial': node_settings.parse_dial(given.pop('dial')),
        'statsd': node_settings.read_statsd(given.pop('statsd')),
    }
    return node_settings.check_settings(Settings(**given, **read, **secrets))


main = make_command(default_adapter())

if __name__ == '__main__':
    main()
