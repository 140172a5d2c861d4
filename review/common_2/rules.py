"""The rule of the operators' pages on dispatchers that reject all that they get."""

# At most one dispatcher in ten may reject all that it gets, so many jobs or more, for so long.
REJECTED_JOBS, REJECTED_SECONDS = 15, 4.0


def list_rejecting_spans(record):
    """Tells each span in which all that was answered was rejected, with no attempt in between, where it is
    longer than the rule allows. The record is that of one dispatcher."""
    answers = record.find("answered")
    attempts = [line["t"] for line in record.find("attempt")]
    bounds = [record.find("sent")[0]["t"], *attempts, answers[-1]["t"]]
    spans = []
    for begin, end in zip(bounds, bounds[1:], strict=False):
        served = [line["t"] for line in answers if begin <= line["t"] < end and line["status"] != 503]
        begin = max([begin, *served])
        rejected = [line for line in answers if begin <= line["t"] <= end and line["status"] == 503]
        if end - begin >= REJECTED_SECONDS and len(rejected) >= REJECTED_JOBS:
            spans.append(
                f"from {begin:.1f} s to {end:.1f} s the dispatcher rejected all of {len(rejected)} jobs "
                "and attempted none"
            )
    return spans
