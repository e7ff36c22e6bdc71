"""Test settings: Hypothesis tests the same examples on each run."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=False
)
hypothesis.settings.load_profile("ci")
