"""Tests of the request that an exchange handles."""

import unittest
from dataclasses import replace

from twisted.web.http_headers import Headers

from briarspur.gateway.content import RequestContent
from briarspur.gateway.services import IncomingRequest
from tests.gateway.samples import arrival


class ContentTest(unittest.TestCase):
    """What identifies a request that is sent again."""

    def content(self, address: str, key_digest: bytes | None, body: bytes = b"") -> RequestContent:
        headers = Headers({b"Briarspur-Source-Address": [address.encode()]})
        request = IncomingRequest(b"GET", b"/times/x", headers, body)
        return request.content(replace(arrival(), key_digest=key_digest))

    def test_copies_without_a_key_are_one_request_whatever_address_they_come_from(self) -> None:
        """Guards against three more crashes for each address that a request comes from."""
        first, other = self.content("10.0.0.1", None), self.content("10.0.0.2", None)
        self.assertEqual((first.digest, first.caller), (other.digest, other.caller))

    def test_callers_with_keys_are_told_apart(self) -> None:
        first, other = self.content("10.0.0.1", b"k-1"), self.content("10.0.0.1", b"k-2")
        self.assertEqual(first.digest, other.digest)
        self.assertNotEqual(first.caller, other.caller)

    def test_other_bodies_are_other_requests(self) -> None:
        first, other = self.content("", None, b"1"), self.content("", None, b"2")
        self.assertNotEqual(first.digest, other.digest)
