"""Decisions on writes of claims, and the memory of recent ones."""

from __future__ import annotations

import unittest

import msgspec

from kumquathold_core.claims import Claim, ClaimState, StoredResponse
from kumquathold_node import recent_claims
from kumquathold_node.claim_writes import (
    PendingWrite,
    WriteState,
    judge_write,
)
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.recent_claims import RecentClaims
from kumquathold_node.store import ABSENT, Revision, StoredValue
from tests.test_jobs import WORK

BEFORE = Revision(0, 90)
"""Revision of the claim in the history that is gone."""

AFTER = Revision(1, 40)
"""Revision of the store after the restore."""

CLAIM = Claim(
    state=ClaimState.claimed,
    claim_id='own',
    fingerprint='f',
    owner='10.0.0.1:1',
    incarnation=1,
    upstream='u',
    claimed_at='',
)


def make_write(
    key: str = 'k',
    state: ClaimState = ClaimState.answered,
    expected: Revision = BEFORE,
    body: bytes = b'done',
) -> PendingWrite:
    """Make the write of a claim in this state."""
    answer = StoredResponse(200, (), body)
    return PendingWrite(
        request=OwnerRequest(WORK, '10.0.0.9:1', queued_at=0.0, body=b'large'),
        key=key,
        claim=msgspec.structs.replace(CLAIM, state=state, answer=answer),
        expected_revision=expected,
    )


def make_stored(
    claim_id: str = 'own',
    state: ClaimState = ClaimState.claimed,
    revision: Revision = AFTER,
) -> StoredValue:
    """Make a claim as the store holds it."""
    claim = msgspec.structs.replace(CLAIM, claim_id=claim_id, state=state)
    return StoredValue('k', msgspec.json.encode(claim), revision)


class JudgeWriteTest(unittest.TestCase):
    """What the store shows of a write."""

    def assert_judged(
        self,
        state: WriteState,
        pending: PendingWrite,
        stored: StoredValue | None,
        read_at: Revision = AFTER,
    ) -> None:
        self.assertEqual(judge_write(pending, stored, read_at), state)

    def test_write_that_is_there_is_applied(self) -> None:
        stored = make_stored(state=ClaimState.answered)
        self.assert_judged(WriteState.applied, make_write(), stored)

    def test_lost_claim_is_written_on_an_absent_key(self) -> None:
        pending = make_write()
        self.assert_judged(WriteState.open, pending, None)
        self.assertEqual(pending.expected_revision, ABSENT)

    def test_outcome_is_based_on_the_claim_that_is_left(self) -> None:
        pending = make_write()
        self.assert_judged(WriteState.open, pending, make_stored())
        self.assertEqual(pending.expected_revision, AFTER)

    def test_claim_of_another_writer_is_kept(self) -> None:
        other = make_stored(claim_id='other')
        self.assert_judged(WriteState.superseded, make_write(), other)

    def test_claim_that_an_operator_settled_is_kept(self) -> None:
        settled = make_stored(state=ClaimState.settled_ran)
        self.assert_judged(WriteState.superseded, make_write(), settled)

    def test_missing_claim_of_the_same_era_is_not_written_anew(self) -> None:
        later = Revision(0, 95)
        self.assert_judged(WriteState.superseded, make_write(), None, later)

    def test_read_from_before_the_claim_says_nothing(self) -> None:
        earlier = Revision(0, 80)
        self.assert_judged(WriteState.open, make_write(), None, earlier)

    def test_claim_that_was_deleted_and_came_back_is_deleted(self) -> None:
        pending = make_write(state=ClaimState.unknown)
        pending.is_delete = True
        self.assert_judged(WriteState.open, pending, make_stored())
        self.assertEqual(pending.expected_revision, AFTER)
        self.assert_judged(WriteState.applied, pending, None)

    def test_new_claim_waits_for_nobody(self) -> None:
        pending = make_write(state=ClaimState.claimed, expected=ABSENT)
        self.assert_judged(WriteState.open, pending, None)
        other = make_stored(claim_id='other')
        self.assert_judged(WriteState.superseded, pending, other)


class RecentClaimsTest(unittest.TestCase):
    """Which claims are written again, and what is kept of them."""

    def setUp(self) -> None:
        self.recent = RecentClaims()

    def list_keys(self, now: float) -> list[str]:
        """Return the keys that would be written again."""
        return [one.key for one in self.recent.make_rewrites(now)]

    def test_latest_claims_are_written_first(self) -> None:
        for number, key in enumerate(('a', 'b', 'c', 'a')):
            self.recent.record(make_write(key), float(number))
        self.assertEqual(self.list_keys(4.0), ['a', 'c', 'b'])
        self.assertEqual(self.recent.find_latest(4.0), 'a')

    def test_old_claims_are_forgotten(self) -> None:
        self.recent.record(make_write('a'), 0.0)
        self.recent.record(make_write('b'), 1.0)
        past = recent_claims.RECENT_SECONDS + 0.5
        self.assertEqual(self.list_keys(past), ['b'])
        self.assertEqual(self.list_keys(past + 1), [])
        self.assertIsNone(self.recent.find_latest(past + 1))

    def test_number_of_claims_is_bounded(self) -> None:
        most = recent_claims.MAX_RECENT_CLAIMS
        for number in range(most + 5):
            self.recent.record(make_write(str(number)), 0.0)
        self.assertEqual(len(self.list_keys(0.0)), most)
        self.assertEqual(self.list_keys(0.0)[-1], '5')

    def test_bodies_are_not_kept(self) -> None:
        large = b'x' * (recent_claims.MAX_KEPT_BODY_BYTES + 1)
        self.recent.record(make_write(body=large), 0.0)
        (rewrite,) = self.recent.make_rewrites(0.0)
        assert rewrite.claim.answer is not None
        self.assertIsNone(rewrite.claim.answer.body)
        self.assertEqual(rewrite.request.body, b'')

    def test_rewrite_is_outdated_by_a_later_write(self) -> None:
        self.recent.record(make_write(state=ClaimState.claimed), 0.0)
        (rewrite,) = self.recent.make_rewrites(0.0)
        self.assertTrue(self.recent.is_due(rewrite, 0.0))
        self.recent.record(make_write(state=ClaimState.answered), 1.0)
        self.assertFalse(self.recent.is_due(rewrite, 1.0))


if __name__ == '__main__':
    unittest.main()
