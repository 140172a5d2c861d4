"""The table of members and the rules by which records merge.

The rules depend on neither time nor chance; `heronwinch check view` explores all their interleavings.

Only a member itself raises its incarnation, so of two records the one with the higher incarnation is newer.
Within one incarnation a suspicion overrides the member's own record, and a death overrides the suspicion.
After SWIM (Das 2002); docs/design/view.md lists the differences.
"""

from hashlib import blake2b

import msgspec

from heronwinch.fleet.messages import GONE, INCARNATION_LIMIT, LEAVING, MAX_MEMBERS, MemberRecord

STATE_PRECEDENCE = (0, 0, 0, 1, 2, 3)  # by state; orders records of one incarnation


def compute_precedence(record):
    """Sort key of a member's records: the record with the greater one is newer. A total order."""
    return record.inc, record.life, STATE_PRECEDENCE[record.state]


def hash_record(record):
    """Hashes what the digest covers of a present member: its name, its life, and whether it is leaving.

    A suspicion is left out because it is only a doubt, and so is the incarnation that refutes it.
    """
    text = f"{record.name}\0{record.life}\0{record.state == LEAVING}".encode()
    return int.from_bytes(blake2b(text, digest_size=7).digest(), "big")


def _format_life(life):
    return f"{life:x}"


class MembershipTable:
    """The record of each known member. A member is present until it is declared gone or has left."""

    def __init__(self, own_record: MemberRecord):
        self.own_record = own_record
        self.records = {own_record.name: own_record}
        self.digest = hash_record(own_record)  # XOR over all present members: equal for equal views
        self.present_count = 1  # includes this member
        self.has_yielded_name = False  # another process holds this member's name
        self.refused_count = 0  # records dropped because the table was full

    def merge(self, record):
        """Merges a received record. Returns the record to gossip: the merged one, an own record that refutes
        it, or None if it was not newer."""
        if record.name == self.own_record.name:
            return self._merge_own_record(record)
        known = self.records.get(record.name)
        if known is not None and compute_precedence(record) <= compute_precedence(known):
            return None
        if known is None and len(self.records) >= MAX_MEMBERS:
            self.refused_count += 1
            return None
        if not record.host and known is not None:
            record = msgspec.structs.replace(record, host=known.host, area=known.area)
        self._store_record(record)
        return record

    def _merge_own_record(self, record):
        """Merges a record about this member: a live member refutes what others say of it, unless another
        process holds its name."""
        stored = self.records[self.own_record.name]
        if compute_precedence(record) <= compute_precedence(stored):
            return None
        if self.has_yielded_name:
            if record.state < GONE:
                self._store_record(record)
                return record
            self.has_yielded_name = False  # the process that held the name is gone
        elif record.life != self.own_record.life and record.state < GONE:
            # Only a live process can have seen this life and exceeded its incarnation, so `by` proves that
            # the rival lives. Counting how often the rival is ahead is no proof: the old records of a dead
            # life arrive one by one, and the name was given up to it.
            if record.by == _format_life(self.own_record.life) and record.life > self.own_record.life:
                self.has_yielded_name = True
                self._store_record(record)
                return record
            self.own_record = msgspec.structs.replace(self.own_record, by=_format_life(record.life))
        return self.announce_own_state(self.own_record.state, record.inc)

    def announce_own_state(self, state, above_incarnation=0):
        """Raises the own incarnation and stores the own record with this state. Returns the record, or None
        if the name is yielded or incarnations are used up."""
        inc = max(self.own_record.inc, above_incarnation) + 1
        if self.has_yielded_name or inc >= INCARNATION_LIMIT:
            return None
        self.own_record = msgspec.structs.replace(self.own_record, state=state, inc=inc)
        self._store_record(self.own_record)
        return self.own_record

    def declare_state(self, name, state, declared_by):
        """Records a suspicion, death or departure that this member declares of another. Returns the record to
        gossip, or None if the known state takes precedence already."""
        known = self.records.get(name)
        if (
            known is None
            or name == self.own_record.name
            or STATE_PRECEDENCE[known.state] >= STATE_PRECEDENCE[state]
        ):
            return None
        return self.merge(msgspec.structs.replace(known, state=state, by=declared_by))

    def _store_record(self, record):
        known = self.records.get(record.name)
        if known is not None and known.state < GONE:
            self.digest ^= hash_record(known)
            self.present_count -= 1
        if record.state < GONE:
            self.digest ^= hash_record(record)
            self.present_count += 1
        self.records[record.name] = record

    def list_present_records(self):
        """Records of all present members, including this one."""
        return [record for record in self.records.values() if record.state < GONE]

    def list_missing_names(self):
        """Names of members that are gone without having announced that they leave."""
        return [record.name for record in self.records.values() if record.state == GONE]
