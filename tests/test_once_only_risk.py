"""Which upstreams get requests that cannot be repeated."""

from __future__ import annotations

import unittest

from kumquathold_core import failure_risk
from kumquathold_core.failure_risk import FailureRiskEstimator
from kumquathold_node.selections import SelectionRequest
from tests.test_permitted_regions import SERVICE, BalancerStage, make_rules

NOW = 100.0
FIRST_TRIAL_SECONDS = 2.0
"""Time after a failure by which an idempotent request has been tried."""


class OnceOnlyRiskTest(unittest.TestCase):
    """A request that fails is lost if it cannot be repeated."""

    def find_max_risk(self, *, idempotent: bool) -> float:
        """Return the risk above which the owner returns a request."""
        stage = BalancerStage(make_rules())
        request = SelectionRequest(
            service=SERVICE,
            route='r',
            idempotent=idempotent,
            caller_id='c',
            objective=1.0,
        )
        selection = stage.balancer.choose(request)
        assert selection is not None
        return selection.max_risk

    def test_repeatable_requests_find_out_whether_a_gray_period_is_over(
        self,
    ) -> None:
        """Those that cannot be repeated paid for the discovery otherwise."""
        estimator = FailureRiskEstimator()
        estimator.record_outcome(NOW, failed=True)
        risk = estimator.estimate_risk(NOW + FIRST_TRIAL_SECONDS)
        self.assertLess(risk, self.find_max_risk(idempotent=True))
        self.assertGreater(risk, self.find_max_risk(idempotent=False))

    def test_upstream_without_outcomes_gets_both(self) -> None:
        """A new one would otherwise wait for a request that can be repeated."""
        unknown = failure_risk.risk_of(failure_risk.GRAY_SHARE)
        self.assertLess(unknown, self.find_max_risk(idempotent=False))
