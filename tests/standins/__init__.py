"""Tests of the stand-ins, as far as verdicts of other tests rest on them."""
