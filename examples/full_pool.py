"""Fair shares of three teams in a contended pool.

Run it with `python -m examples.full_pool`.
"""

import collections

from galenarill.scheduling import ShareAccount

WEIGHTS = {"municipal": 5.0, "hospital": 4.0, "walk-in": 1.0}
SLOTS = 10
SECONDS = 60


def main() -> None:
    """Simulate 1 s requests for 60 s; the hospital starts at 20 s."""
    account = ShareAccount()
    for team, weight in WEIGHTS.items():
        account.set_weight(team, weight)
    for start in range(0, SECONDS, 20):
        served = collections.Counter()
        for now in range(start, start + 20):
            teams = [t for t in WEIGHTS if t != "hospital" or now >= 20]
            for _ in range(SLOTS):
                team = account.next_team(teams, now, SLOTS)
                account.start(team, now)
                account.finish(team, now, now + 1)
                served[team] += 1
        shares = ", ".join(
            f"{team} {100 * served[team] / served.total():.0f}%"
            for team in WEIGHTS
        )
        print(f"{start:>2} s to {start + 20:>2} s: {shares}")


if __name__ == "__main__":
    main()
