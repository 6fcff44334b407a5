"""A deployment fails immediately if one of its processes cannot start."""

import socket
import tempfile
import unittest
from pathlib import Path

from standins.deployment import Deployment
from standins.launcher import Launcher
from standins.system import NotReadyError, System
from tests.scenarios.smallsystem import make_documents

HOST = "127.0.0.1"


class StartTest(unittest.TestCase):
    """A process that ends during the start aborts the start."""

    def test_a_platform_that_cannot_listen_is_reported_with_its_log(self) -> None:
        """Guards against a start that waits until the timeout for a process that has ended."""
        with tempfile.TemporaryDirectory() as name, socket.create_server((HOST, 0)) as peer:
            deployment = Deployment.build(make_documents(), Path(name))
            platform = deployment.documents_by_name["platform"]
            with socket.socket() as connection, Launcher(deployment.folder) as launcher:
                connection.bind((HOST, platform["port"]))
                connection.connect(peer.getsockname())
                with self.assertRaisesRegex(NotReadyError, "platform has ended(.|\n)*in use"):
                    System(deployment, launcher).start()
