"""Real membership nodes over an emulated network and table, in virtual time.

Emulated are links that can be cut or lose messages, a table that is unreachable for
some nodes, and processes that pause and restart.
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


class PendingMessage(NamedTuple):
    """A heartbeat or its answer, which a paused process receives on resumption.

    :param sender: name of the daemon that sent the heartbeat.
    :param member: the :class:`Member` that the heartbeat was sent to.
    :param sent_at: virtual time at which the heartbeat was sent, in seconds.
    :param message: the heartbeat or the answer.
    """

    sender: str
    member: Member
    sent_at: float
    message: object


class Process:
    """The process of a daemon; a restart replaces it.

    :ivar node: its :class:`MembershipNode`.
    :ivar heartbeat_due_at: time of the next heartbeat by name of the peer.
    :ivar inbox: messages that arrived while the process was paused.
    :ivar pending_acceptance: acceptance decided but not yet written, as
        ``(revision number, version of the row)``.
    """

    def __init__(self, name, run_number):
        self.name = name
        self.run_number = run_number
        member = Member(name, f"{name}-{run_number}", Role.CONTROLLER, "dc", name, name)
        self.node = MembershipNode(member, TIMES)
        self.is_paused = False
        self.heartbeat_due_at = {}
        self.poll_due_at = 0.0
        self.inbox = []
        self.pending_acceptance = None
        self.last_revision_number = 0


class MembershipFleet:
    """Daemon processes, the links between them, and the table.

    :param daemon_count: number of daemons.
    :param rng: :class:`random.Random` for message losses and delays.
    :param patch_node: function that disables a mechanism of a node, to show that the
        oracle detects this; ``None`` for none.
    """

    def __init__(self, daemon_count, rng, patch_node=None):
        self.rng = rng
        self.now = 100.0
        self._patch_node = patch_node
        self.names = [f"n{i}" for i in range(daemon_count)]
        self.processes = {name: self._start(name, 0) for name in self.names}
        self.cut_links = set()
        self.loss_rate = 0.0
        self.table_down = False
        self.without_table = set()
        self.head = Revision(0, {}, {}, 0)
        self.accepted_number = 0
        self.accepted_version = 0
        self.violations = []
        self.acceptance_count = 0

    def _start(self, name, run_number):
        process = Process(name, run_number)
        if self._patch_node is not None:
            self._patch_node(process.node)
        return process

    # Faults.

    def cut_link(self, a, b):
        """Cut the link between two daemons."""
        self.cut_links.add(frozenset((a, b)))

    def isolate(self, isolated):
        """Cut every link between the isolated daemons and the rest."""
        for a in isolated:
            for b in self.names:
                if b not in isolated:
                    self.cut_link(a, b)

    def heal(self):
        """Restore all links and the table, and resume all processes."""
        self.cut_links.clear()
        self.loss_rate = 0.0
        self.table_down = False
        self.without_table.clear()
        for name in self.names:
            self.resume(name)

    def pause(self, name):
        """Suspend a process."""
        self.processes[name].is_paused = True

    def resume(self, name):
        """Resume a process, which handles its pending messages at once."""
        process = self.processes[name]
        if not process.is_paused:
            return
        process.is_paused = False
        pending_messages, process.inbox = process.inbox, []
        for pending in pending_messages:
            self._handle_message(process, pending)

    def restart(self, name):
        """Kill a process and start a new one."""
        self.processes[name] = self._start(name, self.processes[name].run_number + 1)

    def edit(self, name):
        """Commit an edit through one daemon, if it reaches the table."""
        if self._can_reach_table(name) and not self.processes[name].is_paused:
            self._commit(self.head.members, is_configuration_edit=True)

    # Time.

    def advance(self, step_count):
        """Advance the time by a number of steps, with a check after each."""
        for _ in range(step_count):
            self.now += STEP_S
            shuffled_names = list(self.names)
            self.rng.shuffle(shuffled_names)
            for name in shuffled_names:
                if not self.processes[name].is_paused:
                    self._run_step(self.processes[name])
            self._record_violations()

    def _record_violations(self):
        """Record daemons that serve a revision older than the accepted one."""
        for name, process in self.processes.items():
            if process.is_paused:
                continue
            number = process.node.revision_number
            if number < process.last_revision_number:
                self.violations.append((self.now, name, "reverted", number))
            process.last_revision_number = number
            if process.node.may_serve(self.now) and number < self.accepted_number:
                self.violations.append(
                    (self.now, name, number, "accepted", self.accepted_number)
                )

    def serving(self):
        """Return the names of daemons that serve."""
        return [n for n, p in self.processes.items() if p.node.may_serve(self.now)]

    # Processes.

    def _run_step(self, process):
        node = process.node
        node.may_serve(self.now)
        if self.now >= process.poll_due_at:
            process.poll_due_at = self.now + TIMES.table_poll_s
            self._poll_table(process)
        for member in node.peers:
            if self.now >= process.heartbeat_due_at.get(member.name, 0.0):
                process.heartbeat_due_at[member.name] = self.now + TIMES.heartbeat_s
                self._send_heartbeat(process, member)
        self._advance_acceptance(process)
        self._evict(process)

    def _can_reach_table(self, name):
        return not self.table_down and name not in self.without_table

    def _poll_table(self, process):
        if not self._can_reach_table(process.name):
            return
        # The answer may arrive one step after the request was sent.
        sent_at = self.now - self.rng.choice((0.0, STEP_S))
        if self.head.number:
            process.node.handle_table_revision(self.head, sent_at, self.now)
        if not process.node.is_listed:
            member = process.node.member
            self._commit({**self.head.members, process.name: member})
            process.node.apply(self.head, self.now)

    def _commit(self, members, is_configuration_edit=False):
        revision = self.head.next(members, self.accepted_number)
        if is_configuration_edit:
            revision = revision._replace(
                configuration={"edit": revision.number},
                configuration_number=revision.number,
            )
        self.head = revision

    def _is_delivered(self, a, b):
        if frozenset((a, b)) in self.cut_links:
            return False
        return self.rng.random() >= self.loss_rate

    def _send_heartbeat(self, process, member):
        if not self._is_delivered(process.name, member.name):
            return
        heartbeat = process.node.build_heartbeat(member, self.now)
        pending = PendingMessage(process.name, member, self.now, heartbeat)
        receiver = self.processes[member.name]
        if receiver.is_paused:
            receiver.inbox.append(pending)
        else:
            self._handle_message(receiver, pending)

    def _handle_message(self, process, pending):
        """Handle a heartbeat, or the answer to a heartbeat of this process."""
        if pending.sender == process.name:
            is_late = self.now - pending.sent_at > TIMES.isolation_s / 2
            if not is_late and pending.member in process.node.peers:
                process.node.handle_heartbeat_answer(
                    pending.member, pending.message, pending.sent_at, self.now
                )
            return
        answer = process.node.answer(pending.message, self.now)
        reply = pending._replace(message=answer)
        sending_process = self.processes[pending.sender]
        if sending_process.is_paused:
            sending_process.inbox.append(reply)
        else:
            self._handle_message(sending_process, reply)

    def _advance_acceptance(self, process):
        """Decide on acceptance in one step and write it in a later one.

        Two daemons may therefore decide at the same time, and one write loses.
        """
        if process.pending_acceptance is not None:
            self._write_acceptance(process)
            return
        node = process.node
        if (
            not self._can_reach_table(process.name)
            or node.revision_number <= self.accepted_number
        ):
            return
        number = node.newest_accepted(self.accepted_number, self.now)
        if number > self.accepted_number:
            process.pending_acceptance = (number, self.accepted_version)

    def _write_acceptance(self, process):
        (number, version), process.pending_acceptance = process.pending_acceptance, None
        if not self._can_reach_table(process.name) or version != self.accepted_version:
            return
        self.accepted_number = number
        self.accepted_version += 1
        self.acceptance_count += 1

    def _evict(self, process):
        node = process.node
        if not self._can_reach_table(process.name) or not node.may_serve(self.now):
            return
        silent_names = node.silent_to_majority(self.now)
        remaining_members = {
            name: member
            for name, member in self.head.members.items()
            if name not in silent_names or node.revision.members.get(name) != member
        }
        if silent_names and len(remaining_members) < len(self.head.members):
            self._commit(remaining_members)
