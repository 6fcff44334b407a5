"""Tests of the validation of JSON documents."""

import unittest

from briarspur.documents import parse
from briarspur.errors import DocumentError
from briarspur.processsettings import PlatformSettings


class ParseTest(unittest.TestCase):
    """A document is valid as a whole, or is rejected with all its faults."""

    def test_faults_have_their_path(self) -> None:
        with self.assertRaises(DocumentError) as caught:
            parse(PlatformSettings, '{"host": "x", "port": 99999, "colour": 1}', "s.json")
        paths = {fault.path for fault in caught.exception.faults}
        self.assertEqual(paths, {"host", "port", "colour"})

    def test_malformed_json_is_a_fault(self) -> None:
        with self.assertRaises(DocumentError):
            parse(PlatformSettings, "{", "s.json")
