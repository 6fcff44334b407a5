"""Tests of the parts of the stand-ins on which the results of other tests depend."""
