"""What a deployment may replace: its platform, and the names on its wires."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kumquathold_core import rules_file
from kumquathold_core.rules import Rules
from kumquathold_node.announcements import make_announcement_app
from kumquathold_node.caller_server import WsgiApp
from kumquathold_node.configuration import ConfigurationReader
from kumquathold_node.dialect import CallerDialect, UpstreamDialect
from kumquathold_node.etcd_store import EtcdStore
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.store import KeyValueStore


class Adapter(msgspec.Struct, frozen=True):
    """The modules that stand between a node and its surroundings."""

    open_platform: Callable[[Settings, Metrics], KeyValueStore]
    """Makes the client of the platform's key-value service."""

    follow_configuration: Callable[[Kernel, Settings], None]
    """Registers the service that finds new configurations."""

    read_rules: Callable[[str], Rules]
    """Reads a configuration's text."""

    make_announcement_app: Callable[[Kernel], WsgiApp]
    """Makes the application to which upstreams announce themselves."""

    caller_dialect: CallerDialect
    """How callers speak."""

    upstream_dialect: UpstreamDialect
    """How upstreams speak."""


def default_adapter() -> Adapter:
    """The edges that the product documents as its own."""
    return Adapter(
        open_platform=_open_etcd,
        follow_configuration=_read_regularly,
        read_rules=rules_file.parse_rules,
        make_announcement_app=make_announcement_app,
        caller_dialect=CallerDialect(),
        upstream_dialect=UpstreamDialect(),
    )


def _open_etcd(settings: Settings, metrics: Metrics) -> KeyValueStore:
    return EtcdStore(settings.platform, metrics)


def _read_regularly(kernel: Kernel, settings: Settings) -> None:
    ConfigurationReader(kernel, settings)
