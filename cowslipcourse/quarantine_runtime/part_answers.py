"""Exchange of answers to requests with suspected parts of prompts.

One evaluator asks all daemons for answers to requests with the parts that it suspects.
Daemons that know of one, or get one soon, tell the evaluators.
"""

import asyncio

from cowslipcourse.peer_protocol import PartAnswers, PartInquiry
from cowslipcourse.quarantine import PartAnswer
from cowslipcourse.quarantine.part_evidence import LatestTimes
from cowslipcourse.quarantine.verdicts import MAX_PARTS
from cowslipcourse.quarantine_runtime.crash_reporting import service_evaluators

__all__ = ["PartAnswerExchange"]

WATCHING_S = 10.0
"""Time after an inquiry for which daemons tell of new answers."""
INQUIRY_INTERVALS_S = (0.4, 4.0)
"""Times from the first and the second inquiry about a part to the next one: a datagram
may be lost. Later ones follow at the second interval."""
DELAY_PER_RANK_S = 0.15
"""Additional delay for each evaluator of higher rank, which only asks if it sees no
inquiry of theirs."""
REPLY_WAIT_S = 0.1
"""Time from the first inquiry until replies have arrived."""
ANSWER_INTERVAL_S = 1.0
MAX_ANSWER_INTERVAL_S = 4.0
"""Bounds of the least interval between two messages of a daemon on new answers to one
part."""
ANSWER_INTERVAL_PER_DAEMON_S = 0.03
"""The interval for each daemon: others tell of answers to a part in use everywhere,
too."""
REPLY_INTERVAL_S = 0.3
"""Least interval between two replies of a daemon to inquiries about one part."""
MAX_ANSWER_AGE_S = 3_600.0


class _Inquiries:
    """Times of the inquiries about a part."""

    def __init__(self, now):
        self.first_at = now
        self.last_at = now
        self.count = 1

    def add(self, now):
        self.last_at = now
        self.count += 1

    @property
    def next_at(self):
        place = min(self.count, len(INQUIRY_INTERVALS_S)) - 1
        return self.last_at + INQUIRY_INTERVALS_S[place]


class PartAnswerExchange:
    """Answers that this daemon and others know of.

    :param peers:
        :class:`~cowslipcourse.quarantine_runtime.crash_reporting.QuarantinePeers`
    :param on_answer: called with a part and the loop time at which an answer was begun,
        for each that this daemon learns of.
    """

    def __init__(self, peers, on_answer):
        self._peers = peers
        self._on_answer = on_answer
        self._own = LatestTimes()
        self._known = LatestTimes()
        self._inquiries = {}
        self._watched_until = {}
        self._sent_at = {}
        self._due = set()

    def answered_at(self, part):
        """Return when the last answer with a part was begun, or ``-inf``."""
        return self._known.get(part)

    def is_asked(self, part):
        """Whether the daemons were asked for answers, and had time to reply."""
        inquiries = self._inquiries.get(part)
        return inquiries is not None and _now() - inquiries.first_at >= REPLY_WAIT_S

    def is_watched(self, part):
        """Whether an evaluator has asked for answers with a part a short while ago."""
        return self._watched_until.get(part, 0.0) > _now()

    def record_own(self, part, begun_at):
        """Record an answer that this daemon has relayed, and tell the evaluators.

        :param begun_at: loop time at which the target began to answer.
        """
        self._own.record(part, begun_at)
        self._learn(part, begun_at)
        if self.is_watched(part):
            self._send(part, is_reply=False)

    def _learn(self, part, begun_at):
        self._known.record(part, begun_at)
        self._on_answer(part, begun_at)

    def tell(self, part):
        """Tell the evaluators of the last answer, even if they have not asked."""
        self._send(part, is_reply=False)

    @property
    def _answer_interval_s(self):
        daemon_count = len(self._peers.all_addresses()) + 1
        interval_s = daemon_count * ANSWER_INTERVAL_PER_DAEMON_S
        return min(max(ANSWER_INTERVAL_S, interval_s), MAX_ANSWER_INTERVAL_S)

    def forget_before(self, part, at):
        """Take a part for answered at a time, as its quarantine was lifted then."""
        self._known.record(part, at)

    def handle_answers(self, message):
        """Learn of the answers that another daemon tells of.

        :param message: :class:`~cowslipcourse.peer_protocol.PartAnswers`
        """
        now = _now()
        for answer in message.answers:
            self._learn(answer.part, now - answer.age_s)

    def handle_inquiry(self, parts):
        """Reply to an inquiry, and tell of new answers from now on."""
        now = _now()
        self._expire(now)
        for part in parts:
            if part in self._inquiries:
                self._inquiries[part].add(now)
            else:
                self._inquiries[part] = _Inquiries(now)
            self._watched_until[part] = now + WATCHING_S
            if now - self._own.get(part) < MAX_ANSWER_AGE_S:
                self._send(part, is_reply=True)

    def _expire(self, now):
        for part, until in list(self._watched_until.items()):
            if until <= now:
                del self._watched_until[part]
                self._inquiries.pop(part, None)
                for is_reply in (False, True):
                    self._sent_at.pop((part, is_reply), None)

    def _send(self, part, is_reply):
        """Tell the evaluators when the last answer of this daemon was begun.

        :param is_reply: whether it replies to an inquiry; messages of either reason
            have an interval of their own.
        """
        now = _now()
        interval_s = REPLY_INTERVAL_S if is_reply else self._answer_interval_s
        key = part, is_reply
        wait_s = self._sent_at.get(key, float("-inf")) + interval_s - now
        if wait_s > 0:
            self._send_later(key, wait_s)
            return
        self._sent_at[key] = now
        answer = PartAnswer(part, max(0.0, now - self._own.get(part)))
        addresses = service_evaluators(self._peers, part)
        self._peers.send(
            PartAnswers((answer,)),
            [address for address in addresses if address != self._peers.address],
        )

    def _send_later(self, key, wait_s):
        if key not in self._due:
            self._due.add(key)
            loop = asyncio.get_running_loop()
            loop.call_later(wait_s, self._send_due, key)

    def _send_due(self, key):
        self._due.discard(key)
        self._send(*key)

    def inquire(self, suspected_since):
        """Ask all daemons about suspected parts, unless another evaluator does.

        :param suspected_since: loop times by part.
        """
        due = [
            part for part, since in suspected_since.items() if self._asks(part, since)
        ]
        for first in range(0, len(due), MAX_PARTS):
            parts = tuple(due[first : first + MAX_PARTS])
            self._peers.broadcast(PartInquiry(parts))
            self.handle_inquiry(parts)

    def _asks(self, part, suspected_since):
        """Whether it is this daemon's turn to ask about a part."""
        ranked = service_evaluators(self._peers, part)
        if self._peers.address not in ranked:
            return False
        inquiries = self._inquiries.get(part)
        due_at = suspected_since if inquiries is None else inquiries.next_at
        return _now() - due_at >= ranked.index(self._peers.address) * DELAY_PER_RANK_S


def _now():
    return asyncio.get_running_loop().time()
