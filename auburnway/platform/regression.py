"""Regression run: scores deployments and compares them with the journal.

Each site is scored in a call of its own. For each day a line shows its worth
in the last journal entry of the same site and mode, its worth now, and the
difference. Only entries of the same kind of machine can be compared; the
option `--since` names the first one.
"""

import argparse
from collections import abc
import dataclasses
import json
import pathlib
import subprocess
import sys

JOURNAL = pathlib.Path("journal")
# A smaller difference of worth is noise of the measured processor time.
TOLERANCE = 0.03


@dataclasses.dataclass(frozen=True)
class Day:
    """Result of one day.

    Attributes:
      name: Name of the day.
      worth: Credit less prices, as a share of the credit owed.
      is_passed: Whether the day passed the gate.
    """

    name: str
    worth: float
    is_passed: bool


@dataclasses.dataclass(frozen=True)
class Score:
    """Results of one site.

    Attributes:
      entry_id: Identifier of the journal entry.
      site: Name of the site.
      is_quick: Whether only the light days were played.
      days: Results by day.
    """

    entry_id: str
    site: str
    is_quick: bool
    days: tuple[Day, ...]


@dataclasses.dataclass(frozen=True)
class Comparison:
    """A day beside the same day of an earlier entry.

    Attributes:
      day: The new result.
      earlier_worth: Worth in the earlier entry; None if it has no such day.
    """

    day: Day
    earlier_worth: float | None

    @property
    def has_fallen(self) -> bool:
        """Whether the day failed its gate or lost more than the tolerance."""
        if not self.day.is_passed:
            return True
        if self.earlier_worth is None:
            return False
        return self.day.worth < self.earlier_worth - TOLERANCE


def read_scores(folder: pathlib.Path) -> tuple[Score, ...]:
    """Returns the scores of a journal, oldest first.

    Scores of small twins are left out, as they can't be compared with others.
    """
    entries = (
        json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))
    )
    return tuple(
        _decode(entry)
        for entry in entries
        if entry.get("cmd") == "score"
        and not any(day.get("small_twin") for day in entry["days"])
    )


def _decode(entry) -> Score:
    days = tuple(
        Day(day["name"], day["G"], bool(day["gate"])) for day in entry["days"]
    )
    is_quick = entry.get("mode") == "quick"
    return Score(entry["id"], entry["site"], is_quick, days)


def last_score(
    scores: abc.Sequence[Score], site: str, is_quick: bool, since: str | None
) -> Score | None:
    """Returns the newest score of a site.

    Args:
      scores: Scores, oldest first.
      site: Name of the site.
      is_quick: Whether a score of the light days is wanted.
      since: Identifier of the oldest entry to use; None for all entries.
    """
    ids = [score.entry_id for score in scores]
    first = ids.index(since) if since in ids else 0
    matching = [
        score
        for score in scores[first:]
        if score.site == site and score.is_quick == is_quick
    ]
    return matching[-1] if matching else None


def compare(earlier: Score | None, score: Score) -> tuple[Comparison, ...]:
    """Returns each day of a score beside the same day of an earlier one."""
    days = earlier.days if earlier is not None else ()
    worths = {day.name: day.worth for day in days}
    return tuple(Comparison(day, worths.get(day.name)) for day in score.days)


def _print(site: str, comparison: Comparison) -> None:
    day, earlier = comparison.day, comparison.earlier_worth
    change = "" if earlier is None else f"{day.worth - earlier:+.3f}"
    before = "" if earlier is None else f"{earlier:.3f}"
    gate = "passed" if day.is_passed else "FAILED"
    mark = "  FALLEN" if comparison.has_fallen else ""
    print(
        f"{site:26}{day.name:12}{before:>8}{day.worth:8.3f}{change:>8}"
        f"  gate {gate}{mark}"
    )


def _run_site(options: argparse.Namespace, site: pathlib.Path) -> bool:
    """Scores one site and prints the table; returns whether it held."""
    scores = read_scores(JOURNAL)
    command = [options.bench, "score", str(site), "--jobs", str(options.jobs)]
    command += ["--why", options.why]
    command += ["--quick"] if options.quick else []
    subprocess.run(command, check=False)
    new_scores = read_scores(JOURNAL)[len(scores) :]
    score = last_score(new_scores, site.stem, options.quick, None)
    if score is None:
        print(f"{site.stem}: the bench wrote no score; see its output above")
        return False
    earlier = last_score(scores, score.site, options.quick, options.since)
    comparisons = compare(earlier, score)
    for comparison in comparisons:
        _print(score.site, comparison)
    return not any(comparison.has_fallen for comparison in comparisons)


def main(arguments: abc.Sequence[str]) -> int:
    """Runs the command line.

    Returns:
      0; 1 if a day has fallen or failed its gate, or a site has no score.
    """
    parser = argparse.ArgumentParser(
        prog="bin/regression", description=(__doc__ or "").splitlines()[0]
    )
    parser.add_argument("bench", help="path of the users' bench")
    parser.add_argument(
        "sites", nargs="+", type=pathlib.Path, help="paths of site files"
    )
    parser.add_argument(
        "--quick", action="store_true", help="play the light days only"
    )
    parser.add_argument("--jobs", type=int, default=3, help="days at once")
    parser.add_argument("--why", default="regression run")
    parser.add_argument(
        "--since", help="id of the oldest journal entry to compare with"
    )
    options = parser.parse_args(arguments)
    held = [_run_site(options, site) for site in options.sites]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
