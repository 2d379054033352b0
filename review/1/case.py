"""A server that has left is used again after all processes were killed.

The server deregisters and gets its acknowledgement. All nodes are killed and
started again. Then a heartbeat arrives that the server had sent before it left.
Requests that are sent afterwards by machines in touch reach the server, and
those that it still runs as it exits are lost.
"""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as fleets  # noqa: E402

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
LOSS_SLACK_SECONDS = 0.2
DOWN_SECONDS = 1.0
BEAT_DELAY_SECONDS = 5.0
"""Delay of the late heartbeat; the pages say that it may be seconds."""

STAY_SECONDS = 10.0
"""Time for which the server still serves after its acknowledgement."""

WORK_SECONDS = 0.3
ZONES = {'ub-a': 'ulaanbaatar', 'dk-a': 'darkhan', 'er-a': 'erdenet'}


class WorkingTarget(fleets.Target):
    """A server whose requests take some time, and which may exit meanwhile."""

    has_exited = False

    def exit(self) -> None:
        """Close the port and all channels, as the end of the process does."""
        self.record.write(f'exit     {self.name}')
        self.has_exited = True
        self.server.shutdown()
        self.server.server_close()

    def answer(self, call, own, body) -> None:
        time.sleep(WORK_SECONDS)
        if self.has_exited:
            call.close_connection = True
            return
        super().answer(call, own, body)


def case(fleet: fleets.Fleet) -> bool:
    nodes = [fleet.add_node(zone) for zone in ZONES]
    route = fleets.make_route('hold', '/hold/', routeType='unsafe')
    fleet.store.put_configuration(fleets.make_configuration(7, [route]))
    for node in nodes:
        node.start()
    targets = [
        WorkingTarget(node.ip, node.control, fleet.record, zone=node.zone)
        for node in nodes
    ]
    fleet.wait_until(lambda: all(one.is_ready() for one in nodes), 'ready')
    fleet.wait_until(
        lambda: all(
            fleet.send(node, 'POST', '/hold/x', body=b'x').status == 200
            for node in nodes
        ),
        'answers',
    )
    time.sleep(CONTACT_SECONDS)
    return _leave(fleet, nodes, targets[0])


def _leave(fleet, nodes, leaving) -> bool:
    leaving.is_beating = False
    late_beat = leaving.make_beat()
    status = leaving.post('deregister', {'born': leaving.born})
    acknowledged_at = time.monotonic()
    fleet.record.write(f'ack      deregister of {leaving.name}: {status}')
    if status != 200:
        raise fleets.CannotRun('deregistration not acknowledged')
    time.sleep(0.5)
    if fleets.TROUBLE:
        for node in nodes:
            node.kill()
        time.sleep(DOWN_SECONDS)
        for node in nodes:
            node.start()
        fleet.wait_until(lambda: all(one.is_ready() for one in nodes), 'ready')
    started_at = time.monotonic()
    _sleep_until(acknowledged_at + BEAT_DELAY_SECONDS)
    status = leaving.post('heartbeat', late_beat)
    fleet.record.write(
        f'late     heartbeat {late_beat["status"]} of {leaving.name}: {status}'
    )
    _sleep_until(started_at + CONTACT_SECONDS)
    first_sent_at = time.monotonic()
    exit_at = acknowledged_at + STAY_SECONDS
    timer = threading.Timer(exit_at - first_sent_at, leaving.exit)
    timer.start()
    lost = _send_requests(fleet, nodes, exit_at + 1.0)
    fleet.record.write(f'judged   {lost} accepted requests were lost')
    with leaving.lock:
        late = [one for one in leaving.runs if one[0] >= first_sent_at]
    for at, request_id, _ in late:
        fleet.record.write(
            f'DRAIN    {request_id} reached {leaving.name} '
            f'{at - acknowledged_at:.2f} s after the acknowledgement'
        )
    bound = acknowledged_at + DRAIN_SECONDS + LOSS_SLACK_SECONDS
    return any(at > bound for at, _, _ in late)


def _send_requests(fleet, nodes, end_at: float) -> int:
    """Send requests to all nodes; return how many failed after they ran."""
    threads = []
    answers = []

    def send(node) -> None:
        answers.append(fleet.send(node, 'POST', '/hold/late', body=b'x'))

    while time.monotonic() < end_at:
        for node in nodes:
            one = threading.Thread(target=send, args=(node,))
            one.start()
            threads.append(one)
        time.sleep(0.2)
    for one in threads:
        one.join()
    return sum(one.status in (0, 502, 504) for one in answers)


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


fleets.play(case, str(FOLDER), ZONES)
