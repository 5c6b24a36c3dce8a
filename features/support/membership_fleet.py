"""Many membership nodes over an emulated network and table, in fake time.

The nodes are the real ones. Only what carries their messages is emulated: links that
can be cut or lose messages, a table that nodes may or may not reach, processes that
pause and restart.
"""

from typing import NamedTuple

from cowslipcourse.membership import (
    Member,
    MembershipNode,
    MembershipTimes,
    Revision,
    Role,
)

STEP_S = 0.25
TIMES = MembershipTimes(
    heartbeat_s=0.5, isolation_s=4.0, eviction_s=6.0, table_poll_s=1.0
)


class Pending(NamedTuple):
    """A heartbeat under way to a paused process, or its answer to one."""

    asker: str
    member: Member
    sent_at: float
    message: object


class Process:
    """One daemon's process.

    :ivar node: its :class:`MembershipNode`, replaced by a restart.
    :ivar accepting: acceptance judged but not yet written, as
        ``(revision number, version of the row)``.
    """

    def __init__(self, name, run):
        self.name = name
        self.run = run
        member = Member(name, f"{name}-{run}", Role.CONTROLLER, "dc", name, name)
        self.node = MembershipNode(member, TIMES)
        self.paused = False
        self.due = {}
        self.poll_due = 0.0
        self.inbox = []
        self.accepting = None
        self.highest = 0


class Fleet:
    """Processes, links and the table.

    :param size: number of daemons.
    :param rng: :class:`random.Random` for losses and jitter.
    :param node_type: what to run; a variant with a mechanism switched off shows that
        the check can fail.
    """

    def __init__(self, size, rng, adjust=None):
        self.rng = rng
        self.now = 100.0
        self._adjust = adjust
        self.names = [f"n{i}" for i in range(size)]
        self.processes = {name: self._start(name, 0) for name in self.names}
        self.cut = set()
        self.loss = 0.0
        self.table_down = False
        self.no_table = set()
        self.head = Revision(0, {}, {}, 0)
        self.accepted = 0
        self.accepted_version = 0
        self.violations = []
        self.accepted_count = 0

    def _start(self, name, run):
        process = Process(name, run)
        if self._adjust is not None:
            self._adjust(process.node)
        return process

    # Faults.

    def cut_link(self, a, b):
        """Cut the link between two daemons."""
        self.cut.add(frozenset((a, b)))

    def split(self, side):
        """Cut every link between one side and the rest."""
        for a in side:
            for b in self.names:
                if b not in side:
                    self.cut_link(a, b)

    def heal(self):
        """Mend every link, the table, and wake everybody."""
        self.cut.clear()
        self.loss = 0.0
        self.table_down = False
        self.no_table.clear()
        for name in self.names:
            self.wake(name)

    def pause(self, name):
        """Stop a process without its knowing."""
        self.processes[name].paused = True

    def wake(self, name):
        """Let a process go on; what waited for it comes in at once."""
        process = self.processes[name]
        if not process.paused:
            return
        process.paused = False
        waiting, process.inbox = process.inbox, []
        for pending in waiting:
            self._arrive(process, pending)

    def restart(self, name):
        """Kill a process and start it anew."""
        self.processes[name] = self._start(name, self.processes[name].run + 1)

    def edit(self, name):
        """Commit an edit through one daemon, if it reaches the table."""
        if self._reaches_table(name) and not self.processes[name].paused:
            self._commit(self.head.members, configuration=True)

    # Time.

    def advance(self, steps):
        """Let time pass and check after every step."""
        for _ in range(steps):
            self.now += STEP_S
            order = list(self.names)
            self.rng.shuffle(order)
            for name in order:
                if not self.processes[name].paused:
                    self._work(self.processes[name])
            self.check()

    def check(self):
        """Note daemons that serve an older revision than the accepted one."""
        for name, process in self.processes.items():
            if process.paused:
                continue
            number = process.node.revision_number
            if number < process.highest:
                self.violations.append((self.now, name, "went back", number))
            process.highest = number
            if process.node.may_serve(self.now) and number < self.accepted:
                self.violations.append(
                    (self.now, name, number, "accepted", self.accepted)
                )

    def serving(self):
        """Return the names of daemons that serve."""
        return [n for n, p in self.processes.items() if p.node.may_serve(self.now)]

    # What each process does.

    def _work(self, process):
        node = process.node
        node.may_serve(self.now)
        if self.now >= process.poll_due:
            process.poll_due = self.now + TIMES.table_poll_s
            self._poll(process)
        for member in node.peers:
            if self.now >= process.due.get(member.name, 0.0):
                process.due[member.name] = self.now + TIMES.heartbeat_s
                self._send(process, member)
        self._accept(process)
        self._evict(process)

    def _reaches_table(self, name):
        return not self.table_down and name not in self.no_table

    def _poll(self, process):
        if not self._reaches_table(process.name):
            return
        # The answer comes a little later than it was sent.
        sent_at = self.now - self.rng.choice((0.0, STEP_S))
        if self.head.number:
            process.node.handle_table_revision(self.head, sent_at, self.now)
        if not process.node.is_listed:
            member = process.node.member
            self._commit({**self.head.members, process.name: member})
            process.node.apply(self.head, self.now)

    def _commit(self, members, configuration=False):
        revision = self.head.next(members, self.accepted)
        if configuration:
            revision = revision._replace(
                configuration={"edit": revision.number},
                configuration_number=revision.number,
            )
        self.head = revision

    def _linked(self, a, b):
        if frozenset((a, b)) in self.cut:
            return False
        return self.rng.random() >= self.loss

    def _send(self, process, member):
        if not self._linked(process.name, member.name):
            return
        heartbeat = process.node.build_heartbeat(member, self.now)
        pending = Pending(process.name, member, self.now, heartbeat)
        target = self.processes[member.name]
        if target.paused:
            target.inbox.append(pending)
        else:
            self._arrive(target, pending)

    def _arrive(self, process, pending):
        """Take in a heartbeat, or the answer to one's own."""
        if pending.asker == process.name:
            late = self.now - pending.sent_at > TIMES.isolation_s / 2
            if not late and pending.member in process.node.peers:
                process.node.handle_heartbeat_answer(
                    pending.member, pending.message, pending.sent_at, self.now
                )
            return
        answer = process.node.answer(pending.message, self.now)
        reply = pending._replace(message=answer)
        asker = self.processes[pending.asker]
        if asker.paused:
            asker.inbox.append(reply)
        else:
            self._arrive(asker, reply)

    def _accept(self, process):
        """Judge in one step and write in a later one, as two processes race."""
        if process.accepting is not None:
            self._write_accepted(process)
            return
        node = process.node
        if (
            not self._reaches_table(process.name)
            or node.revision_number <= self.accepted
        ):
            return
        number = node.newest_accepted(self.accepted, self.now)
        if number > self.accepted:
            process.accepting = (number, self.accepted_version)

    def _write_accepted(self, process):
        (number, version), process.accepting = process.accepting, None
        if not self._reaches_table(process.name) or version != self.accepted_version:
            return
        self.accepted = number
        self.accepted_version += 1
        self.accepted_count += 1

    def _evict(self, process):
        node = process.node
        if not self._reaches_table(process.name) or not node.may_serve(self.now):
            return
        gone = node.silent_to_majority(self.now)
        kept = {
            name: member
            for name, member in self.head.members.items()
            if name not in gone or node.revision.members.get(name) != member
        }
        if gone and len(kept) < len(self.head.members):
            self._commit(kept)
