"""Compare admission, routing and retries with simpler policies in simulated time."""

import time

import policy_admission
import policy_retries
import policy_routing
import policy_urgency


def main() -> None:
    """Print each figure of a baseline and of the product, and their ratio; seeds are fixed."""
    started_at = time.monotonic()
    print(f"{'case':<34}{'measure':<40}{'baseline':>10}{'ours':>10}{'ratio':>9}")
    for measure in (
        policy_admission.measure_shares,
        policy_admission.measure_starvation,
        policy_admission.measure_goodput,
        policy_routing.measure_herding,
        policy_routing.measure_prefixes,
        policy_routing.measure_grey_peer,
        policy_retries.measure_storm,
        policy_urgency.measure_ticks,
        policy_urgency.measure_outage,
        policy_urgency.measure_overload,
        policy_urgency.measure_surplus,
        policy_urgency.measure_normal,
    ):
        for item in measure():
            print(
                f"{item.case:<34}{item.measure:<40}{item.baseline:>10.2f}{item.ours:>10.2f}"
                f"{item.ratio:>9.2f}"
            )
    print(f"took {time.monotonic() - started_at:.1f} s")


if __name__ == "__main__":
    main()
