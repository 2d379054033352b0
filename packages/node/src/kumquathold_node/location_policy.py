"""Decides whether the upstreams beside this node may serve a request.

Ingresses choose by the same rules, but may know less than the owner: the rules
of a request that waits here may have changed since it was sent.
"""

from __future__ import annotations

from kumquathold_core.forwarding import ForwardRequest, Refusal
from kumquathold_core.permitted_regions import (
    PermittedRegions,
    find_permitted_regions,
    is_permitted,
)
from kumquathold_node.configuration import Configuration, ConfigurationService
from kumquathold_node.kernel import Kernel
from kumquathold_node.settings import Settings
from kumquathold_node.zone_evacuations import ZoneEvacuations


def find_current_regions(
    current: Configuration, route: str, workspace: str
) -> PermittedRegions:
    """Return where the rules in force permit a request, given by names.

    A route or workspace that is no longer in force restricts nothing.
    """
    return find_permitted_regions(
        current.routes.by_name.get(route),
        current.rules.workspaces.get(workspace),
    )


class LocationPolicy:
    """Where this node lies, and what may be served there."""

    __slots__ = ('configuration', 'evacuations', 'region', 'zone')

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses."""
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.evacuations: ZoneEvacuations = kernel.find('zone-evacuations')
        self.zone = settings.zone
        self.region = settings.region

    def is_evacuated(self) -> bool:
        """Whether the zone of this node is evacuated."""
        return self.zone in self.evacuations.find_zones()

    def find_refusal(self, message: ForwardRequest) -> Refusal | None:
        """Return why a request may not run here, `None` if it may."""
        if self.is_evacuated():
            return Refusal.zone_evacuated
        if not self._is_region_permitted(message):
            return Refusal.region_not_permitted
        return None

    def _is_region_permitted(self, message: ForwardRequest) -> bool:
        current = self.configuration.current
        if current.version < message.config_version:
            return True
        permitted = find_current_regions(
            current, message.route, message.workspace
        )
        return is_permitted(self.region, permitted)
