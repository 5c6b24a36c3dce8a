"""Members of the system, and the rules for serving and for accepting revisions."""

from cowslipcourse.membership.acceptance import AcceptanceRule
from cowslipcourse.membership.contacts import Contact, Contacts
from cowslipcourse.membership.members import Member, MemberList, Revision, Role
from cowslipcourse.membership.messages import Heartbeat, HeartbeatAnswer
from cowslipcourse.membership.node import MembershipNode
from cowslipcourse.membership.records import Record, RecordStore
from cowslipcourse.membership.serving import MembershipTimes, ServingRule

__all__ = [
    "AcceptanceRule",
    "Contact",
    "Contacts",
    "Heartbeat",
    "HeartbeatAnswer",
    "Member",
    "MemberList",
    "MembershipNode",
    "MembershipTimes",
    "Record",
    "RecordStore",
    "Revision",
    "Role",
    "ServingRule",
]
