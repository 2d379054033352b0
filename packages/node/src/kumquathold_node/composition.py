"""Composition root: creates and registers the services of a node."""

from __future__ import annotations

from kumquathold_core.identity import NodeRecord
from kumquathold_node.adapter import Adapter
from kumquathold_node.balancer import Balancer
from kumquathold_node.body_memory import BodyMemory
from kumquathold_node.caller_server import RequestGate
from kumquathold_node.claims_service import ClaimsService
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.departure_records import DepartureRecords
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.ingress import Ingress
from kumquathold_node.kernel import Kernel
from kumquathold_node.load_exchange import LoadExchange
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner import Owner
from kumquathold_node.owner_requests import CallFailures
from kumquathold_node.pending_requests import PendingRequests
from kumquathold_node.process_clock import start_incarnation
from kumquathold_node.rate_client import RateClient
from kumquathold_node.rate_election import RateElection
from kumquathold_node.rate_holder import RateHolder
from kumquathold_node.settings import Settings
from kumquathold_node.shutdown import GracefulShutdown
from kumquathold_node.transport import Transport
from kumquathold_node.zone_evacuations import ZoneEvacuations

BYTES_PER_MEGABYTE = 1_000_000


def assemble(settings: Settings, adapter: Adapter) -> Kernel:
    """Create the services of a node without starting their threads.

    The order matters: a service finds those it needs when it is created.
    """
    kernel = Kernel()
    metrics = Metrics(settings.statsd)
    incarnation = start_incarnation()
    kernel.register('metrics', metrics)
    kernel.register(
        'body-memory', BodyMemory(settings.body_memory * BYTES_PER_MEGABYTE)
    )
    kernel.register('store', adapter.open_store(settings, metrics))
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
    _add_fleet_services(kernel, settings, adapter, incarnation)
    _add_request_services(kernel, settings, adapter)
    GracefulShutdown(kernel, settings)
    return kernel


def _add_fleet_services(
    kernel: Kernel,
    settings: Settings,
    adapter: Adapter,
    incarnation: int,
) -> None:
    """Add membership and the distribution of the configuration."""
    FreshnessService(kernel, settings)
    ZoneEvacuations(kernel)
    LoadExchange(kernel, settings)
    Membership(kernel, _make_own_record(settings, incarnation), settings)
    ConfigurationService(kernel, adapter.read_rules)
    adapter.add_configuration_source(kernel, settings)


def _add_request_services(
    kernel: Kernel, settings: Settings, adapter: Adapter
) -> None:
    """Add the services that forward requests, and those for rate limits."""
    RequestGate(kernel)
    kernel.register('call-failures', CallFailures())
    PendingRequests(kernel)
    ClaimsService(kernel, settings)
    DepartureRecords(kernel, settings)
    Owner(kernel, adapter.upstream_dialect, settings)
    RateHolder(kernel, settings)
    RateElection(kernel, settings)
    RateClient(kernel, settings)
    Balancer(kernel, settings)
    Ingress(kernel, settings, adapter.upstream_dialect)


def _make_own_record(settings: Settings, incarnation: int) -> NodeRecord:
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
