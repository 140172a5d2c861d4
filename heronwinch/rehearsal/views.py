"""Analyses the membership views of a rehearsal: when they agreed after each trouble, which live members were
declared gone, their traffic, and whether the shares of the dispatchers ever added up to more than 1.

Which dispatchers live, are held or are cut off is known from the rehearsal itself; the view of a dispatcher
is taken from its log."""

from heronwinch.interface import SECOND

VIEW_LOG_EVENTS = ("view", "view_parts", "view_sum", "member_gone", "name_taken")
HARMLESS_STARTS = ("hold", "loss", "starve", "descriptors")  # troubles that change no view when they begin
EXCUSE_NS = 8 * SECOND  # a declaration of death may result from a fault that ended this long ago
TROUBLE_ONSET_NS = SECOND // 10  # within which a trouble takes effect on all its targets
SHARE_SUM_TOLERANCE = 1e-6  # rounding error allowed in a sum of shares


class Timelines:
    """A value of each dispatcher over time, as a list of (time, value) changes in order."""

    def __init__(self):
        self.changes = {}

    def add_change(self, name, at, value):
        self.changes.setdefault(name, []).append((at, value))

    def value_at(self, name, at):
        """The value at that time; None before the first change."""
        value = None
        for changed_at, new_value in self.changes.get(name, ()):
            if changed_at > at:
                break
            value = new_value
        return value

    def list_times(self, begins, ends):
        """Times of all changes from `begins` to `ends`, sorted."""
        return sorted({at for changes in self.changes.values() for at, _ in changes if begins <= at <= ends})


class ViewAnalysis:
    """What the view events of a run amount to. Nothing after `ends_at` counts, which precedes the final stop
    of all dispatchers."""

    def __init__(self, observations, ends_at):
        self.observations, self.ends_at = observations, ends_at
        self.alive = Timelines()  # True while the dispatcher lives
        for name, started in observations.start_times.items():
            transitions = [(when, True) for when in started]
            transitions += [(when, False) for when in observations.stop_times.get(name, ())]
            for when, is_alive in sorted(transitions):
                self.alive.add_change(name, when, is_alive)
        self.views, self.divisors = Timelines(), Timelines()
        for name in self.alive.changes:  # a new life has logged nothing yet
            for when in observations.start_times[name]:
                self.views.add_change(name, when, None)
                self.divisors.add_change(name, when, 0)
        self.declared_gone, self.traffic_totals = [], []
        for when, name, event in observations.view_events:
            kind = event["event"]
            if kind == "view":
                self.views.add_change(name, when, (event["digest"], int(event["here"])))
            elif kind == "view_parts":
                self.divisors.add_change(name, when, int(event["divide"]))
            elif kind == "member_gone":
                self.declared_gone.append((when, name, event["member"]))
            elif kind == "view_sum":
                self.traffic_totals.append((name, int(event["sent"]), int(event["sent_bytes"])))
        for timelines in (self.views, self.divisors):
            for changes in timelines.changes.values():
                changes.sort(key=lambda change: change[0])

    def list_living(self, when):
        return [name for name in self.alive.changes if self.alive.value_at(name, when)]

    def _was_held(self, name, begins, ends):
        return any(
            spell.what == "held" and spell.target == name and spell.overlaps(begins, ends)
            for spell in self.observations.disturbances
        )

    def _were_cut_off(self, member, peer, begins, ends):
        for cut_at, healed_at, side, other_side, _ in self.observations.partitions:
            if (
                cut_at <= ends
                and healed_at >= begins
                and ((member in side and peer in other_side) or (member in other_side and peer in side))
            ):
                return True
        return False

    def _list_connected_groups(self, when):
        """Groups of dispatchers that have to agree with each other; None if a cut makes that undefined."""
        living = self.list_living(when)
        groups = [living]
        for cut_at, healed_at, side, other_side, is_one_way in self.observations.partitions:
            if cut_at <= when < healed_at:
                if is_one_way or set(side) | set(other_side) != set(self.alive.changes):
                    return None
                groups = [
                    [name for name in group if (name in side) is is_inside]
                    for group in groups
                    for is_inside in (True, False)
                ]
        return [group for group in groups if group]

    def do_views_agree(self, when):
        """Whether every connected group held one view of exactly its members at that time."""
        groups = self._list_connected_groups(when)
        if groups is None:
            return False
        for group in groups:
            held_views = {self.views.value_at(name, when) for name in group}
            if len(held_views) != 1 or None in held_views or next(iter(held_views))[1] != len(group):
                return False
        return True

    def measure_settling(self):
        """Yields (trouble, 'begins' or 'ends', its time in seconds, seconds until all living dispatchers
        agreed, None if they did not before the next change)."""
        moments = [(self.observations.began_at, "start", "")]
        for begins, ends, trouble in self.observations.trouble_spans:
            if trouble.what in (*HARMLESS_STARTS, "part", "kill", "stop", "power"):
                moments += [(begins, trouble.what, "begins"), (ends, trouble.what, "ends")]
        moments = sorted(moment for moment in moments if moment[0] < self.ends_at)
        for i, (at, trouble_kind, phase) in enumerate(moments):
            next_moment = moments[i + 1][0] if i + 1 < len(moments) else self.ends_at
            if (
                phase == "begins"
                and trouble_kind in (*HARMLESS_STARTS, "power")
                or self._list_connected_groups(at) is None
            ):
                continue
            check_times = [at + TROUBLE_ONSET_NS, *self.views.list_times(at + TROUBLE_ONSET_NS, next_moment)]
            settled_after = next((when - at for when in check_times if self.do_views_agree(when)), None)
            yield (
                trouble_kind,
                phase,
                (at - self.observations.began_at) / SECOND,
                None if settled_after is None else settled_after / SECOND,
            )

    def list_false_declarations(self):
        """Lists (time, declarer, declared) where the declared member lived and no hold or cut excuses it."""
        return [
            (when, declarer, declared)
            for when, declarer, declared in self.declared_gone
            if self.alive.value_at(declared, when)
            and not any(
                when - EXCUSE_NS <= died <= when for died in self.observations.stop_times.get(declared, ())
            )
            and not self._were_cut_off(declarer, declared, when - EXCUSE_NS, when)
            and not any(self._was_held(name, when - EXCUSE_NS, when) for name in (declarer, declared))
        ]

    def compute_max_share_sum(self):
        """The greatest sum of the shares of all dispatchers that lived at one time."""
        max_sum = 0.0
        for when in self.divisors.list_times(0, self.ends_at):
            divisors = [self.divisors.value_at(name, when) for name in self.list_living(when)]
            max_sum = max(max_sum, sum(1 / divisor for divisor in divisors if divisor))
        return max_sum

    def build_report(self):
        """The results as a tree for JSON. Rates are per member and second."""
        seconds = max(1.0, (self.ends_at - self.observations.began_at) / SECOND)
        settled = [
            {
                "what": trouble_kind,
                "phase": phase,
                "at_s": round(at, 3),
                "settled_s": None if settled_after is None else round(settled_after, 3),
            }
            for trouble_kind, phase, at, settled_after in self.measure_settling()
        ]
        members = max(1, len(self.traffic_totals))
        return {
            "settled": settled,
            "live_called_gone": len(self.list_false_declarations()),
            "most_shared": round(self.compute_max_share_sum(), 6),
            "messages_member_s": round(
                sum(sent for _, sent, _ in self.traffic_totals) / members / seconds, 2
            ),
            "bytes_member_s": round(sum(size for _, _, size in self.traffic_totals) / members / seconds, 1),
        }


def format_lines(report):
    """Yields the report of `build_report` as lines of text."""
    for row in report["settled"]:
        settled_after = row["settled_s"]
        when = "not before the next change" if settled_after is None else f"after {settled_after:.2f} s"
        yield f"  views agreed {when}: {row['what']} {row['phase']} at {row['at_s']:.1f} s"
    yield (
        f"  live members called gone {report['live_called_gone']}  parts at most {report['most_shared']:.3f}"
        f"  messages {report['messages_member_s']} and {report['bytes_member_s']:.0f} bytes a member a second"
    )
