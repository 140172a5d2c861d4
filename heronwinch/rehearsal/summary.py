"""Summarizes a run for JSON: credit earned over credit asked, answers, waste, latencies and breaches."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from heronwinch.rehearsal.costs import IN_TIME, LATE, LEFT, TOO_LATE, evaluate_item, summarize_costs
from heronwinch.rehearsal.invariants import RULE_PARTS, RULES, Breach, InvariantChecker
from heronwinch.rehearsal.views import SHARE_SUM_TOLERANCE, ViewAnalysis

PERCENTILES = (50, 90, 99, 99.9)
MAX_REPORTED_BREACHES = 20  # in the JSON report
MAX_TRACE_LINES = 80  # shown for one breach


class ResultTally:
    """Sums of item results and their latencies, for a category, an account or a whole run."""

    def __init__(self):
        self.wanted = self.in_time = self.late = self.left = 0
        self.total_credit_asked = self.total_credit_earned = 0.0
        self.latencies_us = HdrHistogram(1, 3_600_000_000, 3)  # up to 1 h

    def add(self, wanted, asks):
        result = evaluate_item(wanted, asks)
        self.wanted += 1
        self.total_credit_asked += result.credit_asked
        self.total_credit_earned += result.credit_earned
        self.in_time += result.outcome == IN_TIME
        self.late += result.outcome == LATE
        self.left += result.outcome == LEFT
        if result.outcome in (IN_TIME, LATE, TOO_LATE):
            self.latencies_us.record_value(max(1, result.took_ns // 1000))

    def summarize(self):
        times = {
            f"p{p:g}_ms": round(self.latencies_us.get_value_at_percentile(p) / 1000, 3) for p in PERCENTILES
        }
        return {
            "wanted": self.wanted,
            "in_time": self.in_time,
            "late": self.late,
            "left": self.left,
            "credit": _get_share(self.total_credit_earned, self.total_credit_asked),
            **times,
        }


def _get_share(part, whole):
    return round(part / whole, 6) if whole else None


def summarize_run(script, seed, policy, observations, digest=None, events=None):
    """(report as a dict for JSON, breaches, the InvariantChecker)."""
    checker = InvariantChecker(script, observations)
    breaches = checker.check()
    views = None
    if script.dispatchers.view:
        views = ViewAnalysis(observations, observations.stopped_at).build_report()
        if views["most_shared"] > 1 + SHARE_SUM_TOLERANCE:
            breaches.append(
                Breach(
                    RULE_PARTS, observations.stopped_at, "fleet", f"shares added up to {views['most_shared']}"
                )
            )
    total, by_category, by_account = ResultTally(), {}, {}
    for wanted, asks in observations.wants:
        total.add(wanted, asks)
        by_category.setdefault(wanted.kind.name, ResultTally()).add(wanted, asks)
        if wanted.flow.account:
            by_account.setdefault(wanted.flow.account, ResultTally()).add(wanted, asks)
    used_results = {ask.body.decode("utf-8", "replace") for ask in observations.asks if ask.status == 200}
    work_done_ns = sum(run.job.work for run in observations.runs if run.end == "done")
    # Waste: results that no client received, and the part of stopped work that had run.
    unused_ns = sum(
        run.job.work for run in observations.runs if run.end == "done" and run.result not in used_results
    )
    stopped_ns = sum(
        min(run.job.work, run.ended - run.began_at)
        for run in observations.runs
        if run.began_at and run.end in ("cancelled", "killed")
    )
    wasted_ns = unused_ns + stopped_ns
    work_done_ns += stopped_ns
    ends = Counter(run.end or "out" for run in observations.runs)
    answers = Counter(str(ask.status) if ask.how == "answered" else ask.how for ask in observations.asks)
    report = {
        "script": script.name,
        "seed": seed,
        "policy": policy,
        "digest": digest,
        "events": events,
        "credit": _get_share(total.total_credit_earned, total.total_credit_asked),
        **{k: v for k, v in total.summarize().items() if k != "credit"},
        "requests": len(observations.asks),
        "answers": dict(sorted(answers.items())),
        "hand_offs": len(observations.runs),
        "ends": dict(sorted(ends.items())),
        "waste": _get_share(wasted_ns, work_done_ns),
        "bad_clients": len(observations.rude),
        "categories": {name: tally.summarize() for name, tally in sorted(by_category.items())},
        "accounts": {name: tally.summarize() for name, tally in sorted(by_account.items())},
        "costs": summarize_costs(script, observations),
        "views": views,
        "fallen": [collapse.worker for collapse in observations.fallen],
        "troubles": dict(sorted(observations.trouble_counts.items())),
        "rules": {rule: sum(breach.rule == rule for breach in breaches) for rule in RULES},
        "breaches": [
            {
                "rule": b.rule,
                "at_s": _convert_to_run_seconds(observations, b.at_ns),
                "id": b.id,
                "says": b.message,
            }
            for b in breaches[:MAX_REPORTED_BREACHES]
        ],
    }
    return report, breaches, checker


def _convert_to_run_seconds(observations, at_ns):
    from heronwinch.rehearsal.simulation.kernel import RUN_START_UNIX_NS

    return round((at_ns - RUN_START_UNIX_NS) / 1e9, 6) if at_ns >= RUN_START_UNIX_NS else 0.0


def format_breaches(checker, breaches, max_breaches=3):
    """Yields lines for the first breaches, each with a trace of the work item or worker concerned."""
    for breach in breaches[:max_breaches]:
        yield f"rule broken ({RULES[breach.rule]}): {breach.id}: {breach.message}"
        lines = checker.trace_work_item(breach.id) or checker.trace_worker(breach.id, breach.at_ns)
        for when, text in lines[:MAX_TRACE_LINES]:
            yield f"  {(when - breach.at_ns) / 1e9:+.6f} s  {text}"
        if len(lines) > MAX_TRACE_LINES:
            yield f"  ... {len(lines) - MAX_TRACE_LINES} more lines"
