"""The `kumquathold-node` command."""

from __future__ import annotations

import signal
import sys
import threading
from contextlib import ExitStack

import click
from loguru import logger

from kumquathold_core.identity import NodeRecord
from kumquathold_node import callers, logs
from kumquathold_node import settings as node_settings
from kumquathold_node.administration import make_administration_app
from kumquathold_node.announcements import make_announcement_app
from kumquathold_node.balancer import Balancer
from kumquathold_node.callers import Door, make_caller_app, serving
from kumquathold_node.claims_service import ClaimsService
from kumquathold_node.clock import start_incarnation
from kumquathold_node.configuration import (
    ConfigurationReader,
    ConfigurationService,
)
from kumquathold_node.exchanges import Exchanges
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.ingress import Ingress
from kumquathold_node.kernel import Kernel
from kumquathold_node.leaving import Leaving
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner import Owner
from kumquathold_node.platform import Platform
from kumquathold_node.rate_drawer import RateDrawer
from kumquathold_node.rate_election import RateElection
from kumquathold_node.rate_holder import RateHolder
from kumquathold_node.seeds import Seeds
from kumquathold_node.settings import Settings
from kumquathold_node.transport import AddressInUse, Transport

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
ADMIN_THREADS = 4
ANNOUNCE_THREADS = 4
SWITCH_SECONDS = 0.0002


def assemble(settings: Settings) -> Kernel:
    """Put the services of a node together; starts nothing."""
    kernel = Kernel()
    metrics = Metrics(settings.statsd)
    incarnation = start_incarnation()
    kernel.register('metrics', metrics)
    kernel.register('platform', Platform(settings.platform, metrics))
    kernel.register(
        'transport',
        Transport(
            settings.peer,
            incarnation,
            settings.fleet_secret,
            metrics,
            settings.dial,
        ),
    )
    FreshnessService(kernel, settings)
    Membership(kernel, _own_record(settings, incarnation))
    ConfigurationService(kernel)
    ConfigurationReader(kernel, settings)
    Exchanges(kernel)
    ClaimsService(kernel, settings)
    Owner(kernel)
    RateHolder(kernel, settings)
    RateElection(kernel, settings)
    RateDrawer(kernel, settings)
    Balancer(kernel, settings)
    Ingress(kernel)
    Door(kernel)
    Leaving(kernel, settings)
    return kernel


def run(settings: Settings) -> None:
    """Run a node until it has left the fleet."""
    kernel = assemble(settings)
    transport: Transport = kernel.find('transport')
    leaving: Leaving = kernel.find('leaving')
    seeds = Seeds(kernel, settings)
    callers.bridge_library_logs()
    with ExitStack() as stack:
        stack.enter_context(transport.listening())
        stack.enter_context(kernel.running())
        seeds.join()
        stack.enter_context(
            serving(
                make_announcement_app(kernel),
                settings.announce,
                ANNOUNCE_THREADS,
            ),
        )
        stack.enter_context(
            serving(
                make_administration_app(kernel, settings),
                settings.admin,
                ADMIN_THREADS,
            ),
        )
        stack.enter_context(
            serving(
                make_caller_app(kernel),
                settings.callers,
                settings.threads,
                lambda: leaving.door.is_leaving,
            ),
        )
        _leave_on_signals(leaving)
        logger.info('node started', zone=settings.zone, region=settings.region)
        _wait_interruptibly(leaving)


def _leave_on_signals(leaving: Leaving) -> None:
    def begin(*_: object) -> None:
        leaving.begin()

    signal.signal(signal.SIGTERM, begin)
    signal.signal(signal.SIGINT, begin)


def _wait_interruptibly(leaving: Leaving) -> None:
    """Leave on another thread, so that signals reach this one."""
    thread = threading.Thread(target=leaving.wait_and_leave, name='leaving')
    thread.start()
    thread.join()


def _own_record(settings: Settings, incarnation: int) -> NodeRecord:
    return NodeRecord(
        address=settings.peer,
        incarnation=incarnation,
        version=1,
        zone=settings.zone,
        region=settings.region,
        admin=settings.admin,
        leaving=False,
        upstreams=(),
        rate_groups=(),
    )


def _split(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(',') if part.strip())


@click.command(context_settings={'auto_envvar_prefix': 'KUMQUATHOLD'})
@click.option('--peer', required=True, help='Address for other nodes, IP:port.')
@click.option('--callers', 'callers_at', required=True, help="Callers' HTTP.")
@click.option('--admin', required=True, help='Administration API, IP:port.')
@click.option('--announce', required=True, help='Where upstreams announce.')
@click.option('--platform', required=True, help='Key-value service, IP:port.')
@click.option('--zone', required=True, help='Availability zone of this VM.')
@click.option('--region', required=True, help='Region of the zone.')
@click.option('--regions', required=True, help='All regions, with commas.')
@click.option('--store-region', required=True, help='Region of the platform.')
@click.option('--fleet-secret-file', required=True, help='Secret of the fleet.')
@click.option(
    '--operator-secret-file', required=True, help="Operators' secret."
)
@click.option('--join', default='', help='Peers to try, with commas.')
@click.option('--dial', default='', help='PEER=ADDRESS pairs, with commas.')
@click.option('--statsd', default='', help='StatsD server, IP:port.')
@click.option(
    '--threads',
    default=node_settings.DEFAULT_THREADS,
    help="Callers' requests at a time.",
)
@click.option(
    '--rate-groups',
    default=node_settings.DEFAULT_RATE_GROUPS,
    help='Equal on all nodes.',
)
@click.option(
    '--rate-term',
    default=node_settings.DEFAULT_RATE_TERM_SECONDS,
    help='Seconds; see the runbook.',
)
@click.option(
    '--quiet',
    default=node_settings.DEFAULT_QUIET_SECONDS,
    help='Seconds of quiet before leaving.',
)
@click.option('--log-level', default='INFO', type=click.Choice(logs.LEVELS))
def main(
    *,
    callers_at: str,
    regions: str,
    join: str,
    dial: str,
    statsd: str,
    fleet_secret_file: str,
    operator_secret_file: str,
    **given: object,
) -> None:
    """Run the process that stands beside the upstreams of one VM.

    Each flag can be given as an environment variable too, with the prefix
    KUMQUATHOLD_.
    """
    sys.setswitchinterval(SWITCH_SECONDS)
    try:
        settings = node_settings.check_settings(
            Settings(
                callers=callers_at,
                regions=_split(regions),
                join=_split(join),
                dial=node_settings.parse_dial(dial),
                statsd=node_settings.read_statsd(statsd),
                fleet_secret=node_settings.read_secret(
                    '--fleet-secret-file',
                    fleet_secret_file,
                ),
                operator_secret=node_settings.read_secret(
                    '--operator-secret-file',
                    operator_secret_file,
                ),
                **given,  # type: ignore[arg-type]
            ),
        )
    except* node_settings.SettingsError as errors:
        for error in node_settings.flatten(errors):
            click.echo(f'kumquathold-node: {error}', err=True)
        sys.exit(EXIT_SETTINGS)
    logs.set_up_logs(settings.log_level, settings.peer)
    try:
        run(settings)
    except AddressInUse as error:
        logger.error('address in use', address=str(error))
        sys.exit(EXIT_ADDRESS)


if __name__ == '__main__':
    main()
