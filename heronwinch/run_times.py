"""Learned running times: how long work items of each category are likely to run, and how often they arrive.

Work that is taken to be shorter than it is overloads workers in slow start. So a category of which nothing
has finished counts as running for as long as its clients wait, and hand-offs that are still out count towards
the mean, as the first answers of many hand-offs are those of the shortest. Does no I/O.
"""

from math import sqrt

MEAN_SAMPLES = 16  # samples over which the moving means run
# Samples of a category's running time that count beside its expiry.
MAX_RUN_SAMPLES = 64
MAX_CARRIED_GROWTH = 4  # running times are not taken to have grown by more than this over a restart
MIN_REQUEST = 0.1  # requests of less likely work, in requests of mean work, count as this


def update_moving_mean(mean, value, samples):
    """Returns a moving mean after one more value of weight 1/samples; a mean of 0 means none yet."""
    return mean + ((value - mean) / samples if mean else value)


class RunTimes:
    """What this dispatcher has learned of the work items of one category; all times are nanoseconds."""

    __slots__ = (
        "mean",
        "likely",
        "samples",
        "are_from_slow_start",
        "arrivals",
        "running",
        "running_since_sum",
        "carried",
    )

    def __init__(self):
        self.mean = 0.0  # moving mean over finished hand-offs; 0 until one has finished
        # Moving mean that also counts hand-offs which ran for longer and did not finish, and its number of
        # samples. Those of workers in slow start, which take longer, count only while there are no others.
        self.likely, self.samples, self.are_from_slow_start = 0.0, 0, False
        self.arrivals = 0  # work items that have arrived
        # Hand-offs that are out and started to run at once, and the sum of the times at which they were sent.
        self.running, self.running_since_sum = 0, 0
        self.carried = 0.0  # the likely running time that was learned before a restart, 0 without one

    def begin_run(self, now):
        """Counts a hand-off that has just been sent to a warm worker with an open slot."""
        self.running += 1
        self.running_since_sum += now

    def end_run(self, sent_at):
        """Counts the end of a hand-off that was counted by begin_run."""
        self.running -= 1
        self.running_since_sum -= sent_at

    def learn(self, run_time, has_finished, was_in_slow_start):
        """Counts a hand-off that has ended.

        One that did not finish would have run for longer. That tells something only if it already ran for
        longer than usual: work may fail at once, whatever its running time.
        """
        if not has_finished and (not self.samples or run_time <= self.likely):
            return
        if was_in_slow_start and self.samples and not self.are_from_slow_start:
            return
        if self.are_from_slow_start and not was_in_slow_start:
            self.likely, self.samples = 0.0, 0
        self.are_from_slow_start = was_in_slow_start
        self.samples += 1
        self.likely = update_moving_mean(self.likely, run_time, min(MEAN_SAMPLES, self.samples))

    def learn_mean(self, run_time):
        """Counts a finished hand-off towards the mean."""
        self.mean = update_moving_mean(self.mean, run_time, MEAN_SAMPLES)

    def restore(self, mean, likely, samples):
        """Uses what was learned before a restart."""
        self.mean, self.likely, self.samples = mean, likely, samples
        self.carried = likely or mean

    def estimate(self, now, longest):
        """Returns the likely running time of a work item with one slot; `longest` if none has finished.

        One standard error of the mean is added, for running times whose deviation equals their mean, and
        `longest` counts as one more sample, or less where running times were carried over. The time of
        hand-offs that are still out is divided among those that have finished, as in the maximum likelihood
        estimate from censored samples of an exponential distribution.
        """
        if not self.samples:
            return longest
        elapsed = self.running * now - self.running_since_sum
        samples = min(self.samples, MAX_RUN_SAMPLES)
        likely = ((self.likely or self.mean) + elapsed / self.samples) * (1 + 1 / sqrt(samples))
        likely = min(likely, longest)
        prior = min(longest, MAX_CARRIED_GROWTH * self.carried) if self.carried else longest
        return likely * (max(prior, likely) / likely) ** (1 / (1 + samples))


class WorkEstimate:
    """The likely work of all categories at one moment, in which budgets of workers in slow start are counted.

    The unit of these budgets is a request of mean work. Of a category whose running time is not learned only
    bounds are known. A worker is taken to stand what it stands if such work runs as long as it can, and each
    request counts as if the mean held nothing of such work.
    """

    def __init__(self, categories, now):
        self.now = now
        self.arrivals = sum(category.run_times.arrivals + 1 for category in categories)
        self.longest_mean = 0.0  # mean work, if categories that are not learned run as long as they can
        self.learned_mean = 0.0  # what the learned categories contribute to the mean
        self.requests_by_category = {}  # requests of mean work in a work item with one slot
        for category in categories:
            work = self._compute_share(category) * category.estimate_run_time(now)
            self.longest_mean += work
            self.learned_mean += work if category.run_times.samples else 0.0

    def count_requests(self, category, slots, work_items=1):
        """Returns the work of work items of a category, with so many slots in all, in requests of mean work:
        the most that it is likely to be."""
        requests = self.requests_by_category.get(category)
        if requests is None:
            requests = self.requests_by_category[category] = self._count_requests_with_one_slot(category)
        return max(MIN_REQUEST * work_items, requests * slots)

    def _count_requests_with_one_slot(self, category):
        # The category is part of the mean, which is its share of the arrivals times its work at least.
        most = 1 / self._compute_share(category)
        if not self.learned_mean:
            return most
        return min(most, category.estimate_run_time(self.now) / self.learned_mean)

    def _compute_share(self, category):
        """Returns the share of a category in all arrivals."""
        arrivals = category.run_times.arrivals + 1
        return arrivals / max(arrivals, self.arrivals)
