"""Tests the comparison of policies with fabricated results."""

import importlib.util
import json
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
SPEC = importlib.util.spec_from_file_location("compare", ROOT / "platform" / "compare.py")
compare = importlib.util.module_from_spec(SPEC)
sys.modules["compare"] = compare
SPEC.loader.exec_module(compare)


def outcomes_of(variant, scores, day="d1"):
    return {
        compare.Run(variant, "s.toml", day, seed): compare.Outcome(score, ())
        for seed, score in enumerate(scores, 1)
    }


class Compare(unittest.TestCase):
    def test_differences_are_computed_per_run(self):
        # Results differ far more between seeds than between variants.
        outcomes = outcomes_of("now", [0.1, 0.5, 0.9]) | outcomes_of("new", [0.12, 0.53, 0.91])
        now, new = compare.compare(["now", "new"], outcomes)
        self.assertAlmostEqual(now.difference, 0)
        self.assertAlmostEqual(new.difference, 0.02)
        self.assertLess(new.spread, 0.01)

    def test_runs_without_a_counterpart_are_excluded_from_the_difference(self):
        outcomes = outcomes_of("now", [0.5]) | outcomes_of("new", [0.6, 0.0])
        _, new = compare.compare(["now", "new"], outcomes)
        self.assertEqual(new.runs, 2)
        self.assertAlmostEqual(new.difference, 0.1)

    def test_the_worst_day_and_broken_rules_are_reported(self):
        outcomes = outcomes_of("now", [0.5]) | outcomes_of("now", [0.2], day="d2")
        broken = compare.Run("now", "s.toml", "d1", 9)
        outcomes[broken] = compare.Outcome(0.4, ("EVAC",))
        (now,) = compare.compare(["now"], outcomes)
        self.assertEqual(now.worst_day, "d2")
        self.assertEqual(now.broken_rules, 1)
        self.assertIn("d2 0.200", compare.table([now]))

    def test_parses_a_report(self):
        outcome = compare.read_outcome(json.dumps({"G": 0.4, "breaks": {"EVAC": 3}}))
        self.assertEqual(outcome, compare.Outcome(0.4, ("EVAC",)))


if __name__ == "__main__":
    unittest.main()
