"""Steps for the subset of hosts that an entry connects to."""

import collections

import behave

from oleander_routing import subset


@behave.given("a subset is chosen from the hosts {text} by {entries:d} entries of {size:d} each")
def choose_subsets(context, text, entries, size):
    context.size = size
    context.hosts = []
    for item in text.split():
        group, count = item.split(":")
        domain, _, backend = group.partition("/")
        context.hosts += [
            subset.SubsetHost(f"{group}-{number}", domain, backend) for number in range(int(count))
        ]
    context.subsets = {
        f"entry-{number}": subset.choose_subset(f"entry-{number}", context.hosts, size)
        for number in range(entries)
    }


@behave.then("the subset has {spread} from each group")
def check_spread(context, spread):
    for chosen in context.subsets.values():
        found = collections.Counter(name.rsplit("-", 1)[0] for name in chosen)
        for item in spread.split():
            group, bounds = item.split(":")
            minimum, maximum = bounds.split("-")
            assert int(minimum) <= found[group] <= int(maximum), found


@behave.when("each host of the subset's list is taken away in turn")
def remove_hosts(context):
    context.changes = []
    for removed in context.hosts:
        rest = [host for host in context.hosts if host is not removed]
        for entry, before in context.subsets.items():
            after = subset.choose_subset(entry, rest, context.size)
            context.changes.append(len(set(before) - set(after)))


@behave.then(
    "the subset never changed by more than {maximum:d} host, and by {minimum:g} to {mean:g} on "
    "average"
)
def check_churn(context, maximum, minimum, mean):
    assert max(context.changes) == maximum, max(context.changes)
    found = sum(context.changes) / len(context.changes)
    assert minimum <= found <= mean, found


def _count_entries(context):
    return collections.Counter(name for chosen in context.subsets.values() for name in chosen)


@behave.then("the subset's most chosen host has at most {ratio:g} times the mean")
def check_balance(context, ratio):
    found = _count_entries(context)
    mean = sum(found.values()) / len(context.hosts)
    assert max(found.values()) <= ratio * mean, max(found.values()) / mean


@behave.then("the subset left out at most {percent:g} percent of hosts")
def check_left_out(context, percent):
    left_out = 100 - len(_count_entries(context)) / len(context.hosts) * 100
    assert left_out <= percent, left_out
