"""The capacity page agrees with the slopes that it cites."""

from __future__ import annotations

import unittest
from pathlib import Path

from kumquathold_standins import capacity
from kumquathold_standins.slopes import Slope

DOCS = Path(__file__).parent.parent / 'docs'


class CapacityTest(unittest.TestCase):
    """Arithmetic only: the slopes themselves are measured elsewhere."""

    def test_page_holds_the_table_worked_out_from_the_slopes(self) -> None:
        slopes = capacity.read_slopes(DOCS / 'slopes.json')
        table = capacity.make_table(capacity.compute_figures(slopes))
        page = (DOCS / 'CAPACITY.md').read_text(encoding='utf-8')
        self.assertIn(table, page)

    def test_slopes_are_the_lines_through_their_figures(self) -> None:
        slopes = capacity.read_slopes(DOCS / 'slopes.json')
        for group in slopes.values():
            for name, slope in group.items():
                if not isinstance(slope, dict):
                    continue
                fitted = Slope.from_figures(slope['sizes'], slope['figures'])
                self.assertGreaterEqual(len(slope['sizes']), 3)
                for size in slope['sizes']:
                    self.assertAlmostEqual(
                        fitted.fixed + fitted.per_unit * size,
                        capacity.evaluate_slope(slope, size),
                        delta=abs(fitted.fixed) / 50 + 0.01,
                        msg=name,
                    )
